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
    forget_finished(now);
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
    if (stream->state == stream_state::running) {
        end(*stream, stream_state::cancelled, now);
        start_waiting(now);
    } else if (stream->state == stream_state::waiting) {
        std::erase(waiting_by_priority_[stream->priority], stream);
        --waiting_;
        stream->state = stream_state::cancelled;
        stream->ended = now;
        ended_.push_back(stream);
    }
    return true;
}

void engine_model::advance(time_point now,
                           std::function<void(engine_stream&)> const& on_token)
{
    drop_cancelled_front();
    while (!run_queue_.empty() && run_queue_.top()->due <= now) {
        auto const stream = run_queue_.top();
        run_queue_.pop();
        if (stream->made == 0) {
            note_first_token(stream->due - stream->submitted);
        }
        bool const empty = stream->plan.length == 0;
        stream->made += empty ? 0 : 1;
        if (stream->made == stream->plan.length) {
            end(*stream, stream_state::finished, now);
        } else {
            stream->due += token_interval();
            run_queue_.push(stream);
        }
        on_token(*stream);
        start_waiting(now);
        drop_cancelled_front();
    }
}

void engine_model::note_first_token(duration taken)
{
    bool const first = first_token_ == duration::zero();
    first_token_ += first ? taken : (taken - first_token_) / smoothing;
}

std::optional<time_point> engine_model::next_due() const
{
    if (run_queue_.empty()) {
        return std::nullopt;
    }
    return run_queue_.top()->due;
}

void engine_model::clear()
{
    streams_.clear();
    run_queue_ = {};
    waiting_by_priority_.clear();
    ended_.clear();
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
    auto const uncached = stream->prompt_tokens - stream->cached_tokens;
    ++running_;
    stream->state = stream_state::running;
    stream->due =
        now + token_interval() +
        scaled(speed_.prefill_per_token, slow_ * static_cast<double>(uncached));
    run_queue_.push(stream);
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

void engine_model::end(engine_stream& stream, stream_state state,
                       time_point now)
{
    --running_;
    stream.state = state;
    stream.ended = now;
    ended_.push_back(find(stream.attempt));
}

void engine_model::drop_cancelled_front()
{
    while (!run_queue_.empty() &&
           run_queue_.top()->state == stream_state::cancelled) {
        run_queue_.pop();
    }
}

void engine_model::forget_finished(time_point now)
{
    while (!ended_.empty() &&
           ended_.front()->ended + speed_.keep_finished < now) {
        streams_.erase(ended_.front()->attempt);
        ended_.pop_front();
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
