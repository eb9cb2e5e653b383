#ifndef MEDLARSTALL_EMULATOR_MODEL_SERVER_HPP
#define MEDLARSTALL_EMULATOR_MODEL_SERVER_HPP

#include <medlarstall/dispatch/prompt.hpp>
#include <medlarstall/emulator/event_queue.hpp>
#include <medlarstall/emulator/experiment.hpp>
#include <medlarstall/emulator/prompt_memory.hpp>
#include <medlarstall/emulator/reading_record.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace medlarstall::emulator {

/// A request to a backend server with a model. Plain data.
struct model_work
{
    std::uint64_t id = 0;
    std::vector<dispatch::prompt_part> parts;
    std::uint32_t output_tokens = 1;
    std::uint32_t priority = 0;      ///< 0 is the most urgent.
    std::uint32_t events_before = 0; ///< Made elsewhere, not sent again.
};

/// A backend server with a model, in virtual time: steps of a batch, prompts
/// read in chunks between the tokens of others, a memory shared by running
/// requests and kept prompt parts, preemption, and a queue by urgency.
class model_server
{
public:
    /// Told the id of a request, its events so far, and whether that is all.
    using listener = std::function<void(std::uint64_t, std::uint32_t, bool)>;

    /// \param events virtual time
    /// \param speed speed and room
    /// \param readings what all backend servers have read
    /// \param on_event told each event of a stream
    model_server(event_queue& events, model_speed speed,
                 reading_record& readings, listener on_event);

    /// Takes a request.
    /// \param work the request
    /// \return false if it is turned away
    [[nodiscard]] bool submit(model_work work);

    /// Drops a request.
    /// \param id its id
    void cancel(std::uint64_t id);

    /// Keeps prompt parts that were copied from elsewhere.
    /// \param parts the parts
    void keep_copied(std::vector<dispatch::prompt_part> const& parts);

    /// Goes down and loses its memory.
    /// \return ids of the requests that were lost
    std::vector<std::uint64_t> crash();

    /// Comes up again.
    void restart() { down_ = false; }

    /// \param factor multiple of the time of each step
    void set_slowness(double factor) { slowness_ = factor; }

    /// \return true between a crash and a restart
    [[nodiscard]] bool down() const { return down_; }

    /// \return number of requests in the batch
    [[nodiscard]] std::size_t running() const { return running_.size(); }

    /// \return number of requests that wait for the batch
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

    /// \return requests that lost their place in the batch so far
    [[nodiscard]] std::uint64_t preemptions() const { return preemptions_; }

    /// \param parts parts of a prompt
    /// \return tokens at its beginning that it need not read
    [[nodiscard]] std::uint32_t
    kept_tokens(std::vector<dispatch::prompt_part> const& parts) const
    {
        return memory_.kept_tokens(parts);
    }

private:
    struct request
    {
        model_work work;
        std::uint64_t order = 0;   ///< Of its arrival here.
        std::uint32_t unread = 0;  ///< Prompt tokens still to read.
        std::uint32_t made = 0;    ///< Tokens of the answer.
        std::uint32_t reading = 0; ///< Prompt tokens in this step.
    };

    static bool is_before(request const& left, request const& right);
    void wake();
    void begin_step();
    void end_step(std::uint64_t epoch);
    void admit();
    bool try_admit(request& next);
    bool try_preempt_below(std::uint32_t priority);
    void preempt(std::size_t position);
    void make_room_for_answers();
    double plan_step();
    bool advance(request& one);

    event_queue& events_;
    model_speed speed_;
    reading_record& readings_;
    listener on_event_;
    prompt_memory memory_;
    std::vector<request> running_; ///< In order of admission.
    std::vector<request> waiting_; ///< Most urgent first.
    std::uint64_t orders_ = 0;
    std::uint64_t epoch_ = 0;
    std::uint64_t preemptions_ = 0;
    double slowness_ = 1;
    bool stepping_ = false;
    bool down_ = false;
};

} // namespace medlarstall::emulator

#endif
