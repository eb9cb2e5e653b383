#include "fake_engine.hpp"

#include <algorithm>

namespace medlarstall::bench {

namespace {

duration milliseconds_of(double ms)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{ms});
}

} // namespace

fake_engine::fake_engine(event_queue& events, engine_speed speed)
    : events_{events}, speed_{speed}
{}

bool fake_engine::touch(std::uint32_t document)
{
    if (document == 0) {
        return false;
    }
    auto const found = std::ranges::find(cached_, document);
    bool const hit = found != cached_.end();
    if (hit) {
        cached_.erase(found);
    }
    cached_.push_front(document);
    if (!hit && on_cache) {
        on_cache(document, true);
    }
    if (cached_.size() > speed_.cached_documents) {
        auto const dropped = cached_.back();
        cached_.pop_back();
        if (on_cache) {
            on_cache(dropped, false);
        }
    }
    return hit;
}

bool fake_engine::start(engine_work const& work)
{
    if (down_ || streams_.size() >= speed_.slots) {
        return false;
    }
    stream started{work};
    started.prefill_left = work.prompt_tokens + work.made;
    if (work.keeps_cache) {
        started.prefill_left = 0;
    } else if (touch(work.document)) {
        started.prefill_left -=
            std::min(started.prefill_left, work.document_tokens);
    }
    auto const later = std::ranges::upper_bound(
        streams_, work.priority, {},
        [](stream const& s) { return s.work.priority; });
    streams_.insert(later, started);
    schedule_step();
    return true;
}

std::uint32_t fake_engine::prefill_in_step() const
{
    std::uint32_t left = 0;
    for (auto const& s : streams_) {
        left += s.prefill_left;
    }
    return std::min(left, speed_.prefill_chunk);
}

void fake_engine::schedule_step()
{
    if (stepping_ || streams_.empty()) {
        return;
    }
    stepping_ = true;
    auto const streams = static_cast<double>(streams_.size());
    double const ms = speed_.step_ms + speed_.step_ms_per_stream * streams +
                      prefill_in_step() * speed_.prefill_ms_per_token;
    events_.schedule_after(milliseconds_of(ms * slowdown_),
                           [this, epoch = epoch_] { step(epoch); });
}

void fake_engine::step(std::uint64_t epoch)
{
    if (epoch != epoch_) {
        return;
    }
    stepping_ = false;
    auto const count = static_cast<double>(streams_.size());
    double const decode_ms =
        speed_.step_ms / std::max(1.0, count) + speed_.step_ms_per_stream;
    auto chunk = speed_.prefill_chunk;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> made;
    std::vector<std::uint64_t> ended;
    for (auto& s : streams_) {
        auto const prefill = std::min(chunk, s.prefill_left);
        chunk -= prefill;
        s.prefill_left -= prefill;
        double const ms = prefill * speed_.prefill_ms_per_token + decode_ms;
        s.work_ms += ms;
        work_ms_ += ms;
        if (s.work.made > 0 && prefill > 0) {
            wasted_ms_ += prefill * speed_.prefill_ms_per_token;
        }
        if (s.prefill_left > 0) {
            continue;
        }
        ++s.work.made;
        made.emplace_back(s.work.id, s.work.made);
        if (s.work.made >= s.work.output_tokens) {
            ended.push_back(s.work.id);
        }
    }
    std::erase_if(streams_, [](stream const& s) {
        return s.prefill_left == 0 && s.work.made >= s.work.output_tokens;
    });
    for (auto const& [id, tokens] : made) {
        bool const end = std::ranges::find(ended, id) != ended.end();
        on_token(id, tokens, end);
    }
    schedule_step();
}

void fake_engine::cancel(std::uint64_t id, bool keeps_tokens)
{
    auto const found = std::ranges::find_if(
        streams_, [&](stream const& s) { return s.work.id == id; });
    if (found == streams_.end()) {
        return;
    }
    if (!keeps_tokens) {
        waste(*found);
    }
    streams_.erase(found);
}

std::vector<std::uint64_t> fake_engine::crash()
{
    std::vector<std::uint64_t> lost;
    for (auto const& s : streams_) {
        lost.push_back(s.work.id);
        waste(s);
    }
    streams_.clear();
    cached_.clear();
    down_ = true;
    stepping_ = false;
    ++epoch_;
    return lost;
}

} // namespace medlarstall::bench
