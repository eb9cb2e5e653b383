#include <medlarstall/support/log.hpp>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <iostream>

namespace medlarstall {

namespace {

std::atomic<severity> min_severity{severity::warning};
std::atomic<log_format> current_format{log_format::key_value};

char const* severity_name(severity level)
{
    switch (level) {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "unknown";
}

bool needs_quotes(std::string_view value)
{
    return value.empty() ||
           value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

std::string quote(std::string_view value)
{
    return nlohmann::json(value).dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace);
}

/// Returns the current wall-clock time as text.
/// \return seconds since the Unix epoch with six decimal places
std::string timestamp()
{
    using namespace std::chrono;
    auto const now = system_clock::now().time_since_epoch();
    return std::to_string(duration<double>(now).count());
}

} // namespace

void start_logging(log_settings settings)
{
    namespace log = boost::log;
    min_severity = settings.min_severity;
    current_format = settings.format;
    auto const core = log::core::get();
    core->remove_all_sinks();
    log::add_console_log(std::clog, log::keywords::format = "%Message%",
                         log::keywords::auto_flush = true);
    core->set_logging_enabled(true);
}

bool is_logged(severity level)
{
    return level >= min_severity.load();
}

log_line::log_line(severity level, std::string_view event)
    : level_{level}, is_logged_{is_logged(level)}
{
    if (!is_logged_) {
        return;
    }
    append_encoded("time", timestamp());
    with("level", severity_name(level_));
    with("event", event);
}

log_line::~log_line()
{
    if (!is_logged_) {
        return;
    }
    thread_local boost::log::sources::logger logger;
    if (current_format.load() == log_format::json) {
        BOOST_LOG(logger) << '{' << text_ << '}';
    } else {
        BOOST_LOG(logger) << text_;
    }
}

log_line& log_line::with(std::string_view key, std::string_view value)
{
    if (!is_logged_) {
        return *this;
    }
    bool const json = current_format.load() == log_format::json;
    return append_encoded(
        key, json || needs_quotes(value) ? quote(value) : std::string{value});
}

log_line& log_line::append_encoded(std::string_view key, std::string_view value)
{
    if (!is_logged_) {
        return *this;
    }
    bool const json = current_format.load() == log_format::json;
    if (!text_.empty()) {
        text_ += json ? ',' : ' ';
    }
    if (json) {
        text_ += '"';
    }
    text_ += key;
    text_ += json ? "\":" : "=";
    text_ += value;
    return *this;
}

} // namespace medlarstall
