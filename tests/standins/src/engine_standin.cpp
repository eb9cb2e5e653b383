#include <medlarstall/standins/engine_standin.hpp>

#include "engine_frames.hpp"
#include "engine_implementation.hpp"
#include "json_replies.hpp"

namespace medlarstall::standins {

void engine_standin::implementation::advance()
{
    model.advance(monotonic_clock::now(), [this](engine_stream& stream) {
        crash_due = crash_due || stream.crashes;
        serve_readers(stream);
        if (stream.made == 1 || stream.state != stream_state::running) {
            runs.note(stream);
            sample();
        }
    });
    if (std::exchange(crash_due, false)) {
        ++crashes;
        crash();
    }
}

void engine_standin::implementation::arm()
{
    auto const due = model.next_due();
    if (!due || (armed && armed_for <= *due)) {
        return;
    }
    armed = true;
    armed_for = *due;
    timer.expires_at(*due);
    timer.async_wait([this, weak = weak_from_this()](asio::error_code failure) {
        auto const self = weak.lock();
        if (!self || failure) {
            return;
        }
        armed = false;
        advance();
        arm();
    });
}

void engine_standin::implementation::serve_readers(engine_stream& stream)
{
    bool const ended = idle(stream);
    if (auto const found = readers.find(&stream); found != readers.end()) {
        auto const reader = found->second;
        reader->pump();
        if (ended) {
            readers.erase(&stream);
        }
    }
    auto const whole = whole_readers.find(&stream);
    if (ended && whole != whole_readers.end()) {
        if (stream.state == stream_state::finished) {
            whole->second->reply(200, whole_answer(stream));
        } else {
            reply_error(*whole->second, 499, "cancelled or preempted");
        }
        whole_readers.erase(whole);
    }
}

void engine_standin::implementation::sample()
{
    loads.sample(model, settings.load_lag, monotonic_clock::now());
}

void engine_standin::implementation::publish_cache_changes(
    std::string const& name)
{
    cache_events.publish(name, model.take_cache_changes(),
                         settings.cache_event_gap,
                         monotonic_clock::now() + settings.cache_event_lag);
}

void engine_standin::implementation::crash()
{
    host->stop();
    model.clear();
    readers.clear();
    whole_readers.clear();
    loads.clear();
    timer.cancel();
    armed = false;
    if (switches->restart_after < std::chrono::milliseconds{0} ||
        switches->down) {
        return;
    }
    restart_timer.expires_after(switches->restart_after);
    restart_timer.async_wait(
        [weak = weak_from_this()](asio::error_code failure) {
            auto const self = weak.lock();
            if (self && !failure) {
                self->host->start();
            }
        });
}

void engine_standin::implementation::apply(engine_switches const& changed)
{
    bool const falls = changed.down && !switches->down;
    bool const returns = !changed.down && switches->down;
    *switches = changed;
    model.slow_down(switches->slow);
    if (falls) {
        crash();
    } else if (returns) {
        host->start();
    }
}

engine_standin::engine_standin(asio::io_context& context,
                               engine_settings settings)
    : parts_{std::make_shared<implementation>(context, std::move(settings))}
{
    parts_->host = std::make_unique<http_host>(
        context, parts_->settings.host,
        [weak = std::weak_ptr{parts_}](http_exchange_ptr const& exchange) {
            if (auto const parts = weak.lock()) {
                parts->handle(exchange);
            }
        });
}

engine_standin::~engine_standin() = default;

void engine_standin::start()
{
    parts_->switches->down = false;
    parts_->restart_timer.cancel();
    parts_->host->start();
}

void engine_standin::stop()
{
    parts_->switches->down = true;
    parts_->crash();
}

std::uint16_t engine_standin::port() const
{
    return parts_->host->port();
}

void engine_standin::set(engine_switches const& switches)
{
    parts_->apply(switches);
}

engine_switches const& engine_standin::switches() const
{
    return *parts_->switches;
}

void engine_standin::silence_open_connections()
{
    parts_->host->silence_open_connections();
}

void engine_standin::drop_connections()
{
    parts_->host->drop_connections();
}

std::vector<engine_run> engine_standin::runs() const
{
    return parts_->runs.list();
}

std::vector<engine_order> engine_standin::orders() const
{
    return parts_->orders;
}

std::vector<std::string> engine_standin::models() const
{
    return {parts_->loaded.begin(), parts_->loaded.end()};
}

std::size_t engine_standin::running() const
{
    return parts_->model.running();
}

std::size_t engine_standin::waiting() const
{
    return parts_->model.waiting();
}

std::uint64_t engine_standin::crashes() const
{
    return parts_->crashes;
}

} // namespace medlarstall::standins
