#include <medlarstall/gateway/structured_log.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <limits>

namespace medlarstall::gateway {

namespace {

/// The buffer is written out once it contains this many bytes.
constexpr std::size_t flush_threshold_bytes = 2048;

std::int64_t unix_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

bool needs_quotes(std::string_view value)
{
    return value.empty() ||
           value.find_first_of(" =\"\\\n\r\t") != std::string_view::npos;
}

std::string quoted(std::string_view value)
{
    std::string text{'"'};
    for (auto const character : value) {
        auto const is_control = static_cast<unsigned char>(character) < ' ';
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += is_control ? ' ' : character;
    }
    return text += '"';
}

} // namespace

log_entry::log_entry(structured_log& log, log_category category,
                     std::string_view event)
    : log_{log}, category_{category}, admitted_{log.try_admit(category)}
{
    if (admitted_) {
        text_ = "t=" + std::to_string(unix_ms());
        with("event", event);
    }
}

log_entry::~log_entry()
{
    if (admitted_) {
        text_ += '\n';
        log_.append(text_);
    }
}

log_entry& log_entry::with(std::string_view key, std::string_view value)
{
    return needs_quotes(value) ? append_field(key, quoted(value))
                               : append_field(key, value);
}

log_entry& log_entry::append_field(std::string_view key, std::string_view value)
{
    if (admitted_) {
        text_.append(" ").append(key).append("=").append(value);
    }
    return *this;
}

structured_log::structured_log(int descriptor, log_limits limits)
    : descriptor_{descriptor}, limits_{limits}
{}

structured_log::~structured_log()
{
    flush();
}

bool structured_log::try_admit(log_category category)
{
    std::array const limits = {limits_.successes_per_second,
                               limits_.failures_per_second,
                               limits_.state_changes_per_second,
                               std::numeric_limits<std::uint32_t>::max()};
    auto const index = static_cast<std::size_t>(category);
    if (admitted_.at(index) >= limits.at(index)) {
        ++dropped_;
        return false;
    }
    ++admitted_.at(index);
    return true;
}

void structured_log::append(std::string_view text)
{
    if (buffer_.size() + text.size() > limits_.max_buffered_bytes) {
        ++dropped_;
        return;
    }
    buffer_.append(text);
    if (buffer_.size() >= flush_threshold_bytes) {
        flush();
    }
}

void structured_log::flush()
{
    while (!buffer_.empty()) {
        pollfd state{descriptor_, POLLOUT, 0};
        if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
            return;
        }
        // A pipe that is ready accepts up to PIPE_BUF bytes without blocking.
        auto const count = std::min<std::size_t>(buffer_.size(), PIPE_BUF);
        auto const written = ::write(descriptor_, buffer_.data(), count);
        if (written <= 0) {
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

void structured_log::tick(time_point now)
{
    if (now - second_began_ >= std::chrono::seconds{1}) {
        second_began_ = now;
        admitted_ = {};
        if (dropped_ != reported_dropped_) {
            auto const count = dropped_ - reported_dropped_;
            reported_dropped_ = dropped_;
            log_entry{*this, log_category::state_change, "log_lines_dropped"}
                .with("count", count);
        }
    }
    flush();
}

} // namespace medlarstall::gateway
