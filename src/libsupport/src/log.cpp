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

std::atomic<severity> least_severity{severity::warning};
std::atomic<log_format> line_format{log_format::key_value};

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

std::string quoted(std::string_view value)
{
    return nlohmann::json(value).dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace);
}

/// \return seconds since the epoch with microseconds
std::string now_text()
{
    using namespace std::chrono;
    auto const now = system_clock::now().time_since_epoch();
    return std::to_string(duration<double>(now).count());
}

} // namespace

void start_logging(log_settings settings)
{
    namespace log = boost::log;
    least_severity = settings.least;
    line_format = settings.format;
    auto const core = log::core::get();
    core->remove_all_sinks();
    log::add_console_log(std::clog, log::keywords::format = "%Message%",
                         log::keywords::auto_flush = true);
    core->set_logging_enabled(true);
}

bool logs(severity level)
{
    return level >= least_severity.load();
}

log_line::log_line(severity level, std::string_view event)
    : level_{level}, enabled_{logs(level)}
{
    if (!enabled_) {
        return;
    }
    raw("time", now_text());
    with("level", severity_name(level_));
    with("event", event);
}

log_line::~log_line()
{
    if (!enabled_) {
        return;
    }
    thread_local boost::log::sources::logger logger;
    if (line_format.load() == log_format::json) {
        BOOST_LOG(logger) << '{' << text_ << '}';
    } else {
        BOOST_LOG(logger) << text_;
    }
}

log_line& log_line::with(std::string_view key, std::string_view value)
{
    if (!enabled_) {
        return *this;
    }
    bool const json = line_format.load() == log_format::json;
    return raw(key, json || needs_quotes(value) ? quoted(value)
                                                : std::string{value});
}

log_line& log_line::raw(std::string_view key, std::string_view value)
{
    if (!enabled_) {
        return *this;
    }
    bool const json = line_format.load() == log_format::json;
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
