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

/// Form in which log lines are written.
enum class log_format
{
    key_value,
    json
};

/// How and what the process logs.
struct log_settings
{
    severity least = severity::info;
    log_format format = log_format::key_value;
};

/// Sets up logging of the process to standard error. Call once at start.
/// \param settings least severity and form
void start_logging(log_settings settings);

/// Tells whether lines of a severity are written.
/// \param level severity of the line
/// \return false if the line would be dropped
[[nodiscard]] bool logs(severity level);

/// One structured log line, written when the object goes out of scope.
class log_line
{
public:
    /// \param level severity
    /// \param event what happened, for example "route"
    log_line(severity level, std::string_view event);
    ~log_line();
    log_line(log_line const&) = delete;
    log_line& operator=(log_line const&) = delete;

    /// Adds a text field.
    /// \param key name of the field
    /// \param value text, quoted where needed
    /// \return this line
    log_line& with(std::string_view key, std::string_view value);

    /// Adds a number.
    /// \param key name of the field
    /// \param value number
    /// \return this line
    template<class T>
        requires std::integral<T> || std::floating_point<T>
    log_line& with(std::string_view key, T value)
    {
        if constexpr (std::same_as<T, bool>) {
            return raw(key, value ? "true" : "false");
        } else {
            return raw(key, std::to_string(value));
        }
    }

    /// Adds a duration in milliseconds; "_ms" is appended to the key.
    /// \param key name of the field without its unit
    /// \param value duration
    /// \return this line
    template<class Rep, class Period>
    log_line& with(std::string_view key,
                   std::chrono::duration<Rep, Period> value)
    {
        using milliseconds = std::chrono::duration<double, std::milli>;
        return raw(std::string{key} + "_ms",
                   std::to_string(milliseconds{value}.count()));
    }

private:
    log_line& raw(std::string_view key, std::string_view value);

    severity level_;
    bool enabled_;
    std::string text_;
};

} // namespace medlarstall

#endif
