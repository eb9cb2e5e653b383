#ifndef MEDLARSTALL_PLACEMENT_REPLICA_TARGET_HPP
#define MEDLARSTALL_PLACEMENT_REPLICA_TARGET_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>

namespace medlarstall::placement {

/// When the number of replicas follows the demand.
struct replica_settings
{
    double grow_above = 0.8;   ///< Part of the slots in use.
    double shrink_below = 0.4; ///< Part of the slots in use.
    std::chrono::milliseconds grow_after{15'000};
    std::chrono::milliseconds shrink_after{300'000};
};

/// How many backend servers should have a model: at least what the catalogue
/// says, and one more or one less after the demand was high or low for a time
/// without a break. The times and the gap between the bounds keep it from
/// swinging.
class replica_target
{
public:
    /// \param settings bounds and times
    explicit replica_target(replica_settings settings);

    /// \param use part of the slots in use on the backend servers that have
    ///     the model; above 1 if requests are queued
    /// \param least replicas that the catalogue asks for
    /// \param most backend servers of the group
    /// \param now current time
    /// \return the number from now on
    unsigned update(double use, unsigned least, unsigned most, time_point now);

private:
    replica_settings settings_;
    unsigned replicas_ = 0;
    time_point high_since_;
    time_point low_since_;
    bool high_ = false;
    bool low_ = false;
};

} // namespace medlarstall::placement

#endif
