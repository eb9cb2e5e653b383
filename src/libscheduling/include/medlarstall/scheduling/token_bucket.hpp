#ifndef MEDLARSTALL_SCHEDULING_TOKEN_BUCKET_HPP
#define MEDLARSTALL_SCHEDULING_TOKEN_BUCKET_HPP

#include <medlarstall/support/time.hpp>

namespace medlarstall::scheduling {

/// Limits a rate. Holds one second's worth, at least 1, and may go into debt
/// where the cost is known only afterwards.
class token_bucket
{
public:
    /// \param rate amount for each second, above 0
    /// \param now time of the first use; the bucket starts full
    token_bucket(double rate, time_point now);

    /// Changes the rate from now on.
    /// \param rate amount for each second, above 0
    /// \param now current time
    void set_rate(double rate, time_point now);

    /// \return amount for each second
    [[nodiscard]] double rate() const { return rate_; }

    /// \return most that the bucket holds
    [[nodiscard]] double capacity() const;

    /// \param now current time
    /// \return what is left; negative while in debt
    [[nodiscard]] double balance(time_point now) const;

    /// Takes an amount, into debt if need be.
    /// \param amount what was used; negative gives back
    /// \param now current time
    void take(double amount, time_point now);

    /// \param level balance to wait for, at most the capacity
    /// \param now current time
    /// \return when the balance reaches the level; now if it has
    [[nodiscard]] time_point time_of(double level, time_point now) const;

private:
    double rate_;
    double balance_;
    time_point at_;
};

} // namespace medlarstall::scheduling

#endif
