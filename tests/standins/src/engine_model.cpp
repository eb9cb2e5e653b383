#include <medlarstall/standins/engine_model.hpp>

#include <medlarstall/support/digest.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace medlarstall::standins {

namespace {

constexpr std::size_t shortest_prefix = 256;
constexpr int smoothing = 5; // Part of the difference that is taken in.

std::string hexadecimal(std::uint64_t number)
{
    constexpr int base = 16;
    std::array<char, 16> digits{};
    auto const end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   number, base)
                         .ptr;
    std::string const text{digits.data(), end};
    return std::string(digits.size() - text.size(), '0') + text;
}

duration scaled(std::chrono::microseconds time, double factor)
{
    using exact = std::chrono::duration<double, std::micro>;
    return std::chrono::duration_cast<duration>(exact{time} * factor);
}

} // namespace

engine_stream_ptr engine_model::submit(std::string attempt,
                                       std::string_view prompt,
                                       std::optional<std::uint64_t> max_tokens,
                                       int priority, time_point now)
{
    forget_old(ended_, speed_.keep_finished, now);
    forget_old(kept_, speed_.keep_preempted, now);
    bool const free = running_ < speed_.slots;
    if (!free && waiting_ >= speed_.waiting_limit) {
        return nullptr;
    }
    auto stream = std::make_shared<engine_stream>();
    stream->attempt = std::move(attempt);
    stream->plan = plan_answer(prompt, max_tokens);
    stream->prompt_tokens = prompt_tokens(prompt);
    stream->cached_tokens = use_cache(prompt);
    stream->priority = priority;
    stream->submitted = now;
    streams_[stream->attempt] = stream;
    if (free) {
        start(stream, now);
    } else {
        waiting_by_priority_[priority].push_back(stream);
        ++waiting_;
    }
    return stream;
}

engine_stream_ptr engine_model::find(std::string const& attempt) const
{
    auto const found = streams_.find(attempt);
    return found == streams_.end() ? nullptr : found->second;
}

bool engine_model::cancel(std::string const& attempt, time_point now)
{
    auto const stream = find(attempt);
    if (!stream) {
        return false;
    }
    if (stream->state == stream_state::kept) {
        stream->state = stream_state::cancelled;
    }
    release(stream, stream_state::cancelled, now);
    return true;
}

engine_stream_ptr engine_model::keep(std::string const& attempt, time_point now)
{
    auto const stream = find(attempt);
    if (stream) {
        release(stream, stream_state::kept, now);
    }
    return stream;
}

bool engine_model::resume(engine_stream_ptr const& stream, int priority,
                          time_point now)
{
    if (running_ >= speed_.slots) {
        return false;
    }
    stream->priority = priority;
    start(stream, now);
    return true;
}

void engine_model::import(engine_stream stream, time_point now)
{
    auto const taken = std::make_shared<engine_stream>(std::move(stream));
    taken->state = stream_state::kept;
    taken->ended = now;
    streams_[taken->attempt] = taken;
    kept_.push_back(taken);
}

void engine_model::advance(time_point now,
                           std::function<void(engine_stream&)> const& on_token)
{
    drop_void_tokens();
    while (!due_tokens_.empty() && due_tokens_.top().due <= now) {
        auto const stream = due_tokens_.top().stream;
        due_tokens_.pop();
        if (stream->made == 0) {
            note_first_token(stream->due - stream->submitted);
        }
        stream->made += stream->made < stream->plan.length ? 1 : 0;
        if (stream->made == stream->plan.length) {
            release(stream, stream_state::finished, now);
        } else {
            stream->due += token_interval();
            schedule(stream);
        }
        on_token(*stream);
        drop_void_tokens();
    }
}

void engine_model::note_first_token(duration taken)
{
    bool const first = first_token_ == duration::zero();
    first_token_ += first ? taken : (taken - first_token_) / smoothing;
}

std::optional<time_point> engine_model::next_due() const
{
    if (due_tokens_.empty()) {
        return std::nullopt;
    }
    return due_tokens_.top().due;
}

void engine_model::clear()
{
    streams_.clear();
    due_tokens_ = {};
    waiting_by_priority_.clear();
    ended_.clear();
    kept_.clear();
    recent_prefixes_.clear();
    prefixes_.clear();
    running_ = 0;
    waiting_ = 0;
}

std::vector<cache_change> engine_model::take_cache_changes()
{
    return std::exchange(changes_, {});
}

duration engine_model::token_interval() const
{
    auto const others = running_ > 1 ? static_cast<double>(running_ - 1) : 0.0;
    return scaled(speed_.between_tokens,
                  slow_ * (1.0 + speed_.batching_slowdown * others));
}

void engine_model::start(engine_stream_ptr const& stream, time_point now)
{
    bool const prefilled = stream->made > 0;
    auto const uncached =
        prefilled ? 0 : stream->prompt_tokens - stream->cached_tokens;
    ++running_;
    ++stream->starts;
    stream->state = stream_state::running;
    stream->due =
        now + token_interval() +
        scaled(speed_.prefill_per_token, slow_ * static_cast<double>(uncached));
    schedule(stream);
}

void engine_model::schedule(engine_stream_ptr const& stream)
{
    due_tokens_.push({stream->due, stream->starts, stream});
}

void engine_model::start_waiting(time_point now)
{
    while (running_ < speed_.slots && waiting_ > 0) {
        for (auto& [priority, queue] : waiting_by_priority_) {
            if (!queue.empty()) {
                auto const stream = queue.front();
                queue.pop_front();
                --waiting_;
                start(stream, now);
                break;
            }
        }
    }
}

void engine_model::release(engine_stream_ptr const& stream, stream_state state,
                           time_point now)
{
    if (idle(*stream)) {
        return;
    }
    if (stream->state == stream_state::running) {
        --running_;
    } else {
        std::erase(waiting_by_priority_[stream->priority], stream);
        --waiting_;
    }
    stream->state = state;
    stream->ended = now;
    (state == stream_state::kept ? kept_ : ended_).push_back(stream);
    start_waiting(now);
}

void engine_model::drop_void_tokens()
{
    while (!due_tokens_.empty()) {
        auto const& next = due_tokens_.top();
        bool const valid = next.stream->state == stream_state::running &&
                           next.start == next.stream->starts;
        if (valid) {
            return;
        }
        due_tokens_.pop();
    }
}

void engine_model::forget_old(std::deque<engine_stream_ptr>& streams,
                              std::chrono::seconds kept_for, time_point now)
{
    while (!streams.empty() && streams.front()->ended + kept_for < now) {
        if (idle(*streams.front())) {
            streams_.erase(streams.front()->attempt);
        }
        streams.pop_front();
    }
}

std::uint64_t engine_model::use_cache(std::string_view prompt)
{
    std::size_t cached = 0;
    for (auto size = shortest_prefix; size <= prompt.size(); size *= 2) {
        auto const prefix = hexadecimal(hash64(prompt.substr(0, size)));
        if (prefixes_.contains(prefix)) {
            cached = size;
        }
        store_prefix(prefix);
    }
    return prompt_tokens(prompt.substr(0, cached));
}

void engine_model::store_prefix(std::string const& prefix)
{
    auto const found = prefixes_.find(prefix);
    if (found != prefixes_.end()) {
        recent_prefixes_.splice(recent_prefixes_.begin(), recent_prefixes_,
                                found->second);
        return;
    }
    recent_prefixes_.push_front(prefix);
    prefixes_[prefix] = recent_prefixes_.begin();
    changes_.push_back({.stored = true, .prefix = prefix});
    if (prefixes_.size() > speed_.cached_prefixes) {
        auto const oldest = recent_prefixes_.back();
        prefixes_.erase(oldest);
        recent_prefixes_.pop_back();
        changes_.push_back({.stored = false, .prefix = oldest});
    }
}

} // namespace medlarstall::standins
