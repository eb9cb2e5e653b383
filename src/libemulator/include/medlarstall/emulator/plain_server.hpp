#ifndef MEDLARSTALL_EMULATOR_PLAIN_SERVER_HPP
#define MEDLARSTALL_EMULATOR_PLAIN_SERVER_HPP

#include <medlarstall/emulator/event_queue.hpp>
#include <medlarstall/emulator/experiment.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <vector>

namespace medlarstall::emulator {

/// Emulates a backend server without a model in virtual time: a fixed number
/// of slots and a bounded first-in, first-out queue.
class plain_server
{
public:
    /// Receives the id of each completed request.
    using listener = std::function<void(std::uint64_t)>;

    /// \param events virtual clock, which has to outlive the server
    /// \param settings number of slots and length of the queue
    /// \param on_done called for each completed request
    plain_server(event_queue& events, plain_server_settings settings,
                 listener on_done);

    /// Starts or queues a request.
    /// \param id id that is passed to the listener
    /// \param service_time processing time at normal speed
    /// \return false if the request is rejected because the server is down or
    ///         its queue is full
    [[nodiscard]] bool submit(std::uint64_t id, duration service_time);

    /// Takes the server down and drops all its requests.
    /// \return ids of the dropped requests, running and queued
    std::vector<std::uint64_t> crash();

    /// Brings the server up again, idle.
    void restart() { down_ = false; }

    /// \param factor multiplies the processing time of requests that start
    ///        from now on; 1 is normal speed
    void set_slowdown(double factor) { slowdown_ = factor; }

    /// \return true between a crash and a restart
    [[nodiscard]] bool is_down() const { return down_; }

private:
    struct queued_request
    {
        std::uint64_t id;
        duration service_time;
    };

    void start_request(queued_request const& next);
    void finish_request(std::uint64_t id, std::uint64_t epoch);

    event_queue& events_;
    plain_server_settings settings_;
    listener on_done_;
    std::set<std::uint64_t> running_;
    std::deque<queued_request> queue_;
    std::uint64_t epoch_ = 0; ///< Number of crashes; voids older events.
    double slowdown_ = 1;
    bool down_ = false;
};

} // namespace medlarstall::emulator

#endif
