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

constexpr std::size_t daemon_count = 3;
constexpr wall_time start_time{std::chrono::hours{500'000}};

follower_settings settings_of(std::size_t daemon)
{
    return {.daemon_id = "daemon" + std::to_string(daemon),
            .bootstrap_key_digest = sha256_hex("root"),
            .checkpoints = {.record_interval = 8},
            .checkpoint_part_bytes = 400,
            .max_relayed_records = 6};
}

/// Makes a change that sets or deletes one service class.
/// \param expected expected revision, which may be wrong
change make_change(unsigned id, unsigned name, revision expected, bool remove)
{
    change value{.id = to_string(make_uuid_v7(start_time, 0, id)),
                 .author = "root",
                 .author_key_digest = sha256_hex("root")};
    edit item{.kind = entry_kind::service_class,
              .name = "class" + std::to_string(name),
              .expected = expected};
    if (!remove) {
        item.put = service_class{
            .name = item.name, .owner = "all", .tier = id % 8, .floor = 0.25};
    }
    value.edits.push_back(std::move(item));
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

/// A log whose oldest records expire, the daemons that follow it, and the
/// expected state after each record, computed from the complete log.
struct simulation
{
    std::vector<json> log;
    /// Digest of the expected catalogue at each offset.
    std::vector<std::string> expected_digests;
    std::uint64_t first_offset = 0; ///< Lowest retained offset.
    /// Offset below which a complete checkpoint covers all records.
    std::uint64_t covered_offset = 0;
    std::array<std::unique_ptr<catalogue_follower>, daemon_count> followers;
    std::array<std::uint64_t, daemon_count> last_versions{};
    std::array<std::map<std::uint64_t, int>, daemon_count> damaged_reads;
    catalogue_state state;
    wall_time now = start_time;

    simulation()
    {
        for (std::size_t i = 0; i < daemon_count; ++i) {
            restart(i);
        }
        expected_digests.push_back(catalogue_digest(state.entries));
        append(record_writer{}.write(make_first_change()));
    }

    void restart(std::size_t i)
    {
        followers[i] = std::make_unique<catalogue_follower>(settings_of(i));
        last_versions[i] = 0;
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
        expected_digests.push_back(catalogue_digest(state.entries));
    }

    void poll(std::size_t i, std::size_t limit, bool damaged)
    {
        auto& follower = *followers[i];
        auto offset = std::max(follower.next_offset(), first_offset);
        for (; limit > 0 && offset < log.size(); --limit, ++offset) {
            log_record record{offset, now, log[offset]};
            if (damaged && damaged_reads[i][offset]++ < 4) {
                record.value["digest"] = sha256_hex("damage");
                damaged = false;
            }
            if (follower.apply(record).kind == apply_result::read_again) {
                break;
            }
        }
        static_cast<void>(follower.update_log_bounds(first_offset, log.size()));
        check(i);
    }

    /// Checks that the version did not decrease, that the catalogue in force is
    /// the expected one and that the daemon agrees with all others.
    void check(std::size_t i)
    {
        auto& follower = *followers[i];
        auto const version = follower.version().offset;
        RC_ASSERT(version >= last_versions[i]);
        RC_ASSERT(version <= log.size());
        last_versions[i] = version;
        auto const in_force = follower.in_force();
        if (in_force) {
            RC_ASSERT(catalogue_digest(in_force->entries) ==
                      expected_digests[version]);
            RC_ASSERT(in_force->version.offset <= version);
        }
        for (auto const& other : followers) {
            RC_ASSERT(follower.agrees_with(other->version()) ||
                      !other->in_force());
        }
    }

    void check_convergence()
    {
        for (std::size_t i = 0; i < daemon_count; ++i) {
            for (std::size_t round = 0; round < 8 * log.size(); ++round) {
                poll(i, log.size(), false);
            }
            if (first_offset <= covered_offset ||
                last_versions[i] >= first_offset) {
                RC_ASSERT(last_versions[i] == log.size());
                RC_ASSERT(followers[i]->ready());
            }
        }
    }
};

/// Model for the stateful test; it tracks only the length of the log.
struct log_model
{
    std::size_t records = 1;
};

using command = rc::state::Command<log_model, simulation>;

struct publish : command
{
    unsigned id = *rc::gen::inRange(1U, 400U);
    unsigned name = *rc::gen::inRange(0U, 3U);
    unsigned revisions_behind =
        *rc::gen::weightedElement<unsigned>({{5, 0U}, {1, 1U}, {1, 2U}});
    bool remove = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});

    void apply(log_model& model) const override { ++model.records; }

    void run(log_model const& /*model*/, simulation& sut) const override
    {
        auto const& classes = sut.state.entries.classes;
        auto const found = classes.find("class" + std::to_string(name));
        revision const at = found == classes.end() ? 0 : found->second.at;
        sut.append(record_writer{}.write(make_change(
            id, name, at - std::min<revision>(at, revisions_behind), remove)));
    }

    void show(std::ostream& out) const override
    {
        out << "publish " << id << " class" << name << " behind "
            << revisions_behind << (remove ? " delete" : "");
    }
};

struct publish_malformed_record : command
{
    void run(log_model const& /*model*/, simulation& sut) const override
    {
        sut.append({{"kind", "change"}, {"digest", sha256_hex("")}});
    }

    void show(std::ostream& out) const override { out << "malformed record"; }
};

struct poll : command
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, daemon_count);
    std::size_t limit = *rc::gen::inRange<std::size_t>(0, 12);
    bool damaged = *rc::gen::weightedElement<bool>({{5, false}, {1, true}});

    void run(log_model const& /*model*/, simulation& sut) const override
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
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, daemon_count);

    void run(log_model const& /*model*/, simulation& sut) const override
    {
        sut.restart(daemon);
    }

    void show(std::ostream& out) const override { out << "restart " << daemon; }
};

/// A daemon updates another by relayed records or by its snapshot.
struct update_peer : command
{
    std::size_t from = *rc::gen::inRange<std::size_t>(0, daemon_count);
    std::size_t to = *rc::gen::inRange<std::size_t>(0, daemon_count);
    bool send_snapshot = *rc::gen::arbitrary<bool>();

    void run(log_model const& /*model*/, simulation& sut) const override
    {
        auto& source = *sut.followers[from];
        auto& target = *sut.followers[to];
        if (!source.in_force()) {
            return;
        }
        auto const records = source.records_from(target.version().offset);
        if (send_snapshot || !records) {
            bool const newer = source.version().offset > sut.last_versions[to];
            auto const outcome = target.install(source.snapshot());
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
        out << "update peer " << from << " to " << to
            << (send_snapshot ? " snapshot" : "");
    }
};

/// A daemon writes its checkpoint; the last parts may be lost.
struct write_checkpoint_parts : command
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, daemon_count);
    std::size_t lost_parts =
        *rc::gen::weightedElement<std::size_t>({{4, 0U}, {1, 1U}, {1, 2U}});

    void run(log_model const& /*model*/, simulation& sut) const override
    {
        sut.now += std::chrono::hours{12};
        auto& follower = *sut.followers[daemon];
        auto const end_offset = follower.version().offset;
        static_cast<void>(follower.take_due_checkpoint(sut.now));
        sut.now += std::chrono::seconds{10};
        auto records = follower.take_due_checkpoint(sut.now);
        auto const written_parts =
            records.size() - std::min(records.size(), lost_parts);
        for (std::size_t i = 0; i < written_parts; ++i) {
            sut.append(records[i]);
        }
        if (written_parts > 0 && lost_parts == 0) {
            sut.covered_offset = std::max(sut.covered_offset, end_offset);
        }
    }

    void show(std::ostream& out) const override
    {
        out << "checkpoint " << daemon << " lost " << lost_parts;
    }
};

struct expire : command
{
    bool expire_all = *rc::gen::weightedElement<bool>({{9, false}, {1, true}});

    void run(log_model const& /*model*/, simulation& sut) const override
    {
        sut.first_offset = std::max<std::uint64_t>(
            sut.first_offset, expire_all ? sut.log.size() : sut.covered_offset);
    }

    void show(std::ostream& out) const override
    {
        out << "expire" << (expire_all ? " all" : "");
    }
};

log_record make_log_record(std::uint64_t offset, json value)
{
    return {offset, start_time, std::move(value)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(catalogue_follower_suite)

// Runs random commands on a log and three daemons: changes, malformed records,
// damaged reads, restarts, updates between peers, incomplete checkpoints and
// expiry of records. No version may ever decrease, every catalogue in force
// must match the log, and all daemons must reach its end unless records that no
// complete checkpoint covers have expired.
RC_BOOST_PROP(version_never_decreases_and_daemons_converge, ())
{
    simulation sut;
    rc::state::check(
        log_model{}, sut,
        rc::state::gen::execOneOfWithArgs<
            publish, publish, poll, poll, update_peer, restart,
            write_checkpoint_parts, expire, publish_malformed_record>());
    sut.check_convergence();
}

// A daemon that starts when the first records have expired must reach the state
// of the daemon that wrote the checkpoint. The first poll only scans the log
// for a checkpoint; the second applies the records after it.
BOOST_AUTO_TEST_CASE(starts_from_a_checkpoint_after_records_expired)
{
    simulation sut;
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
    BOOST_TEST(writer.take_due_checkpoint(start_time).empty() ==
               (hash64("daemon0") % 5000 != 0));
    auto const parts =
        writer.take_due_checkpoint(start_time + std::chrono::seconds{5});
    BOOST_TEST(parts.size() > 1U);
    for (auto const& part : parts) {
        sut.append(part);
    }
    sut.first_offset = sut.covered_offset = 20;
    sut.poll(1, 100, false);
    BOOST_TEST(!sut.followers[1]->ready());
    sut.poll(1, 100, false);
    BOOST_TEST(sut.followers[1]->ready());
    BOOST_TEST((sut.followers[1]->version() != writer.version()));
    sut.poll(0, 100, false);
    BOOST_TEST((sut.followers[1]->version() == writer.version()));
    BOOST_TEST(
        writer.take_due_checkpoint(start_time + std::chrono::hours{1}).empty());
}

BOOST_AUTO_TEST_CASE(is_not_ready_without_a_catalogue)
{
    catalogue_follower follower{settings_of(0)};
    BOOST_TEST(!follower.ready());
    BOOST_TEST(follower.in_force() == nullptr);
    BOOST_TEST(failed(follower.update_log_bounds(5, 9)) == false);
    follower.apply(make_log_record(8, {}));
    BOOST_TEST(failed(follower.update_log_bounds(5, 9)));
    BOOST_TEST(!follower.ready());
    BOOST_TEST(failed(follower.install("{}")));
}

BOOST_AUTO_TEST_CASE(detects_truncated_damaged_and_reordered_logs)
{
    catalogue_follower follower{settings_of(0)};
    auto const first = record_writer{}.write(make_first_change());
    auto const second = record_writer{}.write(make_change(1, 1, 0, false));
    follower.apply(make_log_record(0, first));
    BOOST_TEST(
        (follower.apply(make_log_record(2, second)).kind == apply_result::gap));
    auto damaged = second;
    damaged["edits"][0]["name"] = "other";
    auto const before = follower.version();
    BOOST_TEST((follower.apply(make_log_record(1, damaged)).kind ==
                apply_result::read_again));
    BOOST_TEST((follower.version() == before));
    BOOST_TEST(follower.apply(make_log_record(1, second)).decision->accepted);
    BOOST_TEST((follower.apply(make_log_record(1, second)).kind ==
                apply_result::already_applied));
    BOOST_TEST((follower.apply(make_log_record(1, first)).kind ==
                apply_result::digest_mismatch));
    BOOST_TEST(failed(follower.update_log_bounds(0, 1)));
    BOOST_TEST(follower.version().offset == 2U);

    catalogue_follower reordered{settings_of(1)};
    reordered.apply(make_log_record(0, first));
    reordered.apply(
        make_log_record(1, record_writer{}.write(make_change(2, 2, 0, false))));
    BOOST_TEST(!follower.agrees_with(reordered.version()));
}

// An operator who read the catalogue from a daemon with a different log must
// not publish a change on top of it.
BOOST_AUTO_TEST_CASE(refuses_a_change_anchored_in_another_log)
{
    catalogue_follower follower{settings_of(0)};
    follower.apply(
        make_log_record(0, record_writer{}.write(make_first_change())));
    auto value = make_change(1, 1, 0, false);
    value.anchor = catalogue_version{1, sha256_hex("another log")};
    auto const refused =
        follower.apply(make_log_record(1, record_writer{}.write(value)));
    BOOST_TEST((refused.decision->reason == refusal_reason::wrong_anchor));
    value.anchor = follower.version();
    auto const outcome =
        follower.apply(make_log_record(2, record_writer{}.write(value)));
    BOOST_TEST(outcome.decision->accepted);
    BOOST_TEST(follower.find_verdict(value.id)->accepted);
}

BOOST_AUTO_TEST_SUITE_END()
