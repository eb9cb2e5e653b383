#include <medlarstall/answer/answer_assembler.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <array>
#include <string>

using namespace medlarstall;
using namespace medlarstall::answer;

namespace {

constexpr std::uint64_t tokens = 12;
constexpr std::size_t buffer = 64;

uuid attempt(unsigned number)
{
    return make_uuid_v7(wall_time{}, number, number);
}

/// \return text of a token, which no other attempt makes
std::string token(unsigned generation, std::uint64_t index)
{
    return std::to_string(generation) + ":" + std::to_string(index) + " ";
}

std::string whole_text(unsigned generation)
{
    std::string text;
    for (std::uint64_t i = 0; i < tokens; ++i) {
        text += token(generation, i);
    }
    return text;
}

frame_result send(answer_assembler& to, unsigned generation,
                  std::uint64_t index)
{
    auto const text = index < tokens ? token(generation, index) : "";
    return to.take({.attempt = attempt(generation),
                    .index = index,
                    .text = text,
                    .finish = index == tokens});
}

void deliver(answer_assembler& from, std::string& to, std::size_t bytes)
{
    auto const part = from.pending().substr(0, bytes);
    to += part;
    from.consume(part.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_assembler_suite)

/// Frames of three generations, late, crossed, repeated and lost, with slow
/// callers and new attempts at any time.
RC_BOOST_PROP(never_splices_and_knows_when_it_is_whole, ())
{
    answer_assembler assembler{buffer};
    RC_ASSERT(assembler.start(attempt(0)));
    std::string got;
    std::array<std::uint64_t, 3> position{};
    auto const steps = *rc::gen::inRange(0, 200);
    for (int i = 0; i < steps; ++i) {
        auto const generation = *rc::gen::inRange(0U, 3U);
        auto& next = position[generation];
        switch (*rc::gen::weightedElement<int>(
            {{10, 0}, {2, 1}, {1, 2}, {4, 3}, {1, 4}})) {
        case 0:
            if (send(assembler, generation, next) == frame_result::taken) {
                next = std::min(next + 1, tokens);
            }
            break;
        case 1:
            send(assembler, generation,
                 *rc::gen::inRange(std::uint64_t{0}, tokens + 1));
            break;
        case 2:
            next = assembler.next_index();
            break;
        case 3:
            deliver(assembler, got, *rc::gen::inRange(0U, 40U));
            break;
        default:
            static_cast<void>(assembler.start(attempt(generation)));
        }
        RC_ASSERT(assembler.pending().size() <= buffer);
    }
    deliver(assembler, got, std::string::npos);
    RC_ASSERT(assembler.attempt().has_value());
    auto const generation = got.empty() ? 0U : unsigned(got[0] - '0');
    auto const right = whole_text(generation);
    RC_ASSERT(right.compare(0, got.size(), got) == 0);
    RC_ASSERT(!assembler.whole() || got == right);
}

BOOST_AUTO_TEST_CASE(takes_tokens_in_order_to_the_finish_mark)
{
    answer_assembler assembler{1024};
    BOOST_TEST(assembler.start(attempt(1)));
    std::string got;
    for (std::uint64_t i = 0; i <= tokens; ++i) {
        BOOST_TEST(!assembler.whole());
        BOOST_CHECK(send(assembler, 1, i) == frame_result::taken);
    }
    deliver(assembler, got, std::string::npos);
    BOOST_TEST(got == whole_text(1));
    BOOST_TEST(assembler.whole());
}

BOOST_AUTO_TEST_CASE(resumes_after_a_gap)
{
    answer_assembler assembler{1024};
    BOOST_TEST(assembler.start(attempt(1)));
    BOOST_CHECK(send(assembler, 1, 0) == frame_result::taken);
    BOOST_CHECK(send(assembler, 1, 2) == frame_result::gap);
    BOOST_TEST(assembler.next_index() == 1U);
    BOOST_CHECK(send(assembler, 1, tokens) == frame_result::gap);
    BOOST_TEST(!assembler.whole());
    BOOST_CHECK(send(assembler, 1, 0) == frame_result::duplicate);
    BOOST_CHECK(send(assembler, 1, 1) == frame_result::taken);
}

BOOST_AUTO_TEST_CASE(refuses_frames_of_another_attempt)
{
    answer_assembler assembler{1024};
    BOOST_CHECK(send(assembler, 1, 0) == frame_result::foreign);
    BOOST_TEST(assembler.start(attempt(1)));
    BOOST_TEST(assembler.start(attempt(2)));
    BOOST_CHECK(send(assembler, 1, 0) == frame_result::foreign);
    BOOST_CHECK(send(assembler, 2, 0) == frame_result::taken);
    BOOST_TEST(!assembler.start(attempt(3)));
    BOOST_TEST(assembler.start(attempt(2)));
    BOOST_CHECK(send(assembler, 3, 1) == frame_result::foreign);
    BOOST_TEST(assembler.counts().foreign == 3U);
}

BOOST_AUTO_TEST_CASE(refuses_a_finish_that_does_not_fit)
{
    answer_assembler assembler{1024};
    BOOST_TEST(assembler.start(attempt(1)));
    BOOST_CHECK(send(assembler, 1, 0) == frame_result::taken);
    BOOST_CHECK(send(assembler, 1, 1) == frame_result::taken);
    frame early{.attempt = attempt(1), .index = 1, .finish = true};
    BOOST_CHECK(assembler.take(early) == frame_result::conflict);
    early.index = 2;
    BOOST_CHECK(assembler.take(early) == frame_result::taken);
    BOOST_CHECK(assembler.take(early) == frame_result::duplicate);
    BOOST_CHECK(send(assembler, 1, 2) == frame_result::conflict);
    BOOST_CHECK(send(assembler, 1, 3) == frame_result::conflict);
    BOOST_TEST(assembler.whole());
}

BOOST_AUTO_TEST_CASE(holds_no_more_than_its_bound)
{
    answer_assembler assembler{8};
    BOOST_TEST(assembler.start(attempt(1)));
    BOOST_CHECK(send(assembler, 1, 0) == frame_result::taken);
    BOOST_CHECK(send(assembler, 1, 1) == frame_result::taken);
    BOOST_CHECK(send(assembler, 1, 2) == frame_result::buffer_full);
    assembler.consume(4);
    BOOST_CHECK(send(assembler, 1, 2) == frame_result::taken);
    BOOST_TEST(assembler.pending() == "1:1 1:2 ");
}

BOOST_AUTO_TEST_SUITE_END()
