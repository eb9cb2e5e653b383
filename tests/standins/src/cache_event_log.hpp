#ifndef MEDLARSTALL_STANDINS_CACHE_EVENT_LOG_HPP
#define MEDLARSTALL_STANDINS_CACHE_EVENT_LOG_HPP

#include <medlarstall/standins/engine_model.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::standins {

/// Cache events of an engine, late and with gaps.
class cache_event_log
{
public:
    /// \param model model whose cache changed
    /// \param changes what changed
    /// \param gap each so-manieth event is lost; 0: none
    /// \param visible when the events can be read
    void publish(std::string const& model, std::vector<cache_change> changes,
                 unsigned gap, time_point visible)
    {
        constexpr std::size_t kept_events = 10'000;
        for (auto& change : changes) {
            auto const sequence = next_sequence_++;
            if (gap == 0 || sequence % gap != gap - 1) {
                events_.push_back(
                    {visible, sequence, model, std::move(change)});
            }
        }
        while (events_.size() > kept_events) {
            events_.pop_front();
        }
    }

    /// \param from lowest wanted sequence number
    /// \param now time
    /// \return the visible events
    [[nodiscard]] nlohmann::json list(std::uint64_t from, time_point now) const
    {
        auto listed = nlohmann::json::array();
        for (auto const& event : events_) {
            if (event.sequence >= from && event.visible <= now) {
                listed.push_back(
                    {{"sequence", event.sequence},
                     {"kind", event.change.stored ? "stored" : "removed"},
                     {"model", event.model},
                     {"prefix", event.change.prefix}});
            }
        }
        return listed;
    }

private:
    struct cache_event
    {
        time_point visible;
        std::uint64_t sequence = 0;
        std::string model;
        cache_change change;
    };

    std::deque<cache_event> events_;
    std::uint64_t next_sequence_ = 0;
};

} // namespace medlarstall::standins

#endif
