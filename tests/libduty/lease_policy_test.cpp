// Tests which tokens a daemon uses and tells after restores of the store. Whole
// fleets are played by duty_simulation in libgateway.

#include <medlarstall/duty/lease_policy.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarstall;
using namespace medlarstall::duty;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};

/// \return the topic with a record that another daemon wrote in the first era
lease_topic restored_topic(std::uint64_t era)
{
    lease_record record;
    record.token = 7;
    record.holder = "other";
    record.era = 1;
    return {record, 1, era};
}

/// Takes the lease once the record has not changed for long enough.
/// \return the token of the first append; 0 if there is none
fencing_token take(lease_policy& policy, lease_topic const& topic,
                   time_point& now)
{
    for (auto const end = now + 60s; now < end; now += 100ms) {
        for (auto const& action :
             policy.update(now, false, [] { return duty_states{}; })) {
            if (std::holds_alternative<read_topic>(action)) {
                policy.on_read(topic, now);
            } else if (auto const* append =
                           std::get_if<append_record>(&action)) {
                return append->record.token;
            }
        }
    }
    return 0;
}

fencing_token token_in(std::uint64_t era)
{
    auto now = start;
    lease_policy policy{{}, "this", 1, now};
    return take(policy, restored_topic(era), now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(lease_policy_suite)

// Guards against a token of an earlier era that is given out again, as the copy
// of the store is the same each time.
BOOST_AUTO_TEST_CASE(tokens_of_a_later_era_are_higher_by_more_than_any_steps)
{
    constexpr fencing_token used_in_an_era = 1'000'000'000;
    BOOST_TEST(token_in(1) == 8U);
    for (std::uint64_t era = 1; era < 100; ++era) {
        BOOST_TEST(token_in(era + 1) > token_in(era) + used_in_an_era);
    }
    // An implausible era must not use up the tokens that peers believe.
    constexpr fencing_token largest_exact_number = fencing_token{1} << 53U;
    auto const last = token_in(std::numeric_limits<std::uint64_t>::max());
    BOOST_TEST(last < largest_exact_number);
}

// Guards against a daemon of an older version that counts on from the restored
// record, below what others have used: it heeds what it is told.
BOOST_AUTO_TEST_CASE(a_daemon_tells_the_least_token_of_the_era)
{
    auto now = start;
    lease_policy policy{{}, "this", 1, now};
    policy.on_read(restored_topic(3), now);
    auto const told = policy.notice(now);
    BOOST_REQUIRE(told.has_value());
    BOOST_TEST(told->holder == "other");
    BOOST_TEST(told->token > token_in(2));
    lease_policy listener{{}, "listener", 1, now};
    listener.on_notice(*told, now);
    // As a daemon of an older version would, it reads a record of no new era.
    BOOST_TEST(take(listener, restored_topic(1), now) > told->token);
}

BOOST_AUTO_TEST_SUITE_END()
