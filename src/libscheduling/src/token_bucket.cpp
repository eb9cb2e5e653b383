#include <medlarstall/scheduling/token_bucket.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace medlarstall::scheduling {

namespace {

using seconds = std::chrono::duration<double>;

} // namespace

token_bucket::token_bucket(double rate, time_point now)
    : rate_{rate}, balance_{std::max(rate, 1.0)}, updated_at_{now}
{}

void token_bucket::set_rate(double rate, time_point now)
{
    balance_ = balance(now);
    updated_at_ = std::max(updated_at_, now);
    rate_ = rate;
    balance_ = std::min(balance_, capacity());
}

double token_bucket::capacity() const
{
    return std::max(rate_, 1.0);
}

double token_bucket::balance(time_point now) const
{
    auto const passed =
        seconds{std::max(now, updated_at_) - updated_at_}.count();
    return std::min(capacity(), balance_ + passed * rate_);
}

void token_bucket::consume(double amount, time_point now)
{
    balance_ = std::min(capacity(), balance(now) - amount);
    updated_at_ = std::max(updated_at_, now);
}

time_point token_bucket::time_when_available(double level, time_point now) const
{
    auto const missing = std::min(level, capacity()) - balance(now);
    if (missing <= 0) {
        return now;
    }
    auto const wait =
        std::chrono::ceil<std::chrono::microseconds>(seconds{missing / rate_});
    return now + wait + std::chrono::microseconds{1};
}

} // namespace medlarstall::scheduling
