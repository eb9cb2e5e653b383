#ifndef MEDLARSTALL_SCHEDULING_OWNER_SCHEDULER_HPP
#define MEDLARSTALL_SCHEDULING_OWNER_SCHEDULER_HPP

#include <medlarstall/scheduling/action.hpp>
#include <medlarstall/scheduling/events.hpp>
#include <medlarstall/scheduling/request.hpp>
#include <medlarstall/scheduling/scheduler_settings.hpp>
#include <medlarstall/scheduling/summary.hpp>
#include <medlarstall/support/time.hpp>

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace medlarstall::catalogue {
struct catalogue;
}

namespace medlarstall::scheduling {

/// Scheduler of an owner, the daemon that queues the requests for a set of
/// backend servers. It decides which request runs where and when, but reads
/// no clock and does no I/O. Every event takes the current time, which must
/// not decrease, and appends the resulting actions. Events about unknown
/// requests or backend servers are ignored, since events may arrive late.
class owner_scheduler
{
public:
    /// \param settings limits and thresholds of the scheduler
    explicit owner_scheduler(scheduler_settings settings);
    ~owner_scheduler();
    owner_scheduler(owner_scheduler&&) noexcept;
    owner_scheduler& operator=(owner_scheduler&&) noexcept;

    /// Applies the weights, limits, floors and slots of a catalogue.
    /// \param entries the catalogue; no reference to it is kept
    /// \param now current time
    /// \param actions receives the resulting actions
    void apply_catalogue(catalogue::catalogue const& entries, time_point now,
                         action_list& actions);

    /// Adds a backend server, or replaces its description.
    /// \param description properties of the backend server
    /// \param now current time
    /// \param actions receives the resulting actions
    void add_backend_server(backend_server_description const& description,
                            time_point now, action_list& actions);

    /// Stops dispatching to a backend server. Requests that run there finish.
    /// \param id identifier of the backend server
    /// \param now current time
    /// \param actions receives the resulting actions
    void mark_backend_server_leaving(std::string_view id, time_point now,
                                     action_list& actions);

    /// Removes a backend server as soon as nothing runs there. The daemon
    /// still has to report how each request that ran there ended.
    /// \param id identifier of the backend server
    /// \param now current time
    /// \param actions receives the resulting actions
    void remove_backend_server(std::string_view id, time_point now,
                               action_list& actions);

    /// Queues a request, or refuses it at once.
    /// \param value the request; its id must not be in use
    /// \param now current time
    /// \param actions receives the resulting actions
    /// \return false if the id is in use; nothing changes then
    [[nodiscard]] bool enqueue(request value, time_point now,
                               action_list& actions);

    /// Reports the first token of a request, or the first byte of the answer
    /// if the service generates no tokens.
    /// \param id a running request
    /// \param now current time
    /// \param actions receives the resulting actions
    void first_token_received(request_id id, time_point now,
                              action_list& actions);

    /// Reports generated tokens. Allocates no memory unless actions result.
    /// \param id a running request
    /// \param count number of tokens since the last call
    /// \param now current time
    /// \param actions receives the resulting actions
    void tokens_received(request_id id, std::uint32_t count, time_point now,
                         action_list& actions);

    /// Reports that the answer is complete. The scheduler forgets the request.
    /// \param id a queued or running request
    /// \param now current time
    /// \param actions receives the resulting actions
    void finished(request_id id, time_point now, action_list& actions);

    /// Reports that the attempt failed. The scheduler forgets the request; the
    /// retry policy decides whether it is sent again.
    /// \param id a queued or running request
    /// \param now current time
    /// \param actions receives the resulting actions
    void failed(request_id id, time_point now, action_list& actions);

    /// Reports that the caller disconnected. The scheduler forgets the request;
    /// the daemon cancels it at the backend server.
    /// \param id a queued or running request
    /// \param now current time
    /// \param actions receives the resulting actions
    void cancelled(request_id id, time_point now, action_list& actions);

    /// Reports that the backend server rejected the request as busy without
    /// running any of it. The request is queued again.
    /// \param id a running request
    /// \param now current time
    /// \param actions receives the resulting actions
    void rejected_as_busy(request_id id, time_point now, action_list& actions);

    /// Reports that a preempt action took effect: the slot is free, and the
    /// tokens generated so far are kept.
    /// \param id the request of the action
    /// \param now current time
    /// \param actions receives the resulting actions
    void preempted(request_id id, time_point now, action_list& actions);

    /// Reports the load of a backend server.
    /// \param id identifier of the backend server
    /// \param report load figures and their age
    /// \param now current time
    /// \param actions receives the resulting actions
    void load_reported(std::string_view id, load_report const& report,
                       time_point now, action_list& actions);

    /// Sets what an organisation uses of a service class at other owners. It
    /// counts against the limits and the share of the organisation here.
    /// \param organisation name of the organisation
    /// \param service_class name of the service class
    /// \param usage sum over the other owners
    /// \param now current time
    /// \param actions receives the resulting actions
    void set_remote_usage(std::string_view organisation,
                          std::string_view service_class,
                          remote_usage const& usage, time_point now,
                          action_list& actions);

    /// Reports that the time of the last wake_up action has come.
    /// \param now current time
    /// \param actions receives the resulting actions
    void tick(time_point now, action_list& actions);

    /// Releases all queued requests for a planned shutdown and refuses new ones
    /// from then on. Running requests finish.
    /// \param now current time
    /// \param actions receives the resulting actions
    /// \return the requests that were queued, ordered by id
    [[nodiscard]] std::vector<released_request> drain(time_point now,
                                                      action_list& actions);

    /// \param now current time
    /// \return one summary per backend server, ordered by identifier
    [[nodiscard]] std::vector<backend_server_summary>
    summaries(time_point now) const;

    /// \return counters per organisation and service class, ordered by name
    [[nodiscard]] std::vector<organisation_usage> usage() const;

    /// \return number of queued requests
    [[nodiscard]] std::size_t queued() const;

    /// \return number of requests that hold a slot
    [[nodiscard]] std::size_t running() const;

private:
    class state;

    std::unique_ptr<state> state_;
};

} // namespace medlarstall::scheduling

#endif
