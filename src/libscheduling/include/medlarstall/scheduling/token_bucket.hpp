#ifndef MEDLARSTALL_SCHEDULING_TOKEN_BUCKET_HPP
#define MEDLARSTALL_SCHEDULING_TOKEN_BUCKET_HPP

#include <medlarstall/support/time.hpp>

namespace medlarstall::scheduling {

/// Token bucket rate limiter. Its capacity is the amount of one second, at
/// least 1. The balance may become negative, since the cost of a request may
/// be known only after it has run.
class token_bucket
{
public:
    /// \param rate amount added per second, above 0
    /// \param now current time; the bucket starts full
    token_bucket(double rate, time_point now);

    /// Changes the rate; the balance so far is kept up to the new capacity.
    /// \param rate amount added per second, above 0
    /// \param now current time
    void set_rate(double rate, time_point now);

    /// \return amount added per second
    [[nodiscard]] double rate() const { return rate_; }

    /// \return largest balance of the bucket
    [[nodiscard]] double capacity() const;

    /// \param now current time
    /// \return amount available; negative if more was consumed than added
    [[nodiscard]] double balance(time_point now) const;

    /// Consumes an amount even if the balance does not cover it.
    /// \param amount amount that was used; a negative one is given back
    /// \param now current time
    void consume(double amount, time_point now);

    /// \param level balance to wait for; treated as the capacity if above it
    /// \param now current time
    /// \return when the balance reaches the level; \p now if it already has
    [[nodiscard]] time_point time_when_available(double level,
                                                 time_point now) const;

private:
    double rate_;
    double balance_;
    time_point updated_at_; ///< Time for which the balance holds.
};

} // namespace medlarstall::scheduling

#endif
