// Tests from which release a stream may be continued: single cases, and a fleet
// in virtual time with the rule as oracle.

#include <medlarstall/dispatch/stream_origins.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace medlarstall;
using namespace medlarstall::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr auto step = 100ms;
constexpr auto simulated_time = 120s;
constexpr auto lifetime = 24s;
constexpr auto longest_stream = 12s;
constexpr auto write_interval = 250ms;
/// Lists of daemons in touch differ by no more than this.
constexpr auto max_list_lag = 1s;

/// What one simulation plays.
struct scenario
{
    std::size_t daemons = 5;
    bool kills = false;         ///< Of a third of the daemons.
    bool kill_all = false;      ///< Of all daemons at once, every 20 s.
    bool store_outages = false; ///< The store answers nobody for 6 s.
    bool cuts = false;          ///< Some daemons lose store and peers for 9 s.
    bool taken_back = false;    ///< A release is replaced by the one before.
    bool third = false;         ///< A third release comes while two serve.
    bool brief = false;         ///< Releases come every 11 s and go after 2 s.
    bool reconfigured = false;  ///< The lifetime changes every 5 s.
    bool drills = false;        ///< The store is restored every 40 s.
    bool drill_kills = false;   ///< And all daemons are killed meanwhile.
    std::uint32_t seed = 1;
};

/// A fleet that begins, breaks and continues streams of one service.
class streaming_fleet
{
public:
    explicit streaming_fleet(scenario const& played)
        : played_{played}, random_{played.seed}
    {
        daemons_.resize(played.daemons);
        for (auto& daemon : daemons_) {
            boot(daemon, start);
            daemon.origins->on_first_start();
            daemon.history_read = daemon.history_whole = true;
        }
    }

    void play()
    {
        for (now_ = start; now_ < start + simulated_time; now_ += step) {
            change_releases();
            disrupt();
            keep_copy();
            for (std::size_t at = 0; at < daemons_.size(); ++at) {
                act(at);
            }
            begin_streams();
            take_up_streams();
        }
    }

    int joined = 0;
    int taken_up = 0; ///< While store and daemon were sound for long.
    int went_on = 0;

private:
    struct daemon_state
    {
        std::unique_ptr<stream_origins> origins;
        time_point up_from;
        time_point cut_until;
        time_point written_at;
        std::vector<std::string> list;
        time_point list_delay;
        std::size_t log_read_to = 0;
        std::uint64_t written = 0;
        bool history_read = false;
        bool history_whole = false;
        duration lifetime = ::lifetime; ///< Under the configuration it knows.
        time_point reconfigured_at;
    };
    /// The store as it was at a time.
    struct store_copy
    {
        time_point at;
        std::map<std::size_t, stream_origin_record> records;
        std::vector<std::string> list;
    };
    struct broken_stream
    {
        std::uint64_t id;
        std::string version;
        time_point began_at;
        time_point taken_up_at;
        duration longest;   ///< Time limit of its caller.
        std::size_t daemon; ///< The one that began it.
        time_point up_from; ///< Start of that daemon.
    };

    int draw(int below)
    {
        return std::uniform_int_distribution<int>{0, below - 1}(random_);
    }

    void boot(daemon_state& daemon, time_point from)
    {
        daemon = {};
        daemon.origins = std::make_unique<stream_origins>(from);
        daemon.lifetime = configured_lifetime(from);
        daemon.origins->set_lifetime(daemon.lifetime, from);
        daemon.reconfigured_at = from;
        daemon.up_from = from;
        daemon.log_read_to = listed_log_.size();
    }

    /// \return twice the time limit of streams in the newest configuration
    duration configured_lifetime(time_point at) const
    {
        constexpr std::array<duration, 4> series{14s, 10s, 10s, 30s};
        auto const change = static_cast<std::size_t>((at - start) / 5s);
        return played_.reconfigured ? series[change % series.size()] : lifetime;
    }

    void configure(daemon_state& daemon)
    {
        auto const wanted = configured_lifetime(now_);
        if (wanted == daemon.lifetime) {
            daemon.reconfigured_at = now_ + draw(20) * step;
        } else if (now_ >= daemon.reconfigured_at) {
            daemon.lifetime = wanted;
            daemon.origins->set_lifetime(wanted, now_);
        }
    }

    void change_releases()
    {
        auto const second = (now_ - start) / 1s;
        std::vector<std::string> next{"a"};
        if (second >= 30 && second < 45) {
            next = {"a", "b"};
        } else if (second >= 45 && second < 80) {
            next = {"b"};
        }
        if (played_.third && second >= 38 && second < 60) {
            next.emplace_back("c");
        }
        if (second >= 80) {
            next = {played_.taken_back ? "a" : "b"};
        }
        if (played_.reconfigured || played_.drills) {
            next = successors(second);
        }
        if (played_.brief && second % 11 >= 9) {
            next.push_back("brief-" + std::to_string(second / 11));
        }
        std::ranges::copy_if(
            next, std::back_inserter(listed_log_), [this](auto const& version) {
                return std::ranges::find(serving_, version) == serving_.end();
            });
        serving_ = next;
    }

    /// Each release is replaced by the next one every 40 s, a little before
    /// the store is restored.
    static std::vector<std::string> successors(std::int64_t second)
    {
        auto const number = second / 40;
        std::vector<std::string> next{"r" + std::to_string(number)};
        if (second % 40 >= 37) {
            next.push_back("r" + std::to_string(number + 1));
        }
        return next;
    }

    void disrupt()
    {
        auto const elapsed = (now_ - start) / step;
        auto const each = [&](auto span) {
            return elapsed > 0 && elapsed % (span / step) == 0;
        };
        if (played_.store_outages && each(17s)) {
            store_down_until_ = now_ + 6s;
        }
        if (played_.kill_all && each(20s)) {
            for (auto& daemon : daemons_) {
                boot(daemon, now_ + 1s + draw(10) * step);
            }
        }
        if (played_.drills && each(40s)) {
            restore_store();
        }
        for (auto& daemon : daemons_) {
            if (played_.kills && each(7s) && draw(3) == 0) {
                boot(daemon, now_ + 500ms);
            }
            if (played_.cuts && each(13s) && draw(3) == 0) {
                daemon.cut_until = now_ + 9s;
            }
        }
    }

    void keep_copy()
    {
        constexpr auto oldest = 6s;
        if ((now_ - start) % 1s != duration{0}) {
            return;
        }
        copies_.push_back({now_, store_, listed()});
        std::erase_if(copies_, [&](store_copy const& copy) {
            return now_ - copy.at > oldest;
        });
    }

    /// The store is away for a moment and comes back from an older copy. Those
    /// that serve write their entries again within two seconds.
    void restore_store()
    {
        auto const& copy = copies_.at(
            static_cast<std::size_t>(draw(static_cast<int>(copies_.size()))));
        store_ = copy.records;
        restored_list_ = copy.list;
        ++era_;
        store_down_until_ = now_ + 500ms;
        restored_at_ = store_down_until_;
        relisted_at_.clear();
        for (auto const& version : serving_) {
            relisted_at_[version] = restored_at_ + draw(20) * step;
        }
        for (auto& daemon : daemons_) {
            daemon.log_read_to = listed_log_.size();
            if (played_.drill_kills) {
                boot(daemon, now_ + 200ms + draw(20) * step);
            }
        }
    }

    /// \return versions that the list holds; those that have left are removed
    ///     from a restored one after two seconds, too
    std::vector<std::string> listed() const
    {
        if (era_ == 1 || now_ >= restored_at_ + 2s) {
            return serving_;
        }
        auto versions = restored_list_;
        for (auto const& version : serving_) {
            auto const again = relisted_at_.find(version);
            auto const is_back =
                again == relisted_at_.end() || now_ >= again->second;
            if (is_back &&
                std::ranges::find(versions, version) == versions.end()) {
                versions.push_back(version);
            }
        }
        return versions;
    }

    bool reaches_store(daemon_state const& daemon) const
    {
        return now_ >= store_down_until_ && now_ >= daemon.cut_until;
    }

    /// Reads all changes of the list up to now.
    void read_list(daemon_state& daemon) const
    {
        for (; daemon.log_read_to < listed_log_.size(); ++daemon.log_read_to) {
            daemon.origins->on_listed({"s", listed_log_[daemon.log_read_to]},
                                      now_);
        }
        daemon.list = listed();
        for (auto const& version : daemon.list) {
            daemon.origins->on_listed({"s", version}, now_);
        }
        daemon.origins->on_era(era_, true, now_);
    }

    std::vector<stream_origin_record> stored() const
    {
        std::vector<stream_origin_record> records;
        records.reserve(store_.size());
        for (auto const& [key, record] : store_) {
            records.push_back(record);
        }
        return records;
    }

    void act(std::size_t at)
    {
        auto& daemon = daemons_[at];
        if (now_ < daemon.up_from) {
            return;
        }
        auto& origins = *daemon.origins;
        auto const reaches = reaches_store(daemon);
        if (reaches) {
            origins.on_era(era_, true, now_);
            if (now_ >= daemon.list_delay) {
                read_list(daemon);
                daemon.list_delay = now_ + draw(max_list_lag / step) * step;
            }
            configure(daemon);
        }
        for (auto const& version : daemon.list) {
            origins.on_listed({"s", version}, now_);
        }
        if (now_ >= daemon.cut_until) {
            tell_peers(at);
        }
        origins.expire(now_);
        if (!reaches) {
            return;
        }
        if (!daemon.history_read) {
            daemon.history_read = true;
            if (store_.contains(at)) {
                origins.merge_earlier_run(store_.at(at), now_);
            }
            daemon.history_whole = origins.merge_history(stored(), era_, now_);
        }
        if (origins.revision() != daemon.written &&
            now_ - daemon.written_at >= write_interval) {
            daemon.written_at = now_;
            daemon.written = origins.revision();
            store_[at] = origins.own_record(now_);
        }
    }

    void tell_peers(std::size_t from)
    {
        // A datagram to a few daemons, as cells bound who is told.
        constexpr std::size_t told_at_once = 4;
        auto const releases = daemons_[from].origins->mixed_releases(now_);
        for (std::size_t offset = 1; offset <= told_at_once; ++offset) {
            auto& daemon = daemons_[(from + offset) % daemons_.size()];
            if (now_ < daemon.up_from || now_ < daemon.cut_until) {
                continue;
            }
            for (auto const& release : releases) {
                daemon.origins->on_told(release, now_);
            }
        }
    }

    daemon_state* pick()
    {
        auto& daemon = daemons_[static_cast<std::size_t>(
            draw(static_cast<int>(daemons_.size())))];
        auto const usable = now_ >= daemon.up_from && !daemon.list.empty();
        return usable ? &daemon : nullptr;
    }

    void begin_streams()
    {
        auto* const daemon = pick();
        if (daemon == nullptr) {
            return;
        }
        auto const time_limit =
            played_.reconfigured ? daemon->lifetime / 2 : longest_stream;
        // A server that has left does not answer, whatever the list says.
        std::vector<std::string> usable;
        std::ranges::copy_if(daemon->list, std::back_inserter(usable),
                             [this](auto const& version) {
                                 return std::ranges::find(serving_, version) !=
                                        serving_.end();
                             });
        if (usable.empty()) {
            return;
        }
        auto const& version = usable[static_cast<std::size_t>(
            draw(static_cast<int>(usable.size())))];
        auto const id = ++last_id_;
        daemon->origins->on_begun(id, {"s", version}, now_);
        if (draw(2) == 0) {
            daemon->origins->on_ended(id, draw(2) == 0, now_);
        }
        auto const most_steps = (time_limit - 3s) / step;
        broken_.push_back(
            {id, version, now_,
             now_ + 1s + draw(static_cast<int>(most_steps)) * step, time_limit,
             static_cast<std::size_t>(daemon - &daemons_[0]), daemon->up_from});
    }

    bool is_calm(daemon_state const& daemon) const
    {
        auto const unknown_for = played_.drill_kills ? lifetime : 5s;
        return !played_.store_outages && !played_.cuts &&
               now_ - daemon.up_from > 3s &&
               (era_ == 1 || now_ - restored_at_ > unknown_for);
    }

    void take_up_streams()
    {
        std::erase_if(broken_, [this](broken_stream const& stream) {
            if (now_ < stream.taken_up_at) {
                return false;
            }
            end(stream);
            auto* const daemon = pick();
            if (daemon != nullptr && now_ - stream.began_at < stream.longest) {
                take_up(*daemon, stream);
            }
            return true;
        });
    }

    /// The daemon that began a stream notices that it has broken off.
    void end(broken_stream const& stream)
    {
        auto& daemon = daemons_[stream.daemon];
        if (daemon.up_from == stream.up_from) {
            daemon.origins->on_ended(stream.id, false, now_);
        }
    }

    void read_records(daemon_state& daemon)
    {
        if (daemon.history_whole) {
            daemon.origins->merge_streams(stored(), now_);
        } else {
            daemon.history_whole =
                daemon.origins->merge_history(stored(), era_, now_);
        }
    }

    void take_up(daemon_state& daemon, broken_stream const& stream)
    {
        if (reaches_store(daemon)) {
            read_list(daemon);
        }
        auto const current = reaches_store(daemon) && daemon.history_read &&
                             daemon.origins->list_is_settled(now_);
        auto origin = daemon.origins->find(stream.id, "s", current, now_);
        if (origin.evidence == origin_evidence::none && reaches_store(daemon)) {
            read_records(daemon);
            origin = daemon.origins->find(stream.id, "s", current, now_);
        }
        auto const serves =
            std::ranges::find(serving_, stream.version) != serving_.end();
        auto const known = origin.evidence != origin_evidence::none;
        joined += known && origin.release.version != stream.version ? 1 : 0;
        if (serves && is_calm(daemon)) {
            ++taken_up;
            went_on += known ? 1 : 0;
        }
    }

    scenario played_;
    std::mt19937 random_;
    time_point now_;
    std::vector<daemon_state> daemons_;
    std::map<std::size_t, stream_origin_record> store_;
    std::vector<std::string> serving_;
    std::vector<std::string> listed_log_; ///< Each version that was added.
    std::vector<broken_stream> broken_;
    time_point store_down_until_;
    std::vector<store_copy> copies_;
    std::vector<std::string> restored_list_;
    std::map<std::string, time_point> relisted_at_;
    time_point restored_at_;
    std::uint64_t era_ = 1;
    std::uint64_t last_id_ = 0;
};

void check(scenario played)
{
    std::uint32_t const seeds = played.daemons > 100 ? 1 : 3;
    for (played.seed = 1; played.seed <= seeds; ++played.seed) {
        BOOST_TEST_CONTEXT("daemons " << played.daemons << " seed "
                                      << played.seed)
        {
            streaming_fleet fleet{played};
            fleet.play();
            BOOST_TEST(fleet.joined == 0);
            BOOST_TEST(fleet.went_on * 2 >= fleet.taken_up);
        }
    }
}

software_release const older{"s", "v1"};
software_release const newer{"s", "v2"};

} // namespace

BOOST_AUTO_TEST_SUITE(stream_origins_suite)

BOOST_AUTO_TEST_CASE(no_stream_is_joined_by_fleets_of_any_size)
{
    for (std::size_t const daemons : {5, 30, 118, 350}) {
        check({.daemons = daemons, .third = true});
        check({.daemons = daemons, .kills = true, .taken_back = true});
        check({.daemons = daemons, .kill_all = true, .third = true});
    }
}

// A daemon that had just started took the list and the records of a restored
// store for whole. They lacked a release that came after the copy.
BOOST_AUTO_TEST_CASE(no_stream_is_joined_by_restores_of_the_store)
{
    for (std::size_t const daemons : {1, 5, 30}) {
        check({.daemons = daemons, .third = true, .drills = true});
        check({.daemons = daemons, .brief = true, .drills = true});
        check({.daemons = daemons,
               .taken_back = true,
               .third = true,
               .drills = true,
               .drill_kills = true});
        check({.daemons = daemons,
               .kills = true,
               .cuts = true,
               .brief = true,
               .reconfigured = true,
               .drills = true,
               .drill_kills = daemons % 2 == 0});
    }
    check({.daemons = 118, .drills = true, .drill_kills = true});
}

// A stream was taken for one of the release that serves now, as the
// configuration had been changed to shorter time limits since it began.
BOOST_AUTO_TEST_CASE(no_stream_is_joined_while_time_limits_change)
{
    for (std::size_t const daemons : {1, 5, 30}) {
        check({.daemons = daemons, .third = true, .reconfigured = true});
        check({.daemons = daemons,
               .kills = true,
               .taken_back = true,
               .reconfigured = true});
        check({.daemons = daemons,
               .kill_all = true,
               .brief = true,
               .reconfigured = true});
    }
    check({.daemons = 118, .kill_all = true, .reconfigured = true});
}

BOOST_AUTO_TEST_CASE(no_stream_is_joined_by_several_disruptions_at_once)
{
    for (std::size_t const daemons : {5, 30}) {
        check({.daemons = daemons, .kills = true, .store_outages = true});
        check({.daemons = daemons, .kill_all = true, .cuts = true});
        check({.daemons = daemons,
               .store_outages = true,
               .cuts = true,
               .brief = true});
        check({.daemons = daemons,
               .kills = true,
               .kill_all = true,
               .store_outages = true,
               .cuts = true,
               .taken_back = true,
               .third = true});
    }
}

// A daemon that has just started cannot know what served before.
BOOST_AUTO_TEST_CASE(a_new_daemon_knows_no_only_release)
{
    stream_origins origins{start};
    origins.on_listed(older, start);
    BOOST_TEST(
        (origins.find(1, "s", true, start).evidence == origin_evidence::none));
    origins.merge_history({{{older}, {}}}, 1, start);
    BOOST_TEST((origins.find(1, "s", true, start).evidence ==
                origin_evidence::only_release));
    BOOST_TEST(
        (origins.find(1, "s", false, start).evidence == origin_evidence::none));
}

// A release counts for as long as streams that it began may be taken up.
BOOST_AUTO_TEST_CASE(a_release_counts_after_it_has_left)
{
    stream_origins origins{start};
    origins.on_first_start();
    origins.set_lifetime(lifetime, start);
    origins.on_listed(older, start);
    origins.on_listed(newer, start + 1s);
    origins.expire(start + lifetime);
    BOOST_TEST(origins.is_mixed("s", start + lifetime));
    origins.on_listed(newer, start + lifetime + 1s);
    origins.expire(start + lifetime + 1s);
    BOOST_TEST(!origins.is_mixed("s", start + lifetime + 1s));
}

// Only a record of the present era tells a daemon that starts that it knows all
// releases; one of an older version does not tell its era.
BOOST_AUTO_TEST_CASE(a_daemon_that_starts_after_a_restore_knows_no_only_release)
{
    auto const knows = [](std::vector<stream_origin_record> const& records,
                          duration after) {
        stream_origins origins{start};
        origins.set_lifetime(lifetime, start);
        origins.merge_history(records, 3, start);
        for (auto now = start; now <= start + after; now += step) {
            origins.on_era(3, true, now);
            origins.on_listed(older, now);
        }
        return origins
                   .find(1, "s", origins.list_is_settled(start + after),
                         start + after)
                   .evidence == origin_evidence::only_release;
    };
    stream_origin_record record{{older}, {}, lifetime};
    BOOST_TEST(!knows({record}, 5s));
    record.era = 2;
    record.is_whole = true;
    BOOST_TEST(!knows({record}, 5s));
    BOOST_TEST(knows({record}, lifetime + step));
    stream_origin_record unknowing{{older}, {}, lifetime, 3, false};
    BOOST_TEST(!knows({record, unknowing}, 5s));
    record.era = 3;
    BOOST_TEST(knows({record, unknowing}, 0s));
}

// A daemon that runs through a restore remembers what has served. It says so to
// those that start later once the list has been written again.
BOOST_AUTO_TEST_CASE(a_daemon_that_runs_through_a_restore_tells_what_it_knows)
{
    stream_origins origins{start};
    origins.on_first_start();
    origins.on_era(1, true, start);
    origins.on_listed(older, start);
    BOOST_TEST(origins.list_is_settled(start));
    auto const restored_at = start + 10s;
    origins.on_era(2, true, restored_at);
    BOOST_TEST(!origins.list_is_settled(restored_at + 2s));
    origins.on_era(2, false, restored_at + 2s); // It is away again.
    origins.expire(restored_at + 4s);
    BOOST_TEST(!origins.own_record(restored_at + 4s).is_whole);
    auto const revision = origins.revision();
    origins.expire(restored_at + 5s);
    BOOST_TEST(origins.own_record(restored_at + 5s).is_whole);
    BOOST_TEST(origins.own_record(restored_at + 5s).era.value_or(0) == 2U);
    BOOST_TEST(origins.revision() > revision);
}

// The stream outlasted the lifetime of a configuration that came after it, and
// its own release was forgotten while it ran.
BOOST_AUTO_TEST_CASE(a_running_stream_keeps_its_release_and_its_lifetime)
{
    stream_origins origins{start};
    origins.on_first_start();
    origins.set_lifetime(lifetime, start);
    origins.on_listed(older, start);
    origins.on_begun(7, older, start);
    origins.set_lifetime(10s, start + 1s);
    origins.set_lifetime(2s, start + 2s);
    auto now = start + 1s;
    for (; now < start + 60s; now += step) {
        origins.on_listed(newer, now);
        origins.expire(now);
        BOOST_REQUIRE(origins.is_mixed("s", now));
        BOOST_REQUIRE(origins.mixed_releases(now).size() == 2U);
    }
    origins.on_ended(7, false, now);
    origins.expire(now);
    BOOST_TEST((origins.find(7, "s", true, now).release == older));
    now += 3s;
    origins.on_listed(newer, now);
    origins.expire(now);
    BOOST_TEST(origins.stream_count() == 0U);
    BOOST_TEST(!origins.is_mixed("s", now));
}

// Another daemon began the stream and was killed, and a daemon that started
// afterwards knows only the shorter limit of the configuration in force.
BOOST_AUTO_TEST_CASE(a_record_keeps_the_lifetime_that_its_writer_knew)
{
    stream_origins writer{start};
    writer.on_first_start();
    writer.set_lifetime(lifetime, start);
    writer.on_listed(older, start);
    writer.on_listed(newer, start);
    writer.set_lifetime(2s, start + 1s);
    stream_origins reader{start + 2s};
    reader.set_lifetime(2s, start + 2s);
    reader.merge_history({writer.own_record(start + 2s)}, 1, start + 2s);
    auto const later = start + 2s + lifetime;
    reader.expire(later);
    BOOST_TEST(reader.is_mixed("s", later));
    reader.expire(later + 1s);
    BOOST_TEST(!reader.is_mixed("s", later + 1s));
}

// A series of changes must not let the memory grow.
BOOST_AUTO_TEST_CASE(lifetimes_of_many_configurations_are_bounded)
{
    lifetime_history lifetimes;
    for (int change = 0; change < 1000; ++change) {
        auto const now = start + change * 1ms;
        lifetimes.set(20s - change * 1ms, now);
        BOOST_REQUIRE(lifetimes.since(now) >= 20s - change * 1ms);
        BOOST_REQUIRE(lifetimes.since(start) == 20s);
    }
    lifetimes.expire(start + 60s);
    BOOST_TEST((lifetimes.longest() == 20s - 999ms));
}

// A malformed record must not harm the others.
BOOST_AUTO_TEST_CASE(a_record_with_an_unknown_release_is_ignored)
{
    stream_origins origins{start};
    origins.merge_streams({{{older}, {{7, 3}, {8, 0}}}}, start);
    BOOST_TEST(
        (origins.find(7, "s", true, start).evidence == origin_evidence::none));
    BOOST_TEST((origins.find(8, "s", true, start).release == older));
}

// A daemon of an older version skips a stream without an index of a release.
BOOST_AUTO_TEST_CASE(
    an_unidentified_stream_is_taken_for_one_of_the_only_release)
{
    auto const now = time_point{} + 1h;
    stream_origins origins{now};
    origins.on_first_start();
    origins.on_listed({"s", "v1"}, now);
    BOOST_TEST((origins.find(7, "s", true, now).evidence ==
                origin_evidence::only_release));
    origins.on_unidentified(7, "s", now);
    BOOST_TEST((origins.find(7, "s", true, now).evidence ==
                origin_evidence::unidentified));
    BOOST_TEST(origins.find(7, "s", true, now).release.version.empty());
    origins.on_listed({"s", "v2"}, now);
    auto const record = origins.own_record(now);
    BOOST_REQUIRE(record.streams.size() == 1U);
    BOOST_TEST(record.streams[0].release == stream_origin_record::no_release);
    stream_origins other{now};
    other.merge_streams({record}, now);
    BOOST_TEST((other.find(7, "s", true, now).evidence ==
                origin_evidence::unidentified));
}

// The daemon that had begun the stream at an unlisted process was killed.
BOOST_AUTO_TEST_CASE(a_stream_of_a_killed_daemon_is_taken_for_the_only_release)
{
    auto const now = time_point{} + 1h;
    stream_origins origins{now};
    origins.on_first_start();
    origins.on_listed({"s", "v1"}, now);
    origins.set_unidentified("10.0.0.1:1", {7, 8}, now);
    BOOST_TEST((origins.find(7, "s", true, now + 5s).evidence ==
                origin_evidence::none));
    origins.set_unidentified("10.0.0.1:1", {8}, now + 6s);
    BOOST_TEST((origins.find(7, "s", true, now + 6s).evidence ==
                origin_evidence::only_release));
    BOOST_TEST((origins.find(8, "s", true, now + 6s).evidence ==
                origin_evidence::none));
}

BOOST_AUTO_TEST_SUITE_END()
