#ifndef MEDLARSTALL_BENCH_FAKE_ENGINE_HPP
#define MEDLARSTALL_BENCH_FAKE_ENGINE_HPP

#include <medlarstall/emulator/event_queue.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace medlarstall::bench {

using emulator::event_queue;

/// How fast a fake engine is. Plain data.
struct engine_speed
{
    double step_ms = 20;           ///< Of one token for an empty batch.
    double step_ms_per_stream = 1; ///< More for each running stream.
    double prefill_ms_per_token = 0.1;
    std::uint32_t prefill_chunk = 128; ///< Tokens in one step.
    std::size_t slots = 32;
    std::size_t cached_documents = 16;

    /// \param streams streams that run at once
    /// \param uncached prompt tokens to prefill
    /// \param output output tokens
    /// \return milliseconds of one engine that a request takes
    [[nodiscard]] double engine_ms(double streams, double uncached,
                                   double output) const
    {
        double const token_ms = step_ms / streams + step_ms_per_stream;
        return output * token_ms + uncached * prefill_ms_per_token;
    }
};

/// One stream to run. Plain data.
struct engine_work
{
    std::uint64_t id = 0;
    std::uint32_t document = 0; ///< Shared beginning of the prompt; 0: none.
    std::uint32_t document_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::uint32_t made = 0;   ///< Tokens made by an earlier attempt.
    bool keeps_cache = false; ///< The earlier attempt ran here.
    unsigned priority = 0;    ///< Lower numbers are prefilled first.
};

/// A stand-in for a model engine with continuous batching, chunked prefill in
/// order of priority, a prefix cache, slowdowns and crashes, in virtual time.
class fake_engine
{
public:
    /// Called with the id, the number of tokens made and whether it ended.
    using token_listener =
        std::function<void(std::uint64_t, std::uint32_t, bool)>;
    /// Called with a document and whether it was stored or removed.
    using cache_listener = std::function<void(std::uint32_t, bool)>;

    /// \param events virtual time
    /// \param speed how fast it is
    fake_engine(event_queue& events, engine_speed speed);

    token_listener on_token;
    cache_listener on_cache;

    /// \param work stream to run
    /// \return false if all slots are taken or the engine is down
    [[nodiscard]] bool start(engine_work const& work);

    /// Stops a stream.
    /// \param id its id
    /// \param keeps_tokens true if what it made so far stays of use
    void cancel(std::uint64_t id, bool keeps_tokens);

    /// Goes down.
    /// \return ids of the streams that were lost
    std::vector<std::uint64_t> crash();

    /// Comes up again with an empty cache.
    void restart() { down_ = false; }

    /// \param factor multiple of the time of each step
    void set_slowdown(double factor) { slowdown_ = factor; }

    /// \return streams that hold a slot
    [[nodiscard]] std::size_t running() const { return streams_.size(); }

    /// \return true between a crash and a restart
    [[nodiscard]] bool down() const { return down_; }

    /// \return milliseconds of work done, at full speed
    [[nodiscard]] double work_ms() const { return work_ms_; }

    /// \return milliseconds of it that were of no use
    [[nodiscard]] double wasted_ms() const { return wasted_ms_; }

private:
    struct stream
    {
        engine_work work;
        std::uint32_t prefill_left = 0;
        double work_ms = 0;
    };

    void schedule_step();
    void step(std::uint64_t epoch);
    std::uint32_t prefill_in_step() const;
    bool touch(std::uint32_t document);
    void waste(stream const& lost) { wasted_ms_ += lost.work_ms; }

    event_queue& events_;
    engine_speed speed_;
    std::vector<stream> streams_;      ///< By priority, then by start.
    std::deque<std::uint32_t> cached_; ///< Most recently used first.
    std::uint64_t epoch_ = 0;
    bool stepping_ = false;
    bool down_ = false;
    double slowdown_ = 1;
    double work_ms_ = 0;
    double wasted_ms_ = 0;
};

} // namespace medlarstall::bench

#endif
