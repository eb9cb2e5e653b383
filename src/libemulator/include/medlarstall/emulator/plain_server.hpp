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

/// A backend server without a model, in virtual time: a number of slots and a
/// queue in order of arrival.
class plain_server
{
public:
    /// Told the id of a request that is done.
    using listener = std::function<void(std::uint64_t)>;

    /// \param events virtual time
    /// \param speed its room
    /// \param on_done told each request that is done
    plain_server(event_queue& events, plain_speed speed, listener on_done);

    /// Takes a request.
    /// \param id its id
    /// \param work how long it takes at full speed
    /// \return false if it is turned away
    [[nodiscard]] bool submit(std::uint64_t id, duration work);

    /// Goes down.
    /// \return ids of the requests that were lost
    std::vector<std::uint64_t> crash();

    /// Comes up again.
    void restart() { down_ = false; }

    /// \param factor multiple of the time of each request that begins
    void set_slowness(double factor) { slowness_ = factor; }

    /// \return true between a crash and a restart
    [[nodiscard]] bool down() const { return down_; }

private:
    struct waiting_request
    {
        std::uint64_t id;
        duration work;
    };

    void begin(waiting_request const& next);
    void end(std::uint64_t id, std::uint64_t epoch);

    event_queue& events_;
    plain_speed speed_;
    listener on_done_;
    std::set<std::uint64_t> running_;
    std::deque<waiting_request> waiting_;
    std::uint64_t epoch_ = 0;
    double slowness_ = 1;
    bool down_ = false;
};

} // namespace medlarstall::emulator

#endif
