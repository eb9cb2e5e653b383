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

/// One order at its owner, from its arrival to its last event. Runs the order
/// at the backend server that the scheduler chooses. Owned by owner_service.
class owned_order : public std::enable_shared_from_this<owned_order>
{
public:
    /// \param owner owner side of this daemon; must outlive this object
    /// \param chart state chart of a request
    /// \param order the order to run
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

    /// \return true if a backend server may be running the order
    [[nodiscard]] bool running() const
    {
        return stream_ != nullptr || transfer_ != 0;
    }

    /// Marks the order as one that was running at a backend server when that
    /// server crashed.
    /// \param backend_server id of the backend server that crashed
    /// \return false if the order was not running there or was marked before
    [[nodiscard]] bool count_crash_at(std::string const& backend_server);

    /// Sends the order to a backend server, or resumes it there after a
    /// preemption.
    /// \param action decision of the scheduler
    /// \param server backend server that the decision names
    void dispatch(scheduling::dispatch const& action,
                  backend_server_info const& server);

    /// Suspends the stream: frees the slot at the backend server, which keeps
    /// the tokens generated so far.
    void preempt();

    /// Sends an event to the entry daemon.
    /// \param event the event to send
    void emit(work_event event) const;

    /// Reports to the entry daemon that the order was not run. If an attempt
    /// has started, the state chart does not allow this and the order is
    /// reported as failed instead, because the entry daemon relies on
    /// "not run".
    /// \param event reason of the refusal
    void refuse(work_refused event);

    /// Cancels the run at the backend server.
    void cancel();

    /// Pauses reading from the backend server while too many bytes wait for the
    /// caller, and resumes when at most half the limit waits.
    /// \param limit bytes that may wait before reading pauses
    void update_reading(std::size_t limit);

private:
    bool fire_event(chart::request_event event);
    void run_engine(scheduling::dispatch const& action);
    void run_service();
    backend::engine_stream_handlers engine_handlers();
    void on_engine_failed(backend::engine_failure const& failure);
    void move_and_resume_stream(scheduling::dispatch const& action);
    void resume_stream(scheduling::dispatch const& action);
    void on_service_head(backend::response_head const& head);
    void on_service_data(std::string_view data);
    void on_service_ended(backend::transfer_failure const* failure);
    void finish(work_event event, bool succeeded);
    void log_dispatch(scheduling::dispatch const& action) const;

    owner_service& owner_;
    chart::request_chart::machine lifecycle_;
    work_order order_;
    event_sink sink_;
    backend_server_info server_;
    /// Server that holds the suspended stream; empty if none is suspended.
    std::optional<backend_server_info> suspended_at_;
    std::shared_ptr<backend::engine_stream> stream_;
    backend::transfer_id transfer_ = 0;
    bool response_started_ = false;
    bool refused_by_service_ = false;
    bool reading_ = true;
    bool ended_ = false;
    bool crash_counted_ = false;
    time_point dispatched_at_;
};

} // namespace medlarstall::daemon

#endif
