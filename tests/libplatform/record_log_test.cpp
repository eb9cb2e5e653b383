#include <medlarstall/platform/jittered_backoff.hpp>
#include <medlarstall/platform/record_log.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

using namespace medlarstall;
using namespace medlarstall::platform;
using namespace std::chrono_literals;

namespace {

/// Oracle: every record ever appended, and what was dropped from the front.
struct log_oracle
{
    std::vector<std::pair<wall_time, int>> records;
    std::map<std::pair<int, std::uint64_t>, append_receipt> receipts;
    std::size_t first = 0;
    int clock = 0;
};

using log_command = rc::state::Command<log_oracle, record_log>;

wall_time at(int clock)
{
    return wall_time{std::chrono::milliseconds{clock}};
}

/// Appends one to three records, often again under a known name.
struct append_command : log_command
{
    int writer = *rc::gen::inRange(0, 3);
    std::uint64_t sequence = *rc::gen::inRange(0, 6);
    int count = *rc::gen::inRange(1, 4);

    void apply(log_oracle& oracle) const override
    {
        ++oracle.clock;
        auto const name = std::pair{writer, sequence};
        if (oracle.receipts.contains(name)) {
            return;
        }
        oracle.receipts[name] = {oracle.records.size(),
                                 static_cast<std::size_t>(count)};
        for (int index = 0; index < count; ++index) {
            oracle.records.emplace_back(
                at(oracle.clock), static_cast<int>(oracle.records.size()));
        }
    }

    void run(log_oracle const& before, record_log& log) const override
    {
        auto expected = before;
        apply(expected);
        append_request request{.writer = std::to_string(writer),
                               .sequence = sequence,
                               .records = {}};
        for (int index = 0; index < count; ++index) {
            request.records.emplace_back(log.end() + index);
        }
        auto const outcome = log.append(request, at(expected.clock));
        RC_ASSERT(value_of(outcome) == (expected.receipts[{writer, sequence}]));
        RC_ASSERT(log.end() == expected.records.size());
    }

    void show(std::ostream& out) const override
    {
        out << "append " << writer << ' ' << sequence << ' ' << count;
    }
};

/// Drops old records.
struct expire_command : log_command
{
    int age = *rc::gen::inRange(0, 10);

    void apply(log_oracle& oracle) const override
    {
        while (oracle.first < oracle.records.size() &&
               oracle.records[oracle.first].first < at(oracle.clock - age)) {
            ++oracle.first;
        }
    }

    void run(log_oracle const& before, record_log& log) const override
    {
        auto expected = before;
        apply(expected);
        log.expire_before(at(before.clock - age));
        RC_ASSERT(log.first() == expected.first);
    }

    void show(std::ostream& out) const override { out << "expire " << age; }
};

/// Reads from any offset.
struct read_command : log_command
{
    log_offset from = *rc::gen::inRange(0, 40);
    std::size_t limit = *rc::gen::inRange(0, 9);

    void run(log_oracle const& oracle, record_log& log) const override
    {
        auto const page = log.read(from, limit);
        RC_ASSERT(page.first == oracle.first);
        RC_ASSERT(page.end == oracle.records.size());
        auto const start = std::max<std::size_t>(from, oracle.first);
        auto const left =
            start < oracle.records.size() ? oracle.records.size() - start : 0;
        RC_ASSERT(page.records.size() == std::min(limit, left));
        for (std::size_t index = 0; index < page.records.size(); ++index) {
            RC_ASSERT(page.records[index].offset == start + index);
            RC_ASSERT(page.records[index].value.get<int>() ==
                      oracle.records[start + index].second);
        }
    }

    void show(std::ostream& out) const override
    {
        out << "read " << from << ' ' << limit;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(record_log_suite)

RC_BOOST_PROP(acts_as_a_list_with_names, ())
{
    log_oracle const oracle;
    record_log log;
    rc::state::check(
        oracle, log,
        rc::state::gen::execOneOfWithArgs<append_command, expire_command,
                                          read_command>());
}

BOOST_AUTO_TEST_CASE(refuses_an_empty_append)
{
    record_log log;
    BOOST_TEST(failed(log.append({.writer = "w", .records = {}}, {})));
}

RC_BOOST_PROP(backoff_stays_within_its_bounds, (std::uint64_t seed))
{
    jittered_backoff backoff{{.first = 20ms, .longest = 1s}, seed};
    auto span = 20ms;
    for (int count = 0; count < 10; ++count) {
        auto const delay = backoff.next();
        RC_ASSERT(delay >= span / 2);
        RC_ASSERT(delay <= span);
        span = std::min<std::chrono::milliseconds>(span * 2, 1s);
    }
    backoff.reset();
    RC_ASSERT(backoff.next() <= 20ms);
}

BOOST_AUTO_TEST_SUITE_END()
