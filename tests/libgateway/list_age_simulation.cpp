#include "list_age_simulation.hpp"

#include <medlarstall/gateway/reader_role.hpp>

#include <algorithm>
#include <utility>

using namespace medlarstall;
using namespace medlarstall::gateway;
using namespace std::chrono_literals;

namespace {

using std::chrono::milliseconds;

// The times of the gateway's own settings.
constexpr auto tick_interval = 100ms;
constexpr auto update_interval = 200ms;
constexpr auto live_time = 2000ms;
constexpr auto discovery_time = 1000ms;
constexpr auto long_poll = 750ms;
constexpr auto overdue_after = 400ms;
constexpr auto read_interval = 600ms;
constexpr auto response_timeout = 1000ms;
constexpr auto retry_interval = 800ms;
constexpr auto fetch_timeout = 1500ms;
constexpr auto fetch_interval = 250ms;
/// A daemon counts as sound for so long after its last fault.
constexpr auto recovery_time = 3s;
constexpr auto store_poll = 10ms;
constexpr double datagram_loss = 0.02;

std::string name_of_server(std::size_t server)
{
    return "i-" + std::to_string(server);
}

std::string name_of_daemon(std::size_t which)
{
    return "d-" + std::to_string(which);
}

} // namespace

list_age_simulation::daemon::daemon(std::size_t rank, std::size_t daemons)
    : age{static_cast<double>(rank) / static_cast<double>(daemons)},
      fetches{rank, fetch_interval}
{}

list_age_simulation::list_age_simulation(std::size_t daemons,
                                         std::size_t servers,
                                         std::uint32_t seed)
    : random_{seed}, servers_{servers}
{
    for (std::size_t server = 0; server < servers; ++server) {
        changes_.push_back({start - 1min, server, true});
    }
    std::uniform_int_distribution<int> phase{0, 300};
    for (std::size_t which = 0; which < daemons; ++which) {
        daemons_.emplace_back(which, daemons);
        at(start + milliseconds{phase(random_)}, [this, which] {
            daemons_[which].last_tick_at = now_;
            read(which);
            tick(which);
        });
    }
    at(start + discovery_time, [this] { check(); });
}

void list_age_simulation::change_at(time_point when, std::size_t server,
                                    bool listed)
{
    changes_.push_back({when, server, listed});
    std::ranges::stable_sort(changes_, {}, &change::when);
}

void list_age_simulation::at(time_point when, std::function<void()> what)
{
    events_.push({std::max(when, now_), ++last_event_, std::move(what)});
}

/// Lets something happen at a daemon, when it runs again if it is frozen, and
/// not if it is killed until then.
void list_age_simulation::on_daemon(std::size_t which, time_point when,
                                    std::function<void(daemon&)> what)
{
    auto const run = daemons_[which].run;
    at(when, [this, which, run, what = std::move(what)] {
        if (daemons_[which].run != run) {
            return;
        }
        auto const thawed = thawed_at(which, now_);
        if (thawed > now_) {
            on_daemon(which, thawed, what);
        } else {
            what(daemons_[which]);
        }
    });
}

bool list_age_simulation::has_fault(std::size_t which, daemon_fault what) const
{
    return std::ranges::any_of(faults_, [&](fault_period const& fault) {
        return fault.daemon == which && fault.what == what &&
               fault.begin <= now_ && now_ < fault.end;
    });
}

time_point list_age_simulation::thawed_at(std::size_t which,
                                          time_point when) const
{
    for (auto const& fault : faults_) {
        if (fault.daemon == which && fault.what == daemon_fault::frozen &&
            fault.begin <= when && when < fault.end) {
            return fault.end;
        }
    }
    return when;
}

bool list_age_simulation::store_answers(std::size_t which) const
{
    return !has_fault(which, daemon_fault::silenced) &&
           std::ranges::none_of(outages_, [&](store_outage const& outage) {
               return outage.begin <= now_ && now_ < outage.end;
           });
}

/// \return true if a daemon must know the list; that it is slow, that others do
///     not answer it or that the store does not excuses nothing
bool list_age_simulation::is_sound(std::size_t which) const
{
    auto const bad = [which, this](fault_period const& fault) {
        return fault.daemon == which &&
               (fault.what == daemon_fault::killed ||
                fault.what == daemon_fault::frozen) &&
               fault.begin <= now_ && now_ < fault.end + recovery_time;
    };
    return now_ > start + recovery_time && std::ranges::none_of(faults_, bad);
}

bool list_age_simulation::store_is_sound() const
{
    return std::ranges::none_of(outages_, [this](store_outage const& outage) {
        return outage.begin <= now_ && now_ < outage.end + recovery_time;
    });
}

std::size_t list_age_simulation::written() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        changes_, [this](change const& item) { return item.when <= now_; }));
}

milliseconds list_age_simulation::delay_to(std::size_t which)
{
    std::uniform_int_distribution<int> usual{1, 15};
    std::uniform_int_distribution<int> slow{50, 200};
    return milliseconds{has_fault(which, daemon_fault::slow) ? slow(random_)
                                                             : usual(random_)};
}

void list_age_simulation::tick(std::size_t which)
{
    auto& who = daemons_[which];
    if (has_fault(which, daemon_fault::killed)) {
        auto const fault =
            std::ranges::find_if(faults_, [&](fault_period const& item) {
                return item.daemon == which && item.begin <= now_ &&
                       now_ < item.end;
            });
        auto const run = who.run + 1;
        who = daemon{which, daemons_.size()};
        who.run = run;
        at(fault->end, [this, which] {
            daemons_[which].last_tick_at = now_;
            read(which);
            tick(which);
        });
        return;
    }
    who.last_tick_at = now_;
    who.age.on_position({1, who.known});
    who.list.set_reachable(who.age.store_answers(now_),
                           who.age.steady_since().value_or(now_));
    who.list.expire(now_, [](std::string const&) {});
    update_role(which);
    fetch(which);
    if (who.age.read_is_due(now_, daemons_.size())) {
        auto const overdue =
            now_ - who.read_began_at > who.read_wait + overdue_after;
        if (who.reading ? overdue : !who.continuous) {
            read(which);
            who.age.on_read_begun(now_);
        }
    }
    if (who.continuous && !who.reading && now_ >= who.next_read_at) {
        read(which);
    }
    if (who.to_announce || now_ - who.sent_at >= update_interval) {
        send_update(which);
    }
    on_daemon(which, now_ + tick_interval,
              [this, which](daemon&) { tick(which); });
}

void list_age_simulation::update_role(std::size_t which)
{
    auto& who = daemons_[which];
    std::vector<reader_candidate> peers;
    for (auto const& [peer, heard] : who.peers) {
        if (now_ - heard.when < live_time) {
            peers.push_back({peer, true, heard.latest.reads_store});
        }
    }
    who.continuous =
        now_ >= start + discovery_time &&
        select_reader_role({which, true}, peers).reads_continuously;
}

/// Fetches what a peer has read.
void list_age_simulation::fetch(std::size_t which)
{
    auto& who = daemons_[which];
    std::vector<std::size_t> ahead;
    for (auto const& [peer, heard] : who.peers) {
        if (now_ - heard.when < live_time / 2 &&
            heard.latest.known > who.known) {
            ahead.push_back(peer);
        }
    }
    auto const turn = who.fetches.try_start(ahead.size(), now_);
    if (!turn) {
        return;
    }
    auto const peer = ahead[*turn];
    auto const answers = !has_fault(peer, daemon_fault::hanging) &&
                         !has_fault(peer, daemon_fault::killed) &&
                         !has_fault(peer, daemon_fault::frozen);
    auto const known = daemons_[peer].known;
    auto const arrival =
        now_ + (answers ? delay_to(peer) + delay_to(which) : fetch_timeout);
    on_daemon(which, arrival, [this, answers, known](daemon& self) {
        self.fetches.note_finished();
        if (answers) {
            apply(self, known);
        }
    });
}

void list_age_simulation::read(std::size_t which)
{
    auto& who = daemons_[which];
    auto const age =
        std::chrono::duration_cast<milliseconds>(now_ - who.end_known_at);
    who.read_wait = who.continuous && who.reachable
                        ? std::max<milliseconds>(long_poll - age, 0ms)
                        : 0ms;
    who.read_began_at = now_;
    who.reading = ++last_read_;
    ++reads_;
    ++reads_by_time_[(now_ - start) / 100ms];
    wait_for_answer(which, last_read_, now_ + who.read_wait);
    on_daemon(which, now_ + who.read_wait + response_timeout,
              [this, which, number = last_read_](daemon&) {
                  on_no_answer(which, number);
              });
}

/// Answers a read as the store does: at once if there are records.
void list_age_simulation::wait_for_answer(std::size_t which,
                                          std::uint64_t number,
                                          time_point answer_by)
{
    auto const& who = daemons_[which];
    auto const from = who.known;
    auto const began_at = who.read_began_at;
    auto const run = who.run;
    at(now_ + delay_to(which), [=, this] {
        if (daemons_[which].run != run || !store_answers(which)) {
            return;
        }
        if (written() <= from && now_ < answer_by) {
            at(now_ + store_poll, [=, this] {
                if (daemons_[which].run == run && store_answers(which)) {
                    wait_for_answer(which, number, answer_by);
                }
            });
            return;
        }
        auto const end = written();
        auto const held_open = end == from && now_ >= answer_by;
        on_daemon(which, now_ + delay_to(which), [=, this](daemon&) {
            on_answer(which, number, from, end,
                      held_open ? answer_by : began_at, held_open);
        });
    });
}

void list_age_simulation::on_answer(std::size_t which, std::uint64_t number,
                                    std::size_t from, std::size_t end,
                                    time_point as_of, bool held_open)
{
    auto& who = daemons_[which];
    apply(who, end);
    who.end_known_at = std::max(who.end_known_at, as_of);
    auto const grown = who.age.on_own_read(
        {name_of_daemon(which), {1, end}, as_of}, {1, who.known});
    who.to_announce = true;
    if (who.reading == number) {
        who.reading.reset();
        who.reachable = true;
        who.next_read_at = now_;
        if (end > from && !held_open) {
            who.next_read_at =
                std::max<time_point>(now_, who.read_began_at + read_interval);
        } else if (who.continuous) {
            read(which);
        }
    }
    if (grown) {
        send_update(which);
    }
}

void list_age_simulation::on_no_answer(std::size_t which, std::uint64_t number)
{
    auto& who = daemons_[which];
    if (who.reading == number) {
        who.reading.reset();
        who.reachable = false;
        who.next_read_at = now_ + retry_interval;
    }
}

void list_age_simulation::apply(daemon& who, std::size_t end)
{
    for (; who.known < end; ++who.known) {
        auto const& item = changes_[who.known];
        auto const id = name_of_server(item.server);
        if (item.listed) {
            who.list.apply(
                {id, "s", "10.0.0.1:80", "dc", 4, false, 1000, who.known + 1},
                now_);
        } else {
            who.list.remove(id, now_);
        }
    }
    who.has_read = true;
    who.age.on_position({1, who.known});
}

void list_age_simulation::send_update(std::size_t which)
{
    auto& who = daemons_[which];
    who.sent_at = now_;
    who.to_announce = false;
    auto const reads_store = who.continuous && who.reachable &&
                             now_ - who.end_known_at <= 2 * long_poll;
    update const sent{which, reads_store, who.known, who.age.announced(now_),
                      who.age.steady_for(now_)};
    std::bernoulli_distribution lost{datagram_loss};
    for (std::size_t peer = 0; peer < daemons_.size(); ++peer) {
        if (peer != which && !lost(random_)) {
            on_daemon(peer, now_ + delay_to(peer),
                      [this, sent](daemon& self) { on_update(self, sent); });
        }
    }
}

void list_age_simulation::on_update(daemon& who, update const& received)
{
    who.peers[received.from] = {received, now_};
    if (received.read) {
        std::optional<time_point> steady_since;
        if (received.steady_for) {
            steady_since = now_ - *received.steady_for;
        }
        who.age.on_read({name_of_daemon(received.from), received.read->end,
                         who.last_tick_at - received.read->age, steady_since},
                        {1, who.known});
    }
}

/// Compares what each daemon lists with what the store holds.
void list_age_simulation::check()
{
    at(now_ + tick_interval / 4, [this] { check(); });
    for (std::size_t server = 0; server < servers_; ++server) {
        auto const is_of_server = [&](change const& item) {
            return item.server == server && item.when <= now_;
        };
        auto const latest =
            std::find_if(changes_.rbegin(), changes_.rend(), is_of_server);
        auto const lapsed =
            std::ranges::any_of(outages_, [&](store_outage const& outage) {
                return outage.begin <= latest->when &&
                       latest->when <= outage.end;
            });
        for (std::size_t which = 0; which < daemons_.size(); ++which) {
            auto const& who = daemons_[which];
            if (!who.has_read || !is_sound(which)) {
                continue;
            }
            auto const lists = who.list.all().contains(name_of_server(server));
            if (!latest->listed && lists && !lapsed && store_is_sound()) {
                longest_late_use_ =
                    std::max(longest_late_use_, now_ - latest->when);
            }
            wrongly_dropped_ += !latest->listed && !lists && lapsed ? 1 : 0;
        }
    }
}

void list_age_simulation::run_until(time_point end)
{
    while (!events_.empty() && events_.top().when <= end) {
        auto const next = events_.top();
        events_.pop();
        now_ = next.when;
        next.what();
    }
}

std::size_t list_age_simulation::most_reads_at_once() const
{
    std::size_t most = 0;
    for (auto const& [time, count] : reads_by_time_) {
        if (time > discovery_time / 100ms) {
            most = std::max(most, count);
        }
    }
    return most;
}
