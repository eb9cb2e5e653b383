#include <medlarstall/claim/claim_settings.hpp>

#include <initializer_list>

namespace medlarstall::claim {

namespace {

/// A setting with its value and the range that it must be in.
struct ranged_setting
{
    char const* name;
    double value;
    double min;
    double max;
};

double milliseconds_of(std::chrono::milliseconds span)
{
    return static_cast<double>(span.count());
}

status check_ranges(std::initializer_list<ranged_setting> settings)
{
    for (auto const& [name, value, min, max] : settings) {
        if (value < min || value > max) {
            return error{name, "is " + std::to_string(value) +
                                   "; must be from " + std::to_string(min) +
                                   " to " + std::to_string(max)};
        }
    }
    return success();
}

} // namespace

status check(claim_settings const& settings)
{
    constexpr double day_ms = 86'400'000.0;
    if (settings.writer_id.empty() || settings.writer_id.size() > 128) {
        return error{"claim-writer", "must have from 1 to 128 characters"};
    }
    if (settings.answer_window < settings.accept_window) {
        return error{"claim-answer-window",
                     "must not be shorter than claim-accept-window"};
    }
    auto const& group = settings.group;
    return check_ranges({
        {"claim-streams", double(settings.stream_count), 1, 1024},
        {"claim-accept-window", milliseconds_of(settings.accept_window), 1'000,
         day_ms},
        {"claim-answer-window", milliseconds_of(settings.answer_window), 1'000,
         day_ms},
        {"claim-max-keys", double(settings.max_keys),
         double(settings.stream_count), 1e8},
        {"claim-max-body", double(settings.max_body_bytes), 0, 256.0 * 1024},
        {"claim-max-pending", double(settings.max_pending), 1, 1e7},
        {"claim-group-records", double(group.max_records), 1, 4096},
        {"claim-group-delay", milliseconds_of(group.max_delay), 0, 1'000},
        {"claim-appends-per-second", group.appends_per_second, 0.1, 1e5},
        {"claim-append-burst", double(group.burst), 1, 1'000},
    });
}

} // namespace medlarstall::claim
