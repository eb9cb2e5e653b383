#ifndef MEDLARSTALL_SUPPORT_LOG_HPP
#define MEDLARSTALL_SUPPORT_LOG_HPP

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

namespace medlarstall {

/// Severity of a log line, from the least to the most important.
enum class severity
{
    debug,
    info,
    warning,
    error
};

/// Encoding of log lines.
enum class log_format
{
    key_value, ///< Fields as key=value, separated by spaces.
    json       ///< One JSON object a line.
};

/// What the process logs and in which encoding.
struct log_settings
{
    severity min_severity = severity::info; ///< Lines below it are dropped.
    log_format format = log_format::key_value;
};

/// Sets up logging of the process to standard error. Must be called once, at
/// startup. Before that, lines below severity::warning are dropped.
/// \param settings minimum severity and encoding of the lines
void start_logging(log_settings settings);

/// Tests whether lines of a severity are written, so that a caller can skip
/// the work of building a line that would be dropped.
/// \param level severity of the line
/// \return false if a line of this severity would be dropped
[[nodiscard]] bool is_logged(severity level);

/// One structured log line, which is written when the object is destroyed.
class log_line
{
public:
    /// Starts a line with its time, level and event.
    /// \param level severity of the line
    /// \param event name of the event, for example "route"
    log_line(severity level, std::string_view event);
    ~log_line();
    log_line(log_line const&) = delete;
    log_line& operator=(log_line const&) = delete;

    /// Adds a text field.
    /// \param key name of the field
    /// \param value text; it is quoted and escaped where the encoding needs it
    /// \return this line, so that calls can be chained
    log_line& with(std::string_view key, std::string_view value);

    /// Adds a number or a Boolean field.
    /// \param key name of the field
    /// \param value number, or a Boolean that is written as true or false
    /// \return this line, so that calls can be chained
    template<class T>
        requires std::integral<T> || std::floating_point<T>
    log_line& with(std::string_view key, T value)
    {
        if constexpr (std::same_as<T, bool>) {
            return append_encoded(key, value ? "true" : "false");
        } else {
            return append_encoded(key, std::to_string(value));
        }
    }

    /// Adds a duration field in milliseconds.
    /// \param key name of the field without its unit; "_ms" is appended
    /// \param value duration of any resolution
    /// \return this line, so that calls can be chained
    template<class Rep, class Period>
    log_line& with(std::string_view key,
                   std::chrono::duration<Rep, Period> value)
    {
        using milliseconds = std::chrono::duration<double, std::milli>;
        return append_encoded(std::string{key} + "_ms",
                              std::to_string(milliseconds{value}.count()));
    }

private:
    /// Appends a field whose value is already encoded.
    log_line& append_encoded(std::string_view key, std::string_view value);

    severity level_;
    bool is_logged_;
    std::string text_;
};

} // namespace medlarstall

#endif
