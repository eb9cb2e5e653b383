#include "stream_reader.hpp"

#include "engine_frames.hpp"

namespace medlarstall::standins {

namespace {

constexpr char const* other_attempt = "00000000-0000-7000-8000-000000000000";

bool strikes(unsigned every, std::uint64_t index)
{
    return every != 0 && index % every == every - 1;
}

} // namespace

stream_reader::stream_reader(http_exchange_ptr exchange,
                             engine_stream_ptr stream, std::uint64_t from,
                             bool resumed,
                             std::shared_ptr<engine_switches const> faults)
    : exchange_{std::move(exchange)}, stream_{std::move(stream)}, next_{from},
      resumed_{resumed}, faults_{std::move(faults)}
{}

void stream_reader::start()
{
    exchange_->start_stream(200, "text/event-stream");
}

void stream_reader::pump()
{
    if (writing_ || done_) {
        return;
    }
    std::string text;
    while (next_ < stream_->made) {
        append_token(text);
        ++next_;
    }
    if (ended()) {
        append_end(text);
        done_ = true;
    }
    if (!text.empty()) {
        send(std::move(text));
    }
    // A write to a broken connection fails at once and drops the exchange.
    if (done_ && exchange_) {
        exchange_->finish();
        exchange_.reset();
    }
}

void stream_reader::append_token(std::string& out)
{
    if (!resumed_ && strikes(faults_->lose_every, next_)) {
        return;
    }
    if (strikes(faults_->cross_every, next_)) {
        append_token_frame(out, other_attempt, {.seed = 1}, next_);
    }
    std::string frame;
    append_token_frame(frame, stream_->attempt, stream_->plan, next_);
    if (strikes(faults_->duplicate_every, next_)) {
        frame += frame;
    }
    if (strikes(faults_->delay_every, next_) && held_.empty()) {
        held_ = std::move(frame);
        return;
    }
    out += frame;
    out += std::exchange(held_, {});
}

void stream_reader::append_end(std::string& out)
{
    out += std::exchange(held_, {});
    bool const finished = stream_->state == stream_state::finished;
    if (finished && (resumed_ || !faults_->lose_finish)) {
        append_finish_frames(out, *stream_);
    }
}

bool stream_reader::ended() const
{
    return idle(*stream_);
}

void stream_reader::send(std::string text)
{
    writing_ = true;
    exchange_->write(std::move(text),
                     [self = shared_from_this()](bool flushed) {
                         self->writing_ = false;
                         if (!flushed) {
                             self->done_ = true;
                             self->exchange_.reset();
                             return;
                         }
                         self->pump();
                     });
}

} // namespace medlarstall::standins
