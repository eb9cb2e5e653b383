#include "load_history.hpp"

namespace medlarstall::standins {

namespace {

constexpr std::chrono::milliseconds sample_interval{20};

std::int64_t milliseconds_of(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

void load_history::sample(engine_model const& model, duration lag,
                          time_point now)
{
    nlohmann::json report{
        {"running", model.running()},
        {"waiting", model.waiting()},
        {"first_token_ms", milliseconds_of(model.first_token_time())},
        {"between_tokens_ms", milliseconds_of(model.token_interval())}};
    if (!samples_.empty() && now - samples_.back().at < sample_interval) {
        samples_.back().report = std::move(report);
        return;
    }
    samples_.push_back({now, std::move(report)});
    while (samples_.size() > 1 && samples_[1].at + lag < now) {
        samples_.pop_front();
    }
}

nlohmann::json load_history::report(duration lag, time_point now) const
{
    nlohmann::json report{{"running", 0},
                          {"waiting", 0},
                          {"first_token_ms", 0},
                          {"between_tokens_ms", 0}};
    for (auto const& sample : samples_) {
        if (sample.at + lag > now) {
            break;
        }
        report = sample.report;
    }
    return report;
}

} // namespace medlarstall::standins
