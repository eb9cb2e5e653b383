#include <medlarstall/duty/true_time.hpp>

#include <algorithm>
#include <vector>

namespace medlarstall::duty {

namespace {

using std::chrono::milliseconds;

/// From this number of clocks on, the median outvotes a third of the clocks
/// that jump together.
constexpr std::size_t min_clocks_to_outvote = 5;
/// A change of an offset by more than this is a jump of the clock. Delays of
/// updates stay below it.
constexpr milliseconds min_jump{300};
/// A jump that persists for this long is a correction of the clock; clocks that
/// are wrong jump back within seconds.
constexpr std::chrono::seconds max_jump_time{60};
/// A daemon that is silent for longer no longer votes: its clock may have been
/// corrected since.
constexpr std::chrono::seconds max_silence{30};
/// Most other daemons whose clocks are kept.
constexpr std::size_t max_peers = 1024;
/// The start of 2200. Later times are no present times.
constexpr wall_time max_wall{std::chrono::seconds{7'258'118'400}};

milliseconds since_epoch(time_point when)
{
    return std::chrono::duration_cast<milliseconds>(when.time_since_epoch());
}

} // namespace

true_time::offset true_time::clock::latest() const
{
    auto const count = std::min(taken, samples.size());
    return *std::max_element(samples.begin(), samples.begin() + count);
}

void true_time::add_sample(clock& target, wall_time wall, time_point now)
{
    auto const is_first = target.taken == 0;
    target.samples.at(target.taken % sample_count) =
        wall.time_since_epoch() - since_epoch(now);
    ++target.taken;
    target.heard_at = now;
    auto const found = target.latest();
    auto const jumped =
        !is_first && std::chrono::abs(found - target.held) > min_jump;
    if (jumped && !target.deviates_since) {
        target.deviates_since = now;
        ++target.jumps;
    }
    if (!jumped || now - *target.deviates_since > max_jump_time) {
        target.held = found;
        target.deviates_since.reset();
    }
}

void true_time::on_own_clock(wall_time wall, time_point now)
{
    add_sample(own_, wall, now);
    forget_silent(now);
    update_median();
}

void true_time::on_peer_clock(std::string const& daemon, wall_time wall,
                              time_point now)
{
    auto const is_present = wall > wall_time{} && wall < max_wall;
    auto const has_room = peers_.size() < max_peers || peers_.contains(daemon);
    if (is_present && has_room) {
        add_sample(peers_[daemon], wall, now);
    }
}

void true_time::on_suspended()
{
    peers_.clear();
    own_ = clock{.jumps = own_.jumps};
}

void true_time::forget_silent(time_point now)
{
    std::erase_if(peers_, [now](auto const& item) {
        return now - item.second.heard_at > max_silence;
    });
}

void true_time::update_median()
{
    auto const outvotes = peers_.size() + 1 >= min_clocks_to_outvote;
    auto const vote_of = [outvotes](clock const& item) {
        return outvotes ? item.latest() : item.held;
    };
    std::vector<offset> votes{vote_of(own_)};
    for (auto const& [daemon, item] : peers_) {
        votes.push_back(vote_of(item));
    }
    std::ranges::sort(votes);
    clock_count_ = votes.size();
    auto const upper = votes[votes.size() / 2];
    auto const lower = votes[(votes.size() - 1) / 2];
    median_ = lower + (upper - lower) / 2;
    own_deviation_ = own_.latest() - median_;
}

wall_time true_time::at(time_point when) const
{
    return clock_count_ == 0 ? wall_time{}
                             : wall_time{since_epoch(when) + median_};
}

} // namespace medlarstall::duty
