#ifndef MEDLARSTALL_DISPATCH_CRASHING_PARTS_HPP
#define MEDLARSTALL_DISPATCH_CRASHING_PARTS_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace medlarstall::dispatch {

/// Ids of the prompt parts that a request may share with others, in the order
/// of the prompt.
using part_ids = std::vector<std::uint64_t>;

/// A prompt part that is taken to crash the backend servers that run requests
/// with it.
struct part_blame
{
    std::uint64_t part = 0;
    std::size_t crashes = 0;          ///< Crashes that are explained by it.
    std::chrono::milliseconds age{0}; ///< Time since the last of them.
};

/// A prompt part that the sender does not blame.
struct sound_part
{
    std::uint64_t part = 0;
    /// Time since a request with it succeeded; empty if the sender has only
    /// withdrawn its blame.
    std::optional<std::chrono::milliseconds> age;
};

/// A change of the blamed parts, for the log.
struct blame_change
{
    std::uint64_t part = 0;
    bool blamed = false;
    bool told = false; ///< By another daemon.
    std::size_t crashes = 0;
};

/// A crash of a backend server, and the requests that it has broken off.
struct server_crash
{
    std::uint64_t id = 0; ///< The same at all daemons.
    time_point at;
    /// Parts of those requests, with the largest position in a prompt.
    std::map<std::uint64_t, std::size_t> parts;
};

/// Finds the fewest parts that explain crashes. A part explains a crash if a
/// request with it was broken off. Parts of requests that only ran beside, and
/// the other parts of the same requests, are told apart by requests with them
/// that succeed, and by explaining fewer crashes.
/// \param crashes the crashes
/// \param last_success returns when a request with a part last succeeded, or
///     nothing if none is known
/// \return the parts, with the number of crashes that each explains
[[nodiscard]] std::vector<part_blame> find_crashing_parts(
    std::vector<server_crash const*> crashes,
    std::function<std::optional<time_point>(std::uint64_t)> const&
        last_success);

/// Keeps the crashes and successes of the fleet as far as this daemon knows
/// them, and the parts that are blamed. Does no I/O; owned by the crash
/// tracker.
class crashing_parts
{
public:
    /// Adds a request that was broken off by a crash.
    /// \param crash_id id of the crash, the same at all daemons
    /// \param parts shared parts of the request
    /// \param at when its connection was lost
    /// \param now current time
    void on_crash(std::uint64_t crash_id, part_ids const& parts, time_point at,
                  time_point now);

    /// Called when a request has succeeded.
    /// \param parts shared parts of the request
    /// \param now current time
    void on_success(part_ids const& parts, time_point now);

    /// Adds a part that another daemon blames, unless requests with it have
    /// succeeded here.
    /// \param told the part
    /// \param now current time
    void merge_blame(part_blame const& told, time_point now);

    /// Adds a success that another daemon has seen, or a blame that it has
    /// withdrawn.
    /// \param told the part
    /// \param now current time
    void merge_sound(sound_part const& told, time_point now);

    /// Decides anew which parts are blamed, if what is known has changed. To be
    /// called before find_blamed().
    /// \param now current time
    void update(time_point now);

    /// \param parts shared parts of a request
    /// \param now current time
    /// \return the first of them that is blamed, if any
    [[nodiscard]] std::optional<part_blame> find_blamed(part_ids const& parts,
                                                        time_point now) const;

    /// \param now current time
    /// \return all blamed parts
    [[nodiscard]] std::vector<part_blame> blamed(time_point now) const;

    /// \param since start of the time span, exclusive
    /// \param now current time
    /// \return parts to announce, which came under suspicion or were released
    ///     in the time span
    [[nodiscard]] std::vector<sound_part> sound_since(time_point since,
                                                      time_point now) const;

    /// \return changes since the last call
    [[nodiscard]] std::vector<blame_change> take_changes();

private:
    struct blame_state
    {
        std::size_t crashes = 0;
        time_point last_crash;
        bool told = false;
    };

    using success_times = std::unordered_map<std::uint64_t, time_point>;

    std::optional<time_point> last_success(std::uint64_t part) const;
    void remember_success(std::uint64_t part, time_point at);
    bool in_any_crash(std::uint64_t part) const;
    bool is_explained(std::uint64_t part,
                      std::vector<part_blame> const& by) const;
    void announce_sound(std::uint64_t part, time_point now);
    void add_blame(std::uint64_t part, blame_state const& state);
    void release(std::uint64_t part, time_point now);
    void release_expired(time_point now);
    void reassess(time_point now);

    std::deque<server_crash> crashes_;
    std::map<std::uint64_t, blame_state> blamed_;
    /// Two generations, so that the memory is bounded.
    success_times successes_;
    success_times older_successes_;
    std::map<std::uint64_t, time_point> sound_announced_at_;
    std::vector<blame_change> changes_;
    bool changed_ = false; ///< Since the last assessment.
    time_point assessed_at_;
};

} // namespace medlarstall::dispatch

#endif
