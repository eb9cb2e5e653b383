// Followers and a store that is restored from copies, against what the store
// holds: writes, copies, returns, late and lost answers, records from peers.

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
constexpr std::size_t readers = 2; ///< The others learn from peers only.
constexpr std::size_t keys = 5;

/// A store with one ledger, a copy of it, and what it would answer.
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
    std::vector<entry> copied_log;
    std::uint64_t copied_first = 0;

    std::map<std::string, record> newest() const
    {
        std::map<std::string, record> found;
        for (std::uint64_t at = 0; at < log.size(); ++at) {
            found[log[at].key] = {log[at].key, log[at].value, at};
        }
        std::erase_if(found,
                      [](auto const& item) { return !item.second.value; });
        return found;
    }

    page_result read_newest() const
    {
        record_page page{{}, log.size(), true, era};
        for (auto const& [key, item] : newest()) {
            page.records.push_back(item);
        }
        return page;
    }

    page_result read_from(std::uint64_t from) const
    {
        if (from < first || from > log.size()) {
            return store_failure::forgotten;
        }
        record_page page{{}, log.size(), false, era};
        for (auto at = from; at < log.size(); ++at) {
            page.records.push_back({log[at].key, log[at].value, at});
        }
        return page;
    }
};

/// One step of a history; what its numbers mean depends on the kind.
struct step
{
    enum class kind
    {
        write,
        remove,
        compact,
        copy,
        restore,
        ask,     ///< A question reaches the store.
        answer,  ///< The answer to the oldest question comes.
        lose,    ///< It is lost.
        send,    ///< A daemon asks another for records.
        receive, ///< The oldest records from a peer come.
        restart  ///< A daemon begins anew.
    };
    kind what;
    std::size_t first;
    std::size_t second;
};

/// A daemon's follower with its questions, checked while it learns.
struct daemon
{
    struct question
    {
        bool whole = false;
        std::uint64_t from = 0;
        page_handler done;
        std::optional<page_result> answer;
    };
    std::deque<question> questions;
    std::map<std::string, std::string> known;
    std::map<std::string, store_position> seen;
    std::uint64_t last_era = 0;
    store_position last;
    std::shared_ptr<record_follower> follower;
};

/// All daemons and the store.
struct fleet
{
    asio::io_context context;
    model_store store;
    std::array<daemon, followers> daemons;
    std::array<record_store, followers> stores;
    std::deque<std::pair<std::size_t, record_page>> from_peers;
    std::uint64_t writes = 0;

    fleet()
    {
        for (std::size_t at = 0; at < followers; ++at) {
            begin(at);
        }
    }

    ~fleet()
    {
        for (auto const& one : daemons) {
            one.follower->stop();
        }
    }

    void begin(std::size_t at)
    {
        auto& one = daemons.at(at);
        if (one.follower) {
            one.follower->stop();
        }
        one = {};
        stores.at(at).read_newest = [&one](ledger, page_handler done) {
            one.questions.push_back({true, 0, std::move(done), {}});
        };
        stores.at(at).read_from = [&one](ledger, std::uint64_t from,
                                         std::chrono::milliseconds,
                                         page_handler done) {
            one.questions.push_back({false, from, std::move(done), {}});
        };
        follow_events events;
        events.changed = [&one](record const& item) {
            if (item.value) {
                one.known[item.key] = *item.value;
            } else {
                one.known.erase(item.key);
            }
            return true;
        };
        events.restored = [&one](std::uint64_t era) {
            RC_ASSERT(era > one.last_era);
            one.last_era = era;
        };
        events.reachable = [](bool, char const*) {
        };
        follow_settings settings;
        settings.first_backoff = settings.longest_backoff =
            std::chrono::milliseconds{0};
        one.follower = std::make_shared<record_follower>(
            context, ledger::members, stores.at(at), settings,
            std::move(events));
        if (at < readers) {
            one.follower->set_eager(true);
        } else {
            one.follower->start();
        }
    }

    void run()
    {
        context.restart();
        context.poll();
        for (auto& one : daemons) {
            RC_ASSERT(one.follower->position() >= one.last);
            one.last = one.follower->position();
        }
    }

    void ask(std::size_t at)
    {
        for (auto& item : daemons.at(at).questions) {
            if (!item.answer) {
                item.answer = item.whole ? store.read_newest()
                                         : store.read_from(item.from);
                return;
            }
        }
    }

    void answer(std::size_t at, bool lost)
    {
        auto& questions = daemons.at(at).questions;
        if (questions.empty() || (!questions.front().answer && !lost)) {
            return;
        }
        auto item = std::move(questions.front());
        questions.pop_front();
        item.done(lost ? page_result{store_failure::unreachable}
                       : *item.answer);
    }

    void hand_on(std::size_t from, std::size_t to)
    {
        auto const& asker = *daemons.at(to).follower;
        auto const& asked = *daemons.at(from).follower;
        if (asked.position() > asker.position()) {
            from_peers.emplace_back(
                to, asked.changes(asker.position(), change_choice::all));
        }
    }

    void receive()
    {
        if (!from_peers.empty()) {
            auto const [to, page] = std::move(from_peers.front());
            from_peers.pop_front();
            daemons.at(to).follower->absorb(page);
        }
    }

    void play(step const& next)
    {
        auto const one = next.first % followers;
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
            store.copied_log = store.log;
            store.copied_first = store.first;
            break;
        case step::kind::restore:
            store.log = store.copied_log;
            store.first = store.copied_first;
            ++store.era;
            break;
        case step::kind::ask:
            ask(one);
            break;
        case step::kind::answer:
            answer(one, false);
            break;
        case step::kind::lose:
            answer(one, true);
            break;
        case step::kind::send:
            hand_on(one, next.second % followers);
            break;
        case step::kind::receive:
            receive();
            break;
        case step::kind::restart:
            begin(one);
            break;
        }
        run();
    }

    /// Lets everything arrive, then everybody learn.
    void settle()
    {
        constexpr int rounds = 12;
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t at = 0; at < followers; ++at) {
                while (!daemons.at(at).questions.empty() &&
                       daemons.at(at).questions.front().answer) {
                    answer(at, false);
                }
                ask(at);
                answer(at, false);
                run();
            }
            while (!from_peers.empty()) {
                receive();
            }
            for (std::size_t at = readers; at < followers; ++at) {
                hand_on(0, at);
                receive();
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
        auto const what = gen::weightedElement<kind>({{6, kind::write},
                                                      {2, kind::remove},
                                                      {1, kind::compact},
                                                      {2, kind::copy},
                                                      {2, kind::restore},
                                                      {8, kind::ask},
                                                      {8, kind::answer},
                                                      {2, kind::lose},
                                                      {4, kind::send},
                                                      {4, kind::receive},
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

BOOST_AUTO_TEST_CASE(all_daemons_come_to_know_what_a_restored_store_holds)
{
    auto const holds = rc::check([](std::vector<step> const& steps) {
        fleet world;
        for (auto const& next : steps) {
            world.play(next);
        }
        world.settle();
        std::map<std::string, std::string> expected;
        for (auto const& [key, item] : world.store.newest()) {
            expected[key] = *item.value;
        }
        for (auto const& one : world.daemons) {
            RC_ASSERT(one.known == expected);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
