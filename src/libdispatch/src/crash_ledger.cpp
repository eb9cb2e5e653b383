#include <medlarstall/dispatch/crash_ledger.hpp>

#include <medlarstall/support/digest.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

constexpr std::size_t most_losses = 512;
constexpr std::size_t most_suspects = 1024;
constexpr std::chrono::milliseconds same_crash{2000};

/// Names a crash alike at all daemons that see it at about the same time.
std::uint64_t crash_number(std::string_view backend_server, time_point now)
{
    auto const span = now.time_since_epoch() / same_crash;
    return hash64(backend_server) ^
           (static_cast<std::uint64_t>(span) * 0x9e3779b97f4a7c15ULL);
}

} // namespace

crash_ledger::crash_ledger(crash_settings settings) : settings_{settings} {}

void crash_ledger::note_loss(fingerprint request,
                             std::string_view backend_server, time_point now)
{
    losses_.push_back({request, std::string{backend_server}, now});
    while (losses_.size() > most_losses ||
           (!losses_.empty() && now - losses_.front().at > settings_.near)) {
        losses_.pop_front();
    }
}

std::vector<crash_note> crash_ledger::note_down(std::string_view backend_server,
                                                time_point now)
{
    std::vector<crash_note> notes;
    auto const crash = crash_number(backend_server, now);
    std::erase_if(losses_, [&](loss const& item) {
        if (item.backend_server != backend_server ||
            now - item.at > settings_.near) {
            return false;
        }
        add(item.request, crash, now);
        notes.push_back({item.request, item.backend_server, crash});
        return true;
    });
    return notes;
}

void crash_ledger::merge(crash_note const& note, time_point now)
{
    add(note.request, note.crash, now);
}

void crash_ledger::add(fingerprint request, std::uint64_t crash, time_point now)
{
    if (suspects_.size() >= most_suspects) {
        suspects_.erase(std::ranges::min_element(
            suspects_, {}, [](auto const& item) { return item.second.last; }));
    }
    auto& entry = suspects_[request];
    entry.last = now;
    if (std::ranges::find(entry.crashes, crash) == entry.crashes.end()) {
        entry.crashes.push_back(crash);
    }
}

bool crash_ledger::refuses(fingerprint request, time_point now) const
{
    auto const found = suspects_.find(request);
    return found != suspects_.end() &&
           now - found->second.last < settings_.lifetime &&
           found->second.crashes.size() >= settings_.crashes;
}

} // namespace medlarstall::dispatch
