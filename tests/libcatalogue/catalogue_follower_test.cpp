#include <medlarstall/catalogue/catalogue_follower.hpp>
#include <medlarstall/catalogue/catalogue_writer.hpp>
#include <medlarstall/catalogue/record_codec.hpp>
#include <medlarstall/support/digest.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

#include <array>
#include <map>
#include <memory>

using namespace medlarstall;
using namespace medlarstall::catalogue;
using nlohmann::json;

namespace {

constexpr std::size_t daemons = 3;
constexpr wall_time start_time{std::chrono::hours{500'000}};

follower_settings settings_of(std::size_t daemon)
{
    return {.daemon = "daemon" + std::to_string(daemon),
            .bootstrap_key_digest = sha256_hex("root"),
            .checkpoints = {.records = 8},
            .checkpoint_part_bytes = 400,
            .relayed_records = 6};
}

/// A change that puts or deletes one of three classes, with an expected
/// revision that may be wrong.
change make_change(unsigned id, unsigned name, revision expected, bool remove)
{
    change value{.id = to_string(make_uuid_v7(start_time, 0, id)),
                 .author = "root",
                 .author_key_digest = sha256_hex("root")};
    edit one{.kind = entry_kind::service_class,
             .name = "class" + std::to_string(name),
             .expected = expected};
    if (!remove) {
        one.put = service_class{
            .name = one.name, .owner = "all", .tier = id % 8, .floor = 0.25};
    }
    value.edits.push_back(std::move(one));
    return value;
}

change make_first_change()
{
    auto value = make_change(0, 0, 0, false);
    operator_key const key{.name = "root",
                           .owner = "all",
                           .key_digest = sha256_hex("root"),
                           .consortium = true};
    value.edits.push_back({entry_kind::operator_key, "root", 0, key});
    return value;
}

/// A log whose early records expire, daemons that follow it, and the state
/// after each prefix as one thread finds it from the unexpired log.
struct world
{
    std::vector<json> log;
    std::vector<std::string> oracle; ///< Digest at each offset.
    std::uint64_t first = 0;
    std::uint64_t covered = 0; ///< By the newest whole checkpoint.
    std::array<std::unique_ptr<catalogue_follower>, daemons> followers;
    std::array<std::uint64_t, daemons> versions{};
    std::array<std::map<std::uint64_t, int>, daemons> damages;
    catalogue_state state;
    wall_time now = start_time;

    world()
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            restart(i);
        }
        oracle.push_back(catalogue_digest(state.entries));
        append(record_writer{}.write(make_first_change()));
    }

    void restart(std::size_t i)
    {
        followers[i] = std::make_unique<catalogue_follower>(settings_of(i));
        versions[i] = 0;
    }

    void append(json record)
    {
        auto const body = record_reader{}.read(record);
        if (!failed(body)) {
            if (auto const* value = std::get_if<change>(&value_of(body))) {
                decide(state, *value, log.size(), sha256_hex("root"));
            }
        }
        log.push_back(std::move(record));
        oracle.push_back(catalogue_digest(state.entries));
    }

    void poll(std::size_t i, std::size_t limit, bool damaged)
    {
        auto& follower = *followers[i];
        auto offset = std::max(follower.next_offset(), first);
        for (; limit > 0 && offset < log.size(); --limit, ++offset) {
            log_record record{offset, now, log[offset]};
            if (damaged && damages[i][offset]++ < 4) {
                record.value["digest"] = sha256_hex("damage");
                damaged = false;
            }
            if (follower.apply(record).what == apply_result::read_again) {
                break;
            }
        }
        static_cast<void>(follower.observe_bounds(first, log.size()));
        check(i);
    }

    /// The version never goes back and the state is the oracle's.
    void check(std::size_t i)
    {
        auto& follower = *followers[i];
        auto const version = follower.version().offset;
        RC_ASSERT(version >= versions[i]);
        RC_ASSERT(version <= log.size());
        versions[i] = version;
        auto const in_force = follower.in_force();
        if (in_force) {
            RC_ASSERT(catalogue_digest(in_force->entries) == oracle[version]);
            RC_ASSERT(in_force->version.offset <= version);
        }
        for (auto const& other : followers) {
            RC_ASSERT(follower.agrees(other->version()) || !other->in_force());
        }
    }

    void converge()
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            for (std::size_t round = 0; round < 8 * log.size(); ++round) {
                poll(i, log.size(), false);
            }
            if (first <= covered || versions[i] >= first) {
                RC_ASSERT(versions[i] == log.size());
                RC_ASSERT(followers[i]->ready());
            }
        }
    }
};

/// What the stateful test plans with: only the length of the log.
struct plan
{
    std::size_t records = 1;
};

using command = rc::state::Command<plan, world>;

struct publish : command
{
    unsigned id = *rc::gen::inRange(1U, 400U);
    unsigned name = *rc::gen::inRange(0U, 3U);
    unsigned behind =
        *rc::gen::weightedElement<unsigned>({{5, 0U}, {1, 1U}, {1, 2U}});
    bool remove = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});

    void apply(plan& model) const override { ++model.records; }

    void run(plan const& /*model*/, world& sut) const override
    {
        auto const& classes = sut.state.entries.classes;
        auto const found = classes.find("class" + std::to_string(name));
        revision const at = found == classes.end() ? 0 : found->second.at;
        sut.append(record_writer{}.write(make_change(
            id, name, at - std::min<revision>(at, behind), remove)));
    }

    void show(std::ostream& out) const override
    {
        out << "publish " << id << " class" << name << " behind " << behind
            << (remove ? " delete" : "");
    }
};

struct publish_garbage : command
{
    void run(plan const& /*model*/, world& sut) const override
    {
        sut.append({{"kind", "change"}, {"digest", sha256_hex("")}});
    }

    void show(std::ostream& out) const override { out << "garbage"; }
};

struct poll : command
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, daemons);
    std::size_t limit = *rc::gen::inRange<std::size_t>(0, 12);
    bool damaged = *rc::gen::weightedElement<bool>({{5, false}, {1, true}});

    void run(plan const& /*model*/, world& sut) const override
    {
        sut.poll(daemon, limit, damaged);
    }

    void show(std::ostream& out) const override
    {
        out << "poll " << daemon << " limit " << limit
            << (damaged ? " damaged" : "");
    }
};

struct restart : command
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, daemons);

    void run(plan const& /*model*/, world& sut) const override
    {
        sut.restart(daemon);
    }

    void show(std::ostream& out) const override { out << "restart " << daemon; }
};

/// A daemon brings another up to date, by records or by its snapshot.
struct push : command
{
    std::size_t from = *rc::gen::inRange<std::size_t>(0, daemons);
    std::size_t to = *rc::gen::inRange<std::size_t>(0, daemons);
    bool whole = *rc::gen::arbitrary<bool>();

    void run(plan const& /*model*/, world& sut) const override
    {
        auto& source = *sut.followers[from];
        auto& target = *sut.followers[to];
        if (!source.in_force()) {
            return;
        }
        auto const records = source.records_from(target.version().offset);
        if (whole || !records) {
            bool const newer = source.version().offset > sut.versions[to];
            auto const outcome = target.adopt(source.snapshot());
            RC_ASSERT(failed(outcome) == !(source.ready() && newer));
        } else {
            for (auto const& record : *records) {
                auto const read = parse_relayed_record(to_json(record));
                RC_ASSERT(!failed(read));
                target.apply(value_of(read));
            }
        }
        sut.check(to);
    }

    void show(std::ostream& out) const override
    {
        out << "push " << from << " to " << to << (whole ? " whole" : "");
    }
};

/// A daemon writes its checkpoint, all of it or only some parts.
struct write_checkpoint_parts : command
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, daemons);
    std::size_t lost =
        *rc::gen::weightedElement<std::size_t>({{4, 0U}, {1, 1U}, {1, 2U}});

    void run(plan const& /*model*/, world& sut) const override
    {
        sut.now += std::chrono::hours{12};
        auto& follower = *sut.followers[daemon];
        auto const prefix = follower.version().offset;
        static_cast<void>(follower.due_checkpoint(sut.now));
        sut.now += std::chrono::seconds{10};
        auto records = follower.due_checkpoint(sut.now);
        auto const kept = records.size() - std::min(records.size(), lost);
        for (std::size_t i = 0; i < kept; ++i) {
            sut.append(records[i]);
        }
        if (kept > 0 && lost == 0) {
            sut.covered = std::max(sut.covered, prefix);
        }
    }

    void show(std::ostream& out) const override
    {
        out << "checkpoint " << daemon << " lost " << lost;
    }
};

struct expire : command
{
    bool too_much = *rc::gen::weightedElement<bool>({{9, false}, {1, true}});

    void run(plan const& /*model*/, world& sut) const override
    {
        sut.first = std::max<std::uint64_t>(sut.first, too_much ? sut.log.size()
                                                                : sut.covered);
    }

    void show(std::ostream& out) const override
    {
        out << "expire" << (too_much ? " too much" : "");
    }
};

log_record at(std::uint64_t offset, json value)
{
    return {offset, start_time, std::move(value)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(catalogue_follower_suite)

RC_BOOST_PROP(never_goes_back_and_converges, ())
{
    world sut;
    rc::state::check(
        plan{}, sut,
        rc::state::gen::execOneOfWithArgs<publish, publish, poll, poll, push,
                                          restart, write_checkpoint_parts,
                                          expire, publish_garbage>());
    sut.converge();
}

BOOST_AUTO_TEST_CASE(starts_from_a_checkpoint_once_records_expired)
{
    world sut;
    for (unsigned id = 1; id < 20; ++id) {
        sut.append(record_writer{}.write(make_change(
            id, id % 3,
            sut.state.entries.classes.contains("class" + std::to_string(id % 3))
                ? sut.state.entries.classes.at("class" + std::to_string(id % 3))
                      .at
                : 0,
            false)));
    }
    sut.poll(0, 100, false);
    auto& writer = *sut.followers[0];
    BOOST_TEST(writer.due_checkpoint(start_time).empty() ==
               (hash64("daemon0") % 5000 != 0));
    auto const parts =
        writer.due_checkpoint(start_time + std::chrono::seconds{5});
    BOOST_TEST(parts.size() > 1U);
    for (auto const& part : parts) {
        sut.append(part);
    }
    sut.first = sut.covered = 20;
    sut.poll(1, 100, false);
    BOOST_TEST(!sut.followers[1]->ready());
    sut.poll(1, 100, false);
    BOOST_TEST(sut.followers[1]->ready());
    BOOST_TEST((sut.followers[1]->version() != writer.version()));
    sut.poll(0, 100, false);
    BOOST_TEST((sut.followers[1]->version() == writer.version()));
    BOOST_TEST(
        writer.due_checkpoint(start_time + std::chrono::hours{1}).empty());
}

BOOST_AUTO_TEST_CASE(does_not_serve_without_a_catalogue)
{
    catalogue_follower follower{settings_of(0)};
    BOOST_TEST(!follower.ready());
    BOOST_TEST(follower.in_force() == nullptr);
    BOOST_TEST(failed(follower.observe_bounds(5, 9)) == false);
    follower.apply(at(8, {}));
    BOOST_TEST(failed(follower.observe_bounds(5, 9)));
    BOOST_TEST(!follower.ready());
    BOOST_TEST(failed(follower.adopt("{}")));
}

BOOST_AUTO_TEST_CASE(detects_truncated_damaged_and_reordered_logs)
{
    catalogue_follower follower{settings_of(0)};
    auto const first = record_writer{}.write(make_first_change());
    auto const second = record_writer{}.write(make_change(1, 1, 0, false));
    follower.apply(at(0, first));
    BOOST_TEST((follower.apply(at(2, second)).what == apply_result::gap));
    auto damaged = second;
    damaged["edits"][0]["name"] = "other";
    auto const before = follower.version();
    BOOST_TEST(
        (follower.apply(at(1, damaged)).what == apply_result::read_again));
    BOOST_TEST((follower.version() == before));
    BOOST_TEST(follower.apply(at(1, second)).decided->accepted);
    BOOST_TEST((follower.apply(at(1, second)).what == apply_result::already));
    BOOST_TEST(
        (follower.apply(at(1, first)).what == apply_result::disagreement));
    BOOST_TEST(failed(follower.observe_bounds(0, 1)));
    BOOST_TEST(follower.version().offset == 2U);

    catalogue_follower reordered{settings_of(1)};
    reordered.apply(at(0, first));
    reordered.apply(at(1, record_writer{}.write(make_change(2, 2, 0, false))));
    BOOST_TEST(!follower.agrees(reordered.version()));
}

BOOST_AUTO_TEST_CASE(refuses_a_change_made_on_another_log)
{
    catalogue_follower follower{settings_of(0)};
    follower.apply(at(0, record_writer{}.write(make_first_change())));
    auto value = make_change(1, 1, 0, false);
    value.anchor = catalogue_version{1, sha256_hex("another log")};
    auto const refused = follower.apply(at(1, record_writer{}.write(value)));
    BOOST_TEST((refused.decided->reason == refusal::wrong_anchor));
    value.anchor = follower.version();
    auto const outcome = follower.apply(at(2, record_writer{}.write(value)));
    BOOST_TEST(outcome.decided->accepted);
    BOOST_TEST(follower.find_verdict(value.id)->accepted);
}

BOOST_AUTO_TEST_SUITE_END()
