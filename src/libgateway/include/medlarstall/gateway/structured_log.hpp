#ifndef MEDLARSTALL_GATEWAY_STRUCTURED_LOG_HPP
#define MEDLARSTALL_GATEWAY_STRUCTURED_LOG_HPP

#include <medlarstall/support/time.hpp>

#include <array>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace medlarstall::gateway {

/// Category of a log line. Each has a rate limit of its own, or none.
enum class log_category
{
    success,      ///< A decision without problems; sampled under load.
    failure,      ///< A request that failed, was refused or is sent again.
    state_change, ///< A change of state: start, stop, reload, dependencies,
                  ///< lists.
    belief        ///< What this daemon holds true from now on of the store, the
                  ///< backend servers and the configuration. Has no rate limit.
};

/// Rate limits of each category, in lines per second, and the buffer's size.
struct log_limits
{
    std::uint32_t successes_per_second = 40;
    std::uint32_t failures_per_second = 200;
    std::uint32_t state_changes_per_second = 200;
    /// Bytes that are buffered while the reader of the log is slow.
    std::size_t max_buffered_bytes = 131072;
};

class structured_log;

/// Builds one structured log line, and appends it to the log when it goes out
/// of scope.
class log_entry
{
public:
    /// \param log log to write to; must outlive the line
    /// \param category category of the line, whose rate limit applies
    /// \param event name of what was decided or has changed
    log_entry(structured_log& log, log_category category,
              std::string_view event);
    ~log_entry();
    log_entry(log_entry const&) = delete;
    log_entry& operator=(log_entry const&) = delete;

    /// Adds a text field.
    /// \param key name of the field
    /// \param value text, which is quoted where needed
    /// \return this line, to chain calls
    log_entry& with(std::string_view key, std::string_view value);

    /// Adds an integer field.
    /// \param key name of the field
    /// \param value number to write in decimal
    /// \return this line, to chain calls
    template<std::integral Number>
    log_entry& with(std::string_view key, Number value)
    {
        return append_field(key, std::to_string(value));
    }

    /// Adds a duration field in whole milliseconds. The suffix "_ms" is
    /// appended to the key.
    /// \param key name of the field without its unit
    /// \param value duration, rounded towards zero
    /// \return this line, to chain calls
    template<class Rep, class Period>
    log_entry& with(std::string_view key,
                    std::chrono::duration<Rep, Period> value)
    {
        using std::chrono::milliseconds;
        auto const whole = std::chrono::duration_cast<milliseconds>(value);
        return append_field(std::string{key} + "_ms",
                            std::to_string(whole.count()));
    }

private:
    log_entry& append_field(std::string_view key, std::string_view value);

    structured_log& log_;
    log_category category_;
    bool admitted_; ///< The rate limit allows the line.
    std::string text_;
};

/// Writes structured log lines to a file descriptor. Never blocks: output that
/// the reader does not accept is buffered up to a limit; further lines are
/// dropped and counted. Owned by the gateway.
class structured_log
{
public:
    /// \param descriptor where to write, for example standard output
    /// \param limits rate limits and size of the buffer
    explicit structured_log(int descriptor, log_limits limits = {});
    ~structured_log();
    structured_log(structured_log const&) = delete;
    structured_log& operator=(structured_log const&) = delete;

    /// Writes buffered lines. Once a second it also restarts the rate limits
    /// and logs how many lines were dropped.
    /// \param now current time
    void tick(time_point now);

    /// \return lines dropped by the rate limits or because the buffer was full
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    friend class log_entry;

    bool try_admit(log_category category);
    void append(std::string_view text);
    void flush();

    int descriptor_;
    log_limits limits_;
    std::array<std::uint32_t, 4> admitted_{}; ///< This second, by category.
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_dropped_ = 0;
    time_point second_began_;
};

} // namespace medlarstall::gateway

#endif
