#ifndef MEDLARSTALL_EMULATOR_MODEL_SERVER_HPP
#define MEDLARSTALL_EMULATOR_MODEL_SERVER_HPP

#include <medlarstall/dispatch/prompt.hpp>
#include <medlarstall/emulator/event_queue.hpp>
#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/emulator/kv_cache.hpp>
#include <medlarstall/emulator/prefill_counter.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace medlarstall::emulator {

/// A request to a backend server with a model.
struct model_request
{
    std::uint64_t id = 0;
    std::vector<dispatch::prompt_part> parts;
    std::uint32_t output_tokens = 1;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    /// Events that an earlier attempt delivered; they are not sent again.
    std::uint32_t delivered_events = 0;
};

/// Emulates a backend server with a model in virtual time. It works in steps
/// of a batch (continuous batching) and computes prompts in chunks beside the
/// output of other requests. Running requests and cached prompt parts share
/// its memory. Waiting requests are queued by priority, and more urgent ones
/// preempt less urgent ones.
class model_server
{
public:
    /// Receives the id of a request, the number of its latest event (counted
    /// from 1, across attempts), and whether that event is the last one.
    using listener = std::function<void(std::uint64_t, std::uint32_t, bool)>;

    /// \param events virtual clock, which has to outlive the server
    /// \param settings speed and capacity of the server
    /// \param prefills counter that all backend servers share
    /// \param on_event called for each event of an answer
    model_server(event_queue& events, model_server_settings settings,
                 prefill_counter& prefills, listener on_event);

    /// Queues a request.
    /// \param request the request
    /// \return false if the request is rejected because the server is down,
    ///         its queue is full, or the request can never fit into its memory
    [[nodiscard]] bool submit(model_request request);

    /// Drops a queued or running request without further events.
    /// \param id id of the request; unknown ids are ignored
    void cancel(std::uint64_t id);

    /// Adds prompt parts, copied from another server, to the cache if they fit.
    /// \param parts prompt parts from the start of a prompt
    void insert_copied_parts(std::vector<dispatch::prompt_part> const& parts);

    /// Takes the server down and drops all requests and its cache.
    /// \return ids of the dropped requests, running and queued
    std::vector<std::uint64_t> crash();

    /// Brings the server up again, idle and with an empty cache.
    void restart() { down_ = false; }

    /// \param factor multiplies the duration of each step from the next one
    ///        on; 1 is normal speed
    void set_slowdown(double factor) { slowdown_ = factor; }

    /// \return true between a crash and a restart
    [[nodiscard]] bool is_down() const { return down_; }

    /// \return number of requests in the batch
    [[nodiscard]] std::size_t running_count() const { return running_.size(); }

    /// \return number of requests in the queue
    [[nodiscard]] std::size_t waiting_count() const { return waiting_.size(); }

    /// \return number of times that a request was removed from the batch in
    ///         favour of another one
    [[nodiscard]] std::uint64_t preemptions() const { return preemptions_; }

    /// \param parts parts of a prompt
    /// \return number of tokens at the start of the prompt that are cached
    [[nodiscard]] std::uint32_t
    cached_prefix_tokens(std::vector<dispatch::prompt_part> const& parts) const
    {
        return cache_.cached_prefix_tokens(parts);
    }

private:
    struct scheduled_request
    {
        model_request request;
        std::uint64_t arrival_order = 0;
        std::uint32_t remaining_prefill = 0; ///< Tokens still to compute.
        std::uint32_t generated_tokens = 0;
        std::uint32_t step_prefill = 0; ///< Tokens computed in this step.
    };

    static bool has_precedence(scheduled_request const& left,
                               scheduled_request const& right);
    void ensure_stepping();
    void begin_step();
    void end_step(std::uint64_t epoch);
    void admit_waiting();
    bool try_admit(scheduled_request& next);
    bool try_preempt_below(std::uint32_t priority);
    void preempt(std::size_t position);
    void make_room_for_answers();
    double plan_step();
    bool advance(scheduled_request& entry);

    event_queue& events_;
    model_server_settings settings_;
    prefill_counter& prefills_;
    listener on_event_;
    kv_cache cache_;
    std::vector<scheduled_request> running_; ///< In order of admission.
    std::vector<scheduled_request> waiting_; ///< Most urgent first.
    std::uint64_t last_order_ = 0;
    std::uint64_t epoch_ = 0; ///< Number of crashes; voids older events.
    std::uint64_t preemptions_ = 0;
    double slowdown_ = 1;
    bool stepping_ = false; ///< A step runs or is scheduled.
    bool down_ = false;
};

} // namespace medlarstall::emulator

#endif
