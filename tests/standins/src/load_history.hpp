#ifndef MEDLARSTALL_STANDINS_LOAD_HISTORY_HPP
#define MEDLARSTALL_STANDINS_LOAD_HISTORY_HPP

#include <medlarstall/standins/engine_model.hpp>

#include <nlohmann/json.hpp>

#include <deque>

namespace medlarstall::standins {

/// What an engine's load was, for reports that lag.
class load_history
{
public:
    /// \param model engine to take a sample of
    /// \param lag age of the samples that are still needed
    /// \param now time
    void sample(engine_model const& model, duration lag, time_point now);

    /// \param lag age of the wanted sample
    /// \param now time
    /// \return the newest sample of at least that age
    [[nodiscard]] nlohmann::json report(duration lag, time_point now) const;

    void clear() { samples_.clear(); }

private:
    struct load_sample
    {
        time_point at;
        nlohmann::json report;
    };

    std::deque<load_sample> samples_;
};

} // namespace medlarstall::standins

#endif
