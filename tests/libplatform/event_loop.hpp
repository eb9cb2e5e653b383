#ifndef MEDLARSTALL_TESTS_EVENT_LOOP_HPP
#define MEDLARSTALL_TESTS_EVENT_LOOP_HPP

#include <asio/io_context.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>

namespace medlarstall {

/// Runs a context until a condition holds. The bound only ends a test that
/// would otherwise hang.
/// \param context context to run
/// \param condition what to wait for
inline void run_until(asio::io_context& context,
                      std::function<bool()> const& condition)
{
    constexpr std::chrono::seconds hang_bound{30};
    auto const end = std::chrono::steady_clock::now() + hang_bound;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_until(end);
    }
    BOOST_REQUIRE(condition());
}

} // namespace medlarstall

#endif
