#include <medlarstall/dispatch/heard_daemons.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

constexpr std::chrono::minutes hearing_lifetime{1};

} // namespace

void heard_daemons::on_heard(std::string_view name, std::uint64_t incarnation,
                             time_point at)
{
    auto const [entry, added] = heard_.try_emplace(std::string{name});
    auto& known = entry->second;
    if (!added && incarnation < known.incarnation) {
        return;
    }
    if (added || incarnation > known.incarnation) {
        known = {incarnation, at, {}, {}};
        return;
    }
    if (at - known.last_heard > max_gap) {
        known.heard_since = at;
    }
    known.last_heard = std::max(known.last_heard, at);
}

void heard_daemons::forget(std::string_view name)
{
    auto const found = heard_.find(name);
    if (found != heard_.end()) {
        heard_.erase(found);
    }
}

void heard_daemons::expire(time_point now)
{
    std::erase_if(heard_, [now](auto const& item) {
        return now - item.second.last_heard > hearing_lifetime;
    });
}

std::optional<daemon_hearing> heard_daemons::find(std::string_view name) const
{
    auto const found = heard_.find(name);
    if (found == heard_.end()) {
        return std::nullopt;
    }
    auto hearing = found->second;
    hearing.listening_since = listening_since_;
    return hearing;
}

} // namespace medlarstall::dispatch
