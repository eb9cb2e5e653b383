#include <medlarstall/emulator/model_server.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace medlarstall::emulator {

namespace {

std::uint32_t tokens_of(std::vector<dispatch::prompt_part> const& parts)
{
    return std::accumulate(
        parts.begin(), parts.end(), 0U,
        [](std::uint32_t sum, auto const& part) { return sum + part.tokens; });
}

duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{ms});
}

} // namespace

model_server::model_server(event_queue& events, model_speed speed,
                           reading_record& readings, listener on_event)
    : events_{events}, speed_{speed}, readings_{readings},
      on_event_{std::move(on_event)}, memory_{speed.memory_tokens}
{}

bool model_server::is_before(request const& left, request const& right)
{
    return std::pair{left.work.priority, left.order} <
           std::pair{right.work.priority, right.order};
}

bool model_server::submit(model_work work)
{
    auto const too_large =
        tokens_of(work.parts) + work.output_tokens > speed_.memory_tokens;
    if (down_ || too_large || waiting_.size() >= speed_.queue) {
        return false;
    }
    request made;
    made.made = work.events_before * speed_.tokens_per_event;
    made.work = std::move(work);
    made.order = ++orders_;
    waiting_.insert(std::ranges::upper_bound(waiting_, made, is_before),
                    std::move(made));
    wake();
    return true;
}

void model_server::cancel(std::uint64_t id)
{
    std::erase_if(waiting_,
                  [id](auto const& one) { return one.work.id == id; });
    auto const found = std::ranges::find_if(
        running_, [id](auto const& one) { return one.work.id == id; });
    if (found != running_.end()) {
        memory_.release(found->work.parts);
        memory_.release_tokens(found->made);
        running_.erase(found);
    }
}

void model_server::keep_copied(std::vector<dispatch::prompt_part> const& parts)
{
    if (memory_.take(parts)) {
        memory_.note_read(parts);
        memory_.release(parts);
    }
}

std::vector<std::uint64_t> model_server::crash()
{
    std::vector<std::uint64_t> lost;
    for (auto const* group : {&running_, &waiting_}) {
        for (auto const& one : *group) {
            lost.push_back(one.work.id);
        }
    }
    running_.clear();
    waiting_.clear();
    memory_.clear();
    down_ = true;
    stepping_ = false;
    ++epoch_;
    return lost;
}

void model_server::wake()
{
    if (!std::exchange(stepping_, true)) {
        events_.after(duration{0}, [this, epoch = epoch_] {
            if (epoch == epoch_) {
                begin_step();
            }
        });
    }
}

void model_server::admit()
{
    while (!waiting_.empty()) {
        auto next = waiting_.front();
        auto const has_slot = running_.size() < speed_.slots ||
                              try_preempt_below(next.work.priority);
        if (!has_slot || !try_admit(next)) {
            return;
        }
        auto const same = [&next](auto const& one) {
            return one.work.id == next.work.id;
        };
        waiting_.erase(std::ranges::find_if(waiting_, same));
        running_.push_back(std::move(next));
    }
}

bool model_server::try_admit(request& next)
{
    auto const kept = memory_.kept_tokens(next.work.parts);
    while (!memory_.take(next.work.parts)) {
        if (!try_preempt_below(next.work.priority)) {
            return false;
        }
    }
    for (std::uint32_t token = 0; token < next.made; ++token) {
        if (!memory_.take_token()) {
            memory_.release(next.work.parts);
            memory_.release_tokens(token);
            return false;
        }
    }
    std::uint32_t before = 0;
    for (auto const& part : next.work.parts) {
        before += part.tokens;
        if (before <= kept) {
            readings_.touch(part.id, events_.now());
        } else {
            readings_.note(part.id, part.tokens, events_.now());
        }
    }
    next.unread = tokens_of(next.work.parts) - kept + next.made;
    return true;
}

/// Takes the place of the newest of the least urgent requests.
bool model_server::try_preempt_below(std::uint32_t priority)
{
    auto const last = std::ranges::max_element(running_, is_before);
    if (last == running_.end() || last->work.priority <= priority) {
        return false;
    }
    preempt(static_cast<std::size_t>(last - running_.begin()));
    return true;
}

void model_server::preempt(std::size_t position)
{
    auto const at = running_.begin() + static_cast<std::ptrdiff_t>(position);
    auto lost = std::move(*at);
    running_.erase(at);
    memory_.release(lost.work.parts);
    memory_.release_tokens(lost.made);
    lost.reading = 0;
    ++preemptions_;
    waiting_.insert(std::ranges::upper_bound(waiting_, lost, is_before),
                    std::move(lost));
}

/// \return how long the step takes, in milliseconds
double model_server::plan_step()
{
    double context = 0;
    double reading = 0;
    auto budget = speed_.chunk_tokens;
    for (auto& one : running_) {
        auto const whole = tokens_of(one.work.parts) + one.made;
        context += whole - one.unread;
        one.reading = std::min(budget, one.unread);
        budget -= one.reading;
        constexpr double million = 1e6;
        reading += one.reading / speed_.prompt_tokens_per_ms +
                   one.reading * static_cast<double>(whole - one.unread) /
                       million * speed_.attention_ms_per_million;
    }
    constexpr double thousand = 1e3;
    return speed_.step_ms +
           speed_.step_ms_per_slot * static_cast<double>(running_.size()) +
           context / thousand * speed_.step_ms_per_context_k + reading;
}

void model_server::begin_step()
{
    admit();
    if (running_.empty()) {
        stepping_ = false;
        return;
    }
    events_.after(from_ms(plan_step() * slowness_),
                  [this, epoch = epoch_] { end_step(epoch); });
}

/// \return true if the request is done
bool model_server::advance(request& one)
{
    if (one.unread > 0) {
        one.unread -= one.reading;
        one.reading = 0;
        if (one.unread > 0) {
            return false;
        }
        memory_.note_read(one.work.parts);
    }
    if (!memory_.take_token()) {
        return false; // Waits until others make room.
    }
    ++one.made;
    return one.made >= one.work.output_tokens;
}

void model_server::make_room_for_answers()
{
    while (running_.size() > 1 && !memory_.take_token()) {
        auto const last = std::ranges::max_element(running_, is_before);
        preempt(static_cast<std::size_t>(last - running_.begin()));
    }
    if (!running_.empty()) {
        memory_.release_tokens(1);
    }
}

void model_server::end_step(std::uint64_t epoch)
{
    if (epoch != epoch_) {
        return;
    }
    struct told_event
    {
        std::uint64_t id;
        std::uint32_t number;
        bool whole;
    };
    std::vector<told_event> told;
    for (std::size_t at = 0; at < running_.size();) {
        auto& one = running_[at];
        auto const before = one.made;
        auto const done = advance(one);
        auto const stride = speed_.tokens_per_event;
        if (one.made > before && (done || one.made % stride == 0)) {
            told.push_back(
                {one.work.id, (one.made + stride - 1) / stride, done});
        }
        if (!done) {
            ++at;
            continue;
        }
        memory_.release(one.work.parts);
        memory_.release_tokens(one.made);
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(at));
    }
    make_room_for_answers();
    for (auto const& event : told) {
        on_event_(event.id, event.number, event.whole);
    }
    if (epoch == epoch_) {
        begin_step();
    }
}

} // namespace medlarstall::emulator
