#include <medlarstall/dispatch/crashing_parts.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace medlarstall::dispatch {

namespace {

using std::chrono::milliseconds;

/// Crashes closer than this count once, since one disruption may end several
/// backend servers.
constexpr milliseconds crash_spacing{50};
/// Crashes from which on a part is blamed of which no request has succeeded.
constexpr std::size_t min_crashes = 3;
/// Crashes since the last success from which on another part is blamed.
constexpr std::size_t min_crashes_after_success = 8;
/// Time for which crashes are remembered and a part stays blamed after its
/// last crash.
constexpr std::chrono::minutes memory{10};
/// Bounds on the memory that is used.
constexpr std::size_t max_crashes = 64;
constexpr std::size_t max_parts_of_crash = 256;
constexpr std::size_t max_successes = 2048;
constexpr std::size_t max_blamed = 64;
constexpr std::size_t max_announced = 512;
/// Shortest time between two assessments, which bounds their cost.
constexpr milliseconds assessment_interval{40};

milliseconds to_milliseconds(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

/// What speaks against a part.
struct suspicion
{
    std::optional<time_point> last_success;
    std::size_t crashes = 0;  ///< Spaced crashes since then that it explains.
    std::size_t position = 0; ///< Its largest position in a prompt.
    std::optional<time_point> counted_at; ///< The last of these crashes.

    void add(time_point at, std::size_t new_position)
    {
        if (last_success && at <= *last_success) {
            return;
        }
        position = std::max(position, new_position);
        if (!counted_at || at - *counted_at >= crash_spacing) {
            ++crashes;
            counted_at = at;
        }
    }

    [[nodiscard]] bool sufficient() const
    {
        return crashes >=
               (last_success ? min_crashes_after_success : min_crashes);
    }
};

using suspicions = std::map<std::uint64_t, suspicion>;

/// \return the part that explains most crashes, if it explains enough. Of parts
///     that explain equally many the later one in the prompts comes first,
///     since more sound requests share the earlier ones.
std::optional<part_blame> find_worst(suspicions const& all)
{
    std::optional<part_blame> worst;
    std::size_t worst_position = 0;
    for (auto const& [part, against] : all) {
        auto const worse =
            !worst || std::tuple{against.crashes, against.position} >
                          std::tuple{worst->crashes, worst_position};
        if (against.sufficient() && worse) {
            worst = part_blame{part, against.crashes, {}};
            worst_position = against.position;
        }
    }
    return worst;
}

} // namespace

std::vector<part_blame> find_crashing_parts(
    std::vector<server_crash const*> crashes,
    std::function<std::optional<time_point>(std::uint64_t)> const& last_success)
{
    std::ranges::sort(crashes, {}, [](auto const* crash) { return crash->at; });
    std::vector<part_blame> found;
    for (;;) {
        suspicions all;
        for (auto const* const crash : crashes) {
            for (auto const& [part, position] : crash->parts) {
                auto const [entry, added] = all.try_emplace(part);
                if (added) {
                    entry->second.last_success = last_success(part);
                }
                entry->second.add(crash->at, position);
            }
        }
        auto const worst = find_worst(all);
        if (!worst) {
            return found;
        }
        found.push_back(*worst);
        std::erase_if(crashes, [&worst](auto const* crash) {
            return crash->parts.contains(worst->part);
        });
    }
}

std::optional<time_point> crashing_parts::last_success(std::uint64_t part) const
{
    for (auto const* const times : {&successes_, &older_successes_}) {
        if (auto const found = times->find(part); found != times->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

void crashing_parts::remember_success(std::uint64_t part, time_point at)
{
    if (successes_.size() >= max_successes && !successes_.contains(part)) {
        older_successes_ = std::exchange(successes_, {});
    }
    auto const known = last_success(part);
    successes_[part] = std::max(at, known.value_or(at));
}

bool crashing_parts::in_any_crash(std::uint64_t part) const
{
    return std::ranges::any_of(crashes_, [part](server_crash const& crash) {
        return crash.parts.contains(part);
    });
}

void crashing_parts::announce_sound(std::uint64_t part, time_point now)
{
    if (sound_announced_at_.size() >= max_announced) {
        sound_announced_at_.clear();
    }
    sound_announced_at_[part] = now;
}

void crashing_parts::add_blame(std::uint64_t part, blame_state const& state)
{
    auto const known = blamed_.contains(part);
    if (!known && blamed_.size() >= max_blamed) {
        return;
    }
    blamed_[part] = state;
    if (!known) {
        changes_.push_back({part, true, state.told, state.crashes});
    }
}

void crashing_parts::release(std::uint64_t part, time_point now)
{
    auto const found = blamed_.find(part);
    if (found != blamed_.end()) {
        changes_.push_back({part, false, false, found->second.crashes});
        blamed_.erase(found);
        announce_sound(part, now);
    }
}

void crashing_parts::release_expired(time_point now)
{
    std::vector<std::uint64_t> expired;
    for (auto const& [part, state] : blamed_) {
        if (now - state.last_crash >= memory) {
            expired.push_back(part);
        }
    }
    for (auto const part : expired) {
        release(part, now);
    }
}

void crashing_parts::update(time_point now)
{
    release_expired(now);
    if (!changed_ || now - assessed_at_ < assessment_interval) {
        return;
    }
    changed_ = false;
    assessed_at_ = now;
    reassess(now);
}

/// \return true if other parts explain all known crashes of a part
bool crashing_parts::is_explained(std::uint64_t part,
                                  std::vector<part_blame> const& by) const
{
    return std::ranges::all_of(crashes_, [&](server_crash const& crash) {
        return !crash.parts.contains(part) ||
               std::ranges::any_of(by, [&](part_blame const& other) {
                   return other.part != part &&
                          crash.parts.contains(other.part);
               });
    });
}

/// Blames what explains the known crashes, and releases what other parts
/// explain. A part whose crashes are forgotten for newer ones stays blamed.
void crashing_parts::reassess(time_point now)
{
    std::erase_if(crashes_, [now](server_crash const& crash) {
        return now - crash.at >= memory;
    });
    std::vector<server_crash const*> known;
    known.reserve(crashes_.size());
    for (auto const& crash : crashes_) {
        known.push_back(&crash);
    }
    auto const found = find_crashing_parts(
        known, [this](std::uint64_t part) { return last_success(part); });
    std::vector<std::uint64_t> released;
    for (auto const& [part, state] : blamed_) {
        if (!state.told && in_any_crash(part) && is_explained(part, found)) {
            released.push_back(part);
        }
    }
    for (auto const part : released) {
        release(part, now);
    }
    for (auto const& item : found) {
        blame_state state{item.crashes, time_point::min(), false};
        for (auto const& crash : crashes_) {
            if (crash.parts.contains(item.part)) {
                state.last_crash = std::max(state.last_crash, crash.at);
            }
        }
        add_blame(item.part, state);
    }
}

void crashing_parts::on_crash(std::uint64_t crash_id, part_ids const& parts,
                              time_point at, time_point now)
{
    if (parts.empty()) {
        return;
    }
    auto known = std::ranges::find(crashes_, crash_id, &server_crash::id);
    if (known == crashes_.end()) {
        if (crashes_.size() >= max_crashes) {
            crashes_.pop_front();
        }
        crashes_.push_back({crash_id, at, {}});
        known = std::prev(crashes_.end());
    }
    known->at = std::min(known->at, at);
    auto const size_before = known->parts.size();
    for (std::size_t index = 0; index < parts.size(); ++index) {
        if (known->parts.size() >= max_parts_of_crash) {
            break;
        }
        auto& position = known->parts[parts[index]];
        position = std::max(position, index);
        if (last_success(parts[index])) {
            announce_sound(parts[index], now);
        }
    }
    changed_ = changed_ || known->parts.size() != size_before;
}

void crashing_parts::on_success(part_ids const& parts, time_point now)
{
    for (auto const part : parts) {
        auto const known = last_success(part).has_value();
        remember_success(part, now);
        if (blamed_.contains(part)) {
            release(part, now);
            changed_ = true; // Something else must explain its crashes.
        } else if (!known && in_any_crash(part)) {
            announce_sound(part, now);
        }
    }
}

void crashing_parts::merge_blame(part_blame const& told, time_point now)
{
    if (blamed_.contains(told.part) || told.age >= memory) {
        return;
    }
    if (last_success(told.part) && told.crashes < min_crashes_after_success) {
        announce_sound(told.part, now);
        return;
    }
    add_blame(told.part, {told.crashes, now - told.age, true});
}

void crashing_parts::merge_sound(sound_part const& told, time_point now)
{
    auto const found = blamed_.find(told.part);
    auto released = found != blamed_.end() && found->second.told;
    if (told.age) {
        remember_success(told.part, now - *told.age);
        released = found != blamed_.end() &&
                   (found->second.crashes < min_crashes_after_success ||
                    now - *told.age > found->second.last_crash);
    }
    if (released) {
        changes_.push_back({told.part, false, true, found->second.crashes});
        blamed_.erase(found);
    }
    changed_ = changed_ || (released && in_any_crash(told.part));
}

std::optional<part_blame> crashing_parts::find_blamed(part_ids const& parts,
                                                      time_point now) const
{
    for (auto const part : parts) {
        auto const found = blamed_.find(part);
        if (found != blamed_.end() && now - found->second.last_crash < memory) {
            return part_blame{part, found->second.crashes,
                              to_milliseconds(now - found->second.last_crash)};
        }
    }
    return std::nullopt;
}

std::vector<part_blame> crashing_parts::blamed(time_point now) const
{
    std::vector<part_blame> found;
    for (auto const& [part, state] : blamed_) {
        if (now - state.last_crash < memory) {
            found.push_back(
                {part, state.crashes, to_milliseconds(now - state.last_crash)});
        }
    }
    return found;
}

std::vector<sound_part> crashing_parts::sound_since(time_point since,
                                                    time_point now) const
{
    std::vector<sound_part> found;
    for (auto const& [part, announced_at] : sound_announced_at_) {
        if (announced_at <= since) {
            continue;
        }
        found.push_back({part, std::nullopt});
        if (auto const success = last_success(part)) {
            found.back().age = to_milliseconds(now - *success);
        }
    }
    return found;
}

std::vector<blame_change> crashing_parts::take_changes()
{
    return std::exchange(changes_, {});
}

} // namespace medlarstall::dispatch
