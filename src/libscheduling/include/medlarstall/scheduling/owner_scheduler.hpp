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

/// The one queue of an owner daemon over all backend servers that it owns.
/// Decides which request runs where and when; reads no clock and does no
/// I/O. Every event takes the current time, which never goes back, and
/// appends the actions that follow from it. Events about requests or backend
/// servers that are not known are ignored, since they may come late.
class owner_scheduler
{
public:
    /// \param settings how to schedule
    explicit owner_scheduler(scheduler_settings settings);
    ~owner_scheduler();
    owner_scheduler(owner_scheduler&&) noexcept;
    owner_scheduler& operator=(owner_scheduler&&) noexcept;

    /// Puts a catalogue in force: weights, limits, floors and slots.
    /// \param entries the catalogue; not kept
    /// \param now current time
    /// \param actions receives what to do
    void set_policy(catalogue::catalogue const& entries, time_point now,
                    action_list& actions);

    /// Takes over a backend server, or changes its description.
    /// \param description what is known of it
    /// \param now current time
    /// \param actions receives what to do
    void add_backend_server(backend_server_description const& description,
                            time_point now, action_list& actions);

    /// Sends no new work to a backend server; what runs there finishes.
    /// \param id identifier of the backend server
    /// \param now current time
    /// \param actions receives what to do
    void leave_backend_server(std::string_view id, time_point now,
                              action_list& actions);

    /// Forgets a backend server once nothing runs there. The daemon reports
    /// how each request that ran there ended.
    /// \param id identifier of the backend server
    /// \param now current time
    /// \param actions receives what to do
    void remove_backend_server(std::string_view id, time_point now,
                               action_list& actions);

    /// Queues a request, or refuses it at once.
    /// \param value the request; its id must not be in use
    /// \param now current time
    /// \param actions receives what to do
    /// \return false if the id is in use; nothing changes then
    [[nodiscard]] bool enqueue(request value, time_point now,
                               action_list& actions);

    /// The first token, or the first byte of a plain service's answer, came.
    /// \param id a running request
    /// \param now current time
    /// \param actions receives what to do
    void first_token(request_id id, time_point now, action_list& actions);

    /// Tokens came. Allocates no memory unless an action follows.
    /// \param id a running request
    /// \param count tokens since the last call
    /// \param now current time
    /// \param actions receives what to do
    void tokens(request_id id, std::uint32_t count, time_point now,
                action_list& actions);

    /// The answer is whole. The scheduler forgets the request.
    /// \param id a request
    /// \param now current time
    /// \param actions receives what to do
    void finished(request_id id, time_point now, action_list& actions);

    /// The attempt failed. The scheduler forgets the request; to run it again
    /// is up to the retry policy.
    /// \param id a request
    /// \param now current time
    /// \param actions receives what to do
    void failed(request_id id, time_point now, action_list& actions);

    /// The caller left. The scheduler forgets the request; the daemon cancels
    /// it at the backend server.
    /// \param id a request
    /// \param now current time
    /// \param actions receives what to do
    void cancelled(request_id id, time_point now, action_list& actions);

    /// The backend server refused the request as full and ran nothing of it.
    /// It is queued again.
    /// \param id a running request
    /// \param now current time
    /// \param actions receives what to do
    void bounced(request_id id, time_point now, action_list& actions);

    /// A preempt action took effect: the slot is free, the tokens are kept.
    /// \param id the request of the action
    /// \param now current time
    /// \param actions receives what to do
    void preempted(request_id id, time_point now, action_list& actions);

    /// A backend server reported its load.
    /// \param id identifier of the backend server
    /// \param report its figures and their age
    /// \param now current time
    /// \param actions receives what to do
    void load_reported(std::string_view id, load_report const& report,
                       time_point now, action_list& actions);

    /// Sets what an organisation uses of a class at other owners. It counts
    /// against the limits and the share of the organisation here.
    /// \param organisation name of the organisation
    /// \param service_class name of the class
    /// \param usage sum over the other owners
    /// \param now current time
    /// \param actions receives what to do
    void set_remote_usage(std::string_view organisation,
                          std::string_view service_class,
                          remote_usage const& usage, time_point now,
                          action_list& actions);

    /// The time of the last wake_up action has come.
    /// \param now current time
    /// \param actions receives what to do
    void tick(time_point now, action_list& actions);

    /// Gives up every queued request for a planned stop and refuses new ones
    /// from then on; what runs finishes.
    /// \param now current time
    /// \param actions receives what to do
    /// \return the requests that were queued, in order of their ids
    [[nodiscard]] std::vector<released_request> drain(time_point now,
                                                      action_list& actions);

    /// \param now current time
    /// \return one summary for each backend server, in order of their names
    [[nodiscard]] std::vector<backend_server_summary>
    summaries(time_point now) const;

    /// \return what each organisation got in each class, in order of names
    [[nodiscard]] std::vector<organisation_usage> usage() const;

    /// \return requests that wait
    [[nodiscard]] std::size_t queued() const;

    /// \return requests that hold a slot
    [[nodiscard]] std::size_t running() const;

private:
    class state;

    std::unique_ptr<state> state_;
};

} // namespace medlarstall::scheduling

#endif
