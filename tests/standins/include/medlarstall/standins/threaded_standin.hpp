#ifndef MEDLARSTALL_STANDINS_THREADED_STANDIN_HPP
#define MEDLARSTALL_STANDINS_THREADED_STANDIN_HPP

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>
#include <memory>
#include <thread>
#include <type_traits>
#include <utility>

namespace medlarstall::standins {

/// A stand-in with an io_context and a thread of its own, started at once and
/// stopped by the destructor.
template<class Standin>
class threaded_standin
{
public:
    template<class Settings>
    explicit threaded_standin(Settings settings)
        : standin_{std::make_unique<Standin>(context_, std::move(settings))}
    {
        thread_ = std::thread{[this] {
            context_.run();
        }};
        call([](Standin& standin) { standin.start(); });
    }

    ~threaded_standin()
    {
        call([](Standin& standin) { standin.stop(); });
        call([this](Standin&) { standin_.reset(); });
        work_.reset();
        context_.stop();
        thread_.join();
    }

    threaded_standin(threaded_standin const&) = delete;
    threaded_standin& operator=(threaded_standin const&) = delete;

    /// Runs a function on the thread of the stand-in and waits for it.
    /// \param function called with the stand-in
    /// \return what the function returned
    template<class Function>
    auto call(Function function)
    {
        using value = std::invoke_result_t<Function, Standin&>;
        std::packaged_task<value()> task{[this, &function] {
            return function(*standin_);
        }};
        auto outcome = task.get_future();
        asio::post(context_, [&task] { task(); });
        return outcome.get();
    }

private:
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_{
        context_.get_executor()};
    std::unique_ptr<Standin> standin_;
    std::thread thread_;
};

} // namespace medlarstall::standins

#endif
