#ifndef MEDLARSTALL_DAEMON_OWNED_ORDER_HPP
#define MEDLARSTALL_DAEMON_OWNED_ORDER_HPP

#include "event_sink.hpp"
#include "fleet.hpp"
#include "work_order.hpp"

#include <medlarstall/backend/engine_stream.hpp>
#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/chart/request_chart.hpp>
#include <medlarstall/scheduling/action.hpp>

#include <memory>
#include <optional>

namespace medlarstall::daemon {

class owner_service;

/// One order at its owner, from its arrival to its last event: runs it at the
/// backend server that the scheduler names. Owned by owner_service.
class owned_order : public std::enable_shared_from_this<owned_order>
{
public:
    /// \param owner the owner side of this daemon
    /// \param chart life of a request
    /// \param order what to run
    /// \param sink receives the events of the order
    owned_order(owner_service& owner, chart::request_chart const& chart,
                work_order order, event_sink sink);
    ~owned_order();
    owned_order(owned_order const&) = delete;
    owned_order& operator=(owned_order const&) = delete;

    [[nodiscard]] work_order const& order() const { return order_; }
    [[nodiscard]] scheduling::request_id id() const
    {
        return order_.request.id;
    }

    /// \return true if a backend server may be working on it
    [[nodiscard]] bool running() const
    {
        return stream_ != nullptr || transfer_ != 0;
    }

    /// Counts the order as one that ran at a backend server when it crashed.
    /// \return false if it did not run there or was counted before
    [[nodiscard]] bool count_crash_at(std::string const& backend_server);

    /// Sends the order to a backend server.
    void dispatch(scheduling::dispatch const& action,
                  backend_server_info const& server);

    /// Frees the slot and keeps the tokens.
    void preempt();

    /// Sends an event to the entry daemon.
    void emit(work_event event) const;

    /// Tells the entry daemon that the order was not run. If the chart does
    /// not allow that, because an attempt has started, the order counts as
    /// failed instead: "not run" is a promise.
    void refuse(work_refused event);

    /// Ends what runs at the backend server.
    void cancel();

    /// Stops reading the answer while the caller is slow, and goes on later.
    /// \param limit bytes that may wait
    void check_reader(std::size_t limit);

private:
    bool advance(chart::request_event event);
    void run_engine(scheduling::dispatch const& action);
    void run_service();
    backend::engine_stream_handlers engine_handlers();
    void engine_failed(backend::engine_failure const& failure);
    void move_then_go_on(scheduling::dispatch const& action);
    void go_on(scheduling::dispatch const& action);
    void service_head(backend::response_head const& head);
    void service_data(std::string_view data);
    void service_ended(backend::transfer_failure const* failure);
    void end(work_event event, bool succeeded);
    void log_dispatch(scheduling::dispatch const& action) const;

    owner_service& owner_;
    chart::request_chart::machine life_;
    work_order order_;
    event_sink sink_;
    backend_server_info server_;
    std::optional<backend_server_info> kept_at_; ///< Holds the tokens.
    std::shared_ptr<backend::engine_stream> stream_;
    backend::transfer_id transfer_ = 0;
    bool first_seen_ = false;
    bool refused_by_service_ = false;
    bool reading_ = true;
    bool ended_ = false;
    bool crash_counted_ = false;
    time_point dispatched_at_;
};

} // namespace medlarstall::daemon

#endif
