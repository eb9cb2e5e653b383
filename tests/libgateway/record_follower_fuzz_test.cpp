// Model-based test of record followers. Random sequences of writes, copies and
// restores of the store, late and lost responses, and records from peers must
// leave every follower with exactly the records that the store holds.

#include <medlarstall/gateway/record_follower.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <utility>
#include <vector>

using namespace medlarstall::gateway;

namespace {

constexpr std::size_t followers = 4;
constexpr std::size_t readers = 2; ///< Others receive records from peers only.
constexpr std::size_t keys = 5;

/// Model of a store with one topic, a copy to restore it from, and the
/// responses that it would give.
struct model_store
{
    struct entry
    {
        std::string key;
        std::optional<std::string> value;
    };
    std::vector<entry> log;
    std::uint64_t first = 0;
    std::uint64_t era = 1;
    std::vector<entry> copy_log;
    std::uint64_t copy_first = 0;

    std::map<std::string, record> newest() const
    {
        std::map<std::string, record> latest;
        for (std::uint64_t at = 0; at < log.size(); ++at) {
            latest[log[at].key] = {log[at].key, log[at].value, at};
        }
        std::erase_if(latest,
                      [](auto const& item) { return !item.second.value; });
        return latest;
    }

    read_result read_newest() const
    {
        record_page page{{}, log.size(), true, era};
        for (auto const& [key, item] : newest()) {
            page.records.push_back(item);
        }
        return page;
    }

    read_result read_from(std::uint64_t from) const
    {
        if (from < first || from > log.size()) {
            return store_failure::offset_unavailable;
        }
        record_page page{{}, log.size(), false, era};
        for (auto at = from; at < log.size(); ++at) {
            page.records.push_back({log[at].key, log[at].value, at});
        }
        return page;
    }
};

/// One step of a random history. The meaning of its numbers depends on the
/// kind.
struct step
{
    enum class kind
    {
        write,
        remove,
        compact,
        copy,
        restore,
        deliver_request,  ///< The oldest open request reaches the store.
        deliver_response, ///< The response to the oldest request arrives.
        lose_response,    ///< The response to the oldest request is lost.
        send_records,     ///< A daemon requests records from another.
        receive_records,  ///< The oldest records from a peer arrive.
        restart           ///< A daemon restarts without any records.
    };
    kind what;
    std::size_t first;
    std::size_t second;
};

/// Follower of a daemon, its open requests to the store, and what it has
/// reported so far.
struct daemon
{
    struct request
    {
        bool snapshot = false;
        std::uint64_t from = 0;
        read_handler done;
        std::optional<read_result> response;
    };
    std::deque<request> requests;
    std::map<std::string, std::string> reported;
    std::map<std::string, store_position> seen;
    std::uint64_t last_restored_era = 0;
    store_position last_position;
    std::shared_ptr<record_follower> follower;
};

/// The daemons, the store, and the records in transit between daemons.
struct fleet
{
    asio::io_context context;
    model_store store;
    std::array<daemon, followers> daemons;
    std::array<record_store, followers> stores;
    std::deque<std::pair<std::size_t, record_page>> in_transit;
    std::uint64_t writes = 0;

    fleet()
    {
        for (std::size_t at = 0; at < followers; ++at) {
            start(at);
        }
    }

    ~fleet()
    {
        for (auto const& current : daemons) {
            current.follower->stop();
        }
    }

    void start(std::size_t at)
    {
        auto& current = daemons.at(at);
        if (current.follower) {
            current.follower->stop();
        }
        current = {};
        stores.at(at).read_snapshot = [&current](record_topic,
                                                 read_handler done) {
            current.requests.push_back({true, 0, std::move(done), {}});
        };
        stores.at(at).read_from = [&current](record_topic, std::uint64_t from,
                                             std::chrono::milliseconds,
                                             read_handler done) {
            current.requests.push_back({false, from, std::move(done), {}});
        };
        record_follower_events events;
        events.on_change = [&current](record const& item) {
            if (item.value) {
                current.reported[item.key] = *item.value;
            } else {
                current.reported.erase(item.key);
            }
            return true;
        };
        events.on_restore = [&current](std::uint64_t era) {
            RC_ASSERT(era > current.last_restored_era);
            current.last_restored_era = era;
        };
        events.on_reachability = [](bool, char const*) {
        };
        topic_read_settings settings;
        settings.initial_backoff = settings.max_backoff =
            std::chrono::milliseconds{0};
        current.follower = std::make_shared<record_follower>(
            context, record_topic::members, stores.at(at), settings,
            std::move(events));
        if (at < readers) {
            current.follower->set_continuous(true);
        } else {
            current.follower->start();
        }
    }

    void run()
    {
        context.restart();
        context.poll();
        for (auto& current : daemons) {
            RC_ASSERT(current.follower->position() >= current.last_position);
            current.last_position = current.follower->position();
        }
    }

    void deliver_request(std::size_t at)
    {
        for (auto& item : daemons.at(at).requests) {
            if (!item.response) {
                item.response = item.snapshot ? store.read_newest()
                                              : store.read_from(item.from);
                return;
            }
        }
    }

    void deliver_response(std::size_t at, bool lost)
    {
        auto& requests = daemons.at(at).requests;
        if (requests.empty() || (!requests.front().response && !lost)) {
            return;
        }
        auto item = std::move(requests.front());
        requests.pop_front();
        item.done(lost ? read_result{store_failure::unreachable}
                       : *item.response);
    }

    void send_records(std::size_t from, std::size_t to)
    {
        auto const& requester = *daemons.at(to).follower;
        auto const& responder = *daemons.at(from).follower;
        if (responder.position() > requester.position()) {
            in_transit.emplace_back(
                to, responder.changes_since(requester.position(),
                                            change_filter::all));
        }
    }

    void receive_records()
    {
        if (!in_transit.empty()) {
            auto const [to, page] = std::move(in_transit.front());
            in_transit.pop_front();
            daemons.at(to).follower->merge_page(page);
        }
    }

    void apply(step const& next)
    {
        auto const index = next.first % followers;
        auto const key = "k" + std::to_string(next.second % keys);
        switch (next.what) {
        case step::kind::write:
            store.log.push_back({key, std::to_string(++writes)});
            break;
        case step::kind::remove:
            store.log.push_back({key, std::nullopt});
            break;
        case step::kind::compact:
            store.first = store.log.size();
            break;
        case step::kind::copy:
            store.copy_log = store.log;
            store.copy_first = store.first;
            break;
        case step::kind::restore:
            store.log = store.copy_log;
            store.first = store.copy_first;
            ++store.era;
            break;
        case step::kind::deliver_request:
            deliver_request(index);
            break;
        case step::kind::deliver_response:
            deliver_response(index, false);
            break;
        case step::kind::lose_response:
            deliver_response(index, true);
            break;
        case step::kind::send_records:
            send_records(index, next.second % followers);
            break;
        case step::kind::receive_records:
            receive_records();
            break;
        case step::kind::restart:
            start(index);
            break;
        }
        run();
    }

    /// Delivers everything in transit, then lets all followers catch up.
    void settle()
    {
        constexpr int rounds = 12;
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t at = 0; at < followers; ++at) {
                while (!daemons.at(at).requests.empty() &&
                       daemons.at(at).requests.front().response) {
                    deliver_response(at, false);
                }
                deliver_request(at);
                deliver_response(at, false);
                run();
            }
            while (!in_transit.empty()) {
                receive_records();
            }
            for (std::size_t at = readers; at < followers; ++at) {
                send_records(0, at);
                receive_records();
            }
        }
    }
};

} // namespace

namespace rc {

template<>
struct Arbitrary<step>
{
    static Gen<step> arbitrary()
    {
        using kind = step::kind;
        auto const what =
            gen::weightedElement<kind>({{6, kind::write},
                                        {2, kind::remove},
                                        {1, kind::compact},
                                        {2, kind::copy},
                                        {2, kind::restore},
                                        {8, kind::deliver_request},
                                        {8, kind::deliver_response},
                                        {2, kind::lose_response},
                                        {4, kind::send_records},
                                        {4, kind::receive_records},
                                        {1, kind::restart}});
        return gen::build<step>(
            gen::set(&step::what, what),
            gen::set(&step::first, gen::inRange<std::size_t>(0, 60)),
            gen::set(&step::second, gen::inRange<std::size_t>(0, 60)));
    }
};

} // namespace rc

namespace {

std::ostream& operator<<(std::ostream& out, step const& value)
{
    return out << static_cast<int>(value.what) << ':' << value.first << ':'
               << value.second;
}

} // namespace

BOOST_AUTO_TEST_SUITE(record_follower_fuzz_suite)

BOOST_AUTO_TEST_CASE(all_daemons_converge_on_the_records_of_a_restored_store)
{
    auto const holds = rc::check([](std::vector<step> const& steps) {
        fleet simulated;
        for (auto const& next : steps) {
            simulated.apply(next);
        }
        simulated.settle();
        std::map<std::string, std::string> expected;
        for (auto const& [key, item] : simulated.store.newest()) {
            expected[key] = *item.value;
        }
        for (auto const& current : simulated.daemons) {
            RC_ASSERT(current.reported == expected);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
