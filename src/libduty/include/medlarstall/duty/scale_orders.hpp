#ifndef MEDLARSTALL_DUTY_SCALE_ORDERS_HPP
#define MEDLARSTALL_DUTY_SCALE_ORDERS_HPP

#include <medlarstall/duty/duty_call.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::duty {

/// One kind of backend server of a service in a data centre.
struct scale_subject
{
    std::string service;
    std::string data_centre;
    bool reclaimable = false;

    auto operator<=>(scale_subject const&) const = default;
};

/// When orders are repeated, and how many are sent at once.
struct order_settings
{
    /// Time from an order without an answer to its repetition; doubles each
    /// time.
    std::chrono::milliseconds first_retry{1000};
    std::chrono::milliseconds longest_retry{8000};
    /// Time after a refusal until more servers are ordered again; doubles each
    /// time. A reclaim lasts for some 10 s.
    std::chrono::milliseconds first_block{6000};
    std::chrono::milliseconds longest_block{60000};
    std::size_t max_calls = 4; ///< Under way at the same time.
    /// Shortest time between two calls, so that an outage of the platform is
    /// not followed by a flood.
    std::chrono::milliseconds call_interval{60};
};

/// The last order of each subject, its outcome, and when it is to be sent. Only
/// orders that are stored are sent. Does no I/O; owned by the duty.
class scale_orders
{
public:
    /// \param settings when orders are repeated
    explicit scale_orders(order_settings settings = {}) : settings_{settings} {}

    /// \return all orders, as CBOR
    [[nodiscard]] std::string encode() const;

    /// Replaces all orders by stored ones. Orders without a known outcome are
    /// sent again.
    /// \param stored as from encode(); unreadable orders are left out
    /// \param now current time
    void decode(std::string_view stored, time_point now);

    /// Called after decode() if later orders may have been stored and lost.
    /// The last accepted number of each subject is sent again. Until that is
    /// accepted, the platform may hold any number.
    void doubt_all();

    /// Notes what the servers of a service cost before the first order. Later
    /// calls for the same service have no effect.
    /// \param service name of the service
    /// \param price price for each second
    void set_first_price(std::string const& service, double price);

    /// \param service name of the service
    /// \return price for each second of its servers before the first order;
    ///     empty if unknown
    [[nodiscard]] std::optional<double>
    first_price(std::string const& service) const;

    /// Changes the order of a subject.
    /// \param subject what is ordered
    /// \param count wanted number
    /// \param listed number that the list shows at present
    /// \param now current time
    /// \return false if this is the order already, or if it is listed and
    ///     nothing was ordered before
    bool set(scale_subject const& subject, std::uint32_t count,
             std::uint32_t listed, time_point now);

    /// \param subject what was ordered
    /// \return the last order; empty if there is none
    [[nodiscard]] std::optional<std::uint32_t>
    ordered(scale_subject const& subject) const;

    /// \param subject what was ordered
    /// \param now current time
    /// \return whether the platform cannot provide more of it at present
    [[nodiscard]] bool is_blocked(scale_subject const& subject,
                                  time_point now) const;

    /// Called when the platform cannot provide more of a subject, as it has
    /// answered or as its servers show.
    /// \param subject what is not available
    /// \param at_least shortest time for which none are ordered
    /// \param now current time
    void block(scale_subject const& subject, std::chrono::milliseconds at_least,
               time_point now);

    /// Notes how many servers the list shows. If a call without an answer may
    /// have undone the last order, that is sent again.
    /// \param subject what they are
    /// \param listed their number
    /// \param start_time time from an order until its servers are listed
    /// \param now current time
    /// \return number that can be counted on: the ordered ones, unless they are
    ///     missing for longer than the start takes
    std::uint32_t expected(scale_subject const& subject, std::uint32_t listed,
                           std::chrono::milliseconds start_time,
                           time_point now);

    /// Sets which revision is stored.
    /// \param revision of these orders
    void on_stored(std::uint64_t revision);

    /// \return number that increases with each change to be stored
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// \param limits most servers of both kinds in a data centre, for each
    ///     service for which orders may be sent
    /// \param now current time
    /// \return orders to send now, each only once until its result is known;
    ///     those for more servers come first. An order waits while the last
    ///     one of the other kind may still exceed the limit together with it.
    [[nodiscard]] std::vector<scale_order>
    take_due(std::map<std::string, std::uint32_t> const& limits,
             time_point now);

    /// Called when an order has ended.
    /// \param order as from take_due()
    /// \param outcome how it has ended
    /// \param now current time
    void on_result(scale_order const& order, call_outcome outcome,
                   time_point now);

private:
    struct standing_order
    {
        std::uint32_t count = 0;
        /// Last number that the platform has accepted, or the listed one.
        std::uint32_t accepted = 0;
        /// Largest number that the platform may hold now or after a call that
        /// is under way or had no answer.
        std::uint32_t most = 0;
        /// A call since the last accepted one had no answer.
        bool is_unanswered = false;
        bool is_settled = false; ///< The platform has accepted the count.
        bool is_under_way = false;
        /// A call of this subject had no answer and may still be executed.
        bool is_uncertain = false;
        std::uint64_t revision = 0; ///< From which on it is stored.
        time_point changed_at;
        time_point due_at;
        std::chrono::milliseconds retry{0};
        std::chrono::milliseconds block{0};
        time_point blocked_until = time_point::min();
        /// Last time at which the list showed as many as were ordered.
        time_point complete_at = time_point::min();
    };

    static void repeat_if_undone(standing_order& order, std::uint32_t listed,
                                 duration allowed, time_point now);
    bool is_due(scale_subject const& subject, standing_order const& order,
                std::map<std::string, std::uint32_t> const& limits,
                time_point now) const;
    static void update_most(standing_order& order);
    std::uint32_t largest_in_force(scale_subject const& subject) const;
    void repeat_later(standing_order& order, time_point now) const;

    order_settings settings_;
    std::map<scale_subject, standing_order> orders_;
    std::map<std::string, double> first_prices_; ///< By service.
    std::uint64_t revision_ = 0;
    std::uint64_t stored_revision_ = 0;
    std::size_t under_way_ = 0;
    time_point next_call_at_ = time_point::min();
};

} // namespace medlarstall::duty

#endif
