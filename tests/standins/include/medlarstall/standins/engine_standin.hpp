#ifndef MEDLARSTALL_STANDINS_ENGINE_STANDIN_HPP
#define MEDLARSTALL_STANDINS_ENGINE_STANDIN_HPP

#include <medlarstall/standins/engine_model.hpp>
#include <medlarstall/standins/http_host.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::standins {

/// How an engine stand-in starts.
struct engine_settings
{
    host_settings host;
    engine_speed speed;
    std::vector<std::string> known_models; ///< Empty: every model is known.
    std::vector<std::string> models;       ///< Loaded at the start.
    std::string role = "mixed";
    bool checks_fencing = true;
    std::chrono::milliseconds model_load_time{500};
    std::chrono::milliseconds load_lag{500};
    std::chrono::milliseconds cache_event_lag{500};
    unsigned cache_event_gap = 10; ///< Each so-manieth event is lost; 0: none.
};

/// Faults that are in effect until changed.
struct engine_switches
{
    double slow = 1.0;        ///< Factor on every time.
    bool down = false;        ///< Refuses connections; setting it crashes.
    bool stopping = false;    ///< Refuses new work with 503.
    std::string crash_marker; ///< A prompt with this text crashes it.
    /// Time from a crash by marker to the restart; negative: never.
    std::chrono::milliseconds restart_after{-1};
    /// Each so-manieth frame of a stream is affected; 0: none.
    unsigned duplicate_every = 0;
    unsigned delay_every = 0; ///< Sent after the frame that follows it.
    unsigned cross_every = 0; ///< Preceded by a frame of another attempt.
    unsigned lose_every = 0;  ///< Not sent, except to a resumed stream.
    bool lose_finish = false; ///< The body ends before the finish mark.
};

/// What an engine stand-in did with one attempt.
struct engine_run
{
    std::string attempt;
    std::uint64_t prompt_hash = 0;
    int priority = 0;
    bool started = false; ///< Got a slot.
    std::uint64_t tokens = 0;
    stream_state state = stream_state::waiting;
};

/// An order that an engine stand-in accepted.
struct engine_order
{
    std::string order_id;
    std::uint64_t fencing = 0;
    std::string kind;
    std::string model;
    std::string version;
};

/// Reads the members that are present; others keep their value.
/// \param object JSON form, durations with the suffix "_ms"
/// \param switches changed in place
/// \return an error that names an unknown or ill-typed member
[[nodiscard]] status read_switches(nlohmann::json const& object,
                                   engine_switches& switches);

/// An engine over HTTP on one io_context that runs on a single thread. Every
/// member but the constructor is called on that thread; threaded_standin
/// does so from another one.
class engine_standin
{
public:
    engine_standin(asio::io_context& context, engine_settings settings = {});
    ~engine_standin();
    engine_standin(engine_standin const&) = delete;
    engine_standin& operator=(engine_standin const&) = delete;

    /// Listens, empty and with the switch "down" off.
    void start();

    /// Crashes: every stream is lost and every connection reset. start()
    /// listens again on the same port.
    void stop();

    [[nodiscard]] std::uint16_t port() const;

    /// \param switches faults in effect from now on
    void set(engine_switches const& switches);

    /// \return faults in effect
    [[nodiscard]] engine_switches const& switches() const;

    /// Leaves open connections open without a further byte.
    void silence_open_connections();

    /// Resets every connection; streams run on.
    void drop_connections();

    /// \return every attempt accepted since the construction, in order; the
    ///     last 100,000 are kept
    [[nodiscard]] std::vector<engine_run> runs() const;

    /// \return every accepted order, in order
    [[nodiscard]] std::vector<engine_order> orders() const;

    /// \return names of the loaded models
    [[nodiscard]] std::vector<std::string> models() const;

    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t waiting() const;

    /// \return number of crashes by marker
    [[nodiscard]] std::uint64_t crashes() const;

private:
    struct implementation;
    std::shared_ptr<implementation> parts_;
};

} // namespace medlarstall::standins

#endif
