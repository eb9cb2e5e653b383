#include <medlarstall/gateway/shared_read.hpp>

namespace medlarstall::gateway {

std::optional<shared_read::number> shared_read::try_begin(time_point now,
                                                          duration min_interval)
{
    if (in_progress_ || (began_at_ && now - *began_at_ < min_interval)) {
        return std::nullopt;
    }
    in_progress_ = true;
    began_at_ = now;
    return ++last_begun_;
}

void shared_read::on_success(number ended)
{
    in_progress_ = false;
    last_success_ = ended;
}

void shared_read::on_failure(number ended)
{
    in_progress_ = false;
    last_failure_ = ended;
}

} // namespace medlarstall::gateway
