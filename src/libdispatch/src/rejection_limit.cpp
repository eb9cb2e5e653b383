#include <medlarstall/dispatch/rejection_limit.hpp>

#include <utility>

namespace medlarstall::dispatch {

bool rejection_limit::on_stated(double rejections_per_second, time_point now)
{
    observed_at_ = now;
    return std::exchange(rejections_per_second_, rejections_per_second) !=
           rejections_per_second;
}

bool rejection_limit::on_not_stated(time_point sent_at, time_point now)
{
    if (rejections_per_second_ && sent_at <= *observed_at_) {
        return false;
    }
    observed_at_ = now;
    return std::exchange(rejections_per_second_, std::nullopt).has_value();
}

} // namespace medlarstall::dispatch
