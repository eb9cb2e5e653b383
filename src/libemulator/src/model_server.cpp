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

model_server::model_server(event_queue& events, model_server_settings settings,
                           prefill_counter& prefills, listener on_event)
    : events_{events}, settings_{settings}, prefills_{prefills},
      on_event_{std::move(on_event)}, cache_{settings.memory_tokens}
{}

bool model_server::has_precedence(scheduled_request const& left,
                                  scheduled_request const& right)
{
    return std::pair{left.request.priority, left.arrival_order} <
           std::pair{right.request.priority, right.arrival_order};
}

bool model_server::submit(model_request request)
{
    auto const too_large = tokens_of(request.parts) + request.output_tokens >
                           settings_.memory_tokens;
    if (down_ || too_large || waiting_.size() >= settings_.queue_capacity) {
        return false;
    }
    scheduled_request entry;
    entry.generated_tokens =
        request.delivered_events * settings_.tokens_per_event;
    entry.request = std::move(request);
    entry.arrival_order = ++last_order_;
    waiting_.insert(std::ranges::upper_bound(waiting_, entry, has_precedence),
                    std::move(entry));
    ensure_stepping();
    return true;
}

void model_server::cancel(std::uint64_t id)
{
    std::erase_if(waiting_,
                  [id](auto const& entry) { return entry.request.id == id; });
    auto const found = std::ranges::find_if(
        running_, [id](auto const& entry) { return entry.request.id == id; });
    if (found != running_.end()) {
        cache_.release(found->request.parts);
        cache_.release_answer_tokens(found->generated_tokens);
        running_.erase(found);
    }
}

void model_server::insert_copied_parts(
    std::vector<dispatch::prompt_part> const& parts)
{
    if (cache_.try_acquire(parts)) {
        cache_.mark_computed(parts);
        cache_.release(parts);
    }
}

std::vector<std::uint64_t> model_server::crash()
{
    std::vector<std::uint64_t> dropped;
    for (auto const* group : {&running_, &waiting_}) {
        for (auto const& entry : *group) {
            dropped.push_back(entry.request.id);
        }
    }
    running_.clear();
    waiting_.clear();
    cache_.clear();
    down_ = true;
    stepping_ = false;
    ++epoch_;
    return dropped;
}

void model_server::ensure_stepping()
{
    if (!std::exchange(stepping_, true)) {
        events_.schedule_after(duration{0}, [this, epoch = epoch_] {
            if (epoch == epoch_) {
                begin_step();
            }
        });
    }
}

void model_server::admit_waiting()
{
    while (!waiting_.empty()) {
        auto next = waiting_.front();
        auto const has_slot = running_.size() < settings_.slots ||
                              try_preempt_below(next.request.priority);
        if (!has_slot || !try_admit(next)) {
            return;
        }
        auto const is_next = [&next](auto const& entry) {
            return entry.request.id == next.request.id;
        };
        waiting_.erase(std::ranges::find_if(waiting_, is_next));
        running_.push_back(std::move(next));
    }
}

bool model_server::try_admit(scheduled_request& next)
{
    auto const cached = cache_.cached_prefix_tokens(next.request.parts);
    while (!cache_.try_acquire(next.request.parts)) {
        if (!try_preempt_below(next.request.priority)) {
            return false;
        }
    }
    for (std::uint32_t token = 0; token < next.generated_tokens; ++token) {
        if (!cache_.try_reserve_token()) {
            cache_.release(next.request.parts);
            cache_.release_answer_tokens(token);
            return false;
        }
    }
    std::uint32_t before = 0;
    for (auto const& part : next.request.parts) {
        before += part.tokens;
        if (before <= cached) {
            prefills_.record_cache_hit(part.id, events_.now());
        } else {
            prefills_.record_prefill(part.id, part.tokens, events_.now());
        }
    }
    next.remaining_prefill =
        tokens_of(next.request.parts) - cached + next.generated_tokens;
    return true;
}

/// Preempts the newest of the least urgent running requests, provided that it
/// is less urgent than \p priority.
/// \return false if no running request is less urgent
bool model_server::try_preempt_below(std::uint32_t priority)
{
    auto const least_urgent =
        std::ranges::max_element(running_, has_precedence);
    if (least_urgent == running_.end() ||
        least_urgent->request.priority <= priority) {
        return false;
    }
    preempt(static_cast<std::size_t>(least_urgent - running_.begin()));
    return true;
}

void model_server::preempt(std::size_t position)
{
    auto const at = running_.begin() + static_cast<std::ptrdiff_t>(position);
    auto preempted = std::move(*at);
    running_.erase(at);
    cache_.release(preempted.request.parts);
    cache_.release_answer_tokens(preempted.generated_tokens);
    preempted.step_prefill = 0;
    ++preemptions_;
    waiting_.insert(
        std::ranges::upper_bound(waiting_, preempted, has_precedence),
        std::move(preempted));
}

/// Assigns the prompt tokens to compute in the next step, up to the chunk
/// size, in order of admission.
/// \return duration of the step at normal speed, in milliseconds
double model_server::plan_step()
{
    double context_tokens = 0;
    double prefill_ms = 0;
    auto budget = settings_.chunk_tokens;
    for (auto& entry : running_) {
        auto const total =
            tokens_of(entry.request.parts) + entry.generated_tokens;
        context_tokens += total - entry.remaining_prefill;
        entry.step_prefill = std::min(budget, entry.remaining_prefill);
        budget -= entry.step_prefill;
        constexpr double million = 1e6;
        prefill_ms += entry.step_prefill / settings_.prompt_tokens_per_ms +
                      entry.step_prefill *
                          static_cast<double>(total - entry.remaining_prefill) /
                          million * settings_.attention_ms_per_million;
    }
    constexpr double thousand = 1e3;
    return settings_.step_ms +
           settings_.step_ms_per_slot * static_cast<double>(running_.size()) +
           context_tokens / thousand * settings_.step_ms_per_context_k +
           prefill_ms;
}

void model_server::begin_step()
{
    admit_waiting();
    if (running_.empty()) {
        stepping_ = false;
        return;
    }
    events_.schedule_after(from_ms(plan_step() * slowdown_),
                           [this, epoch = epoch_] { end_step(epoch); });
}

/// Applies a finished step to one request of the batch.
/// \return true if the request is complete
bool model_server::advance(scheduled_request& entry)
{
    if (entry.remaining_prefill > 0) {
        entry.remaining_prefill -= entry.step_prefill;
        entry.step_prefill = 0;
        if (entry.remaining_prefill > 0) {
            return false;
        }
        cache_.mark_computed(entry.request.parts);
    }
    if (!cache_.try_reserve_token()) {
        return false; // Retried in the next step; others may free memory.
    }
    ++entry.generated_tokens;
    return entry.generated_tokens >= entry.request.output_tokens;
}

void model_server::make_room_for_answers()
{
    while (running_.size() > 1 && !cache_.try_reserve_token()) {
        auto const least_urgent =
            std::ranges::max_element(running_, has_precedence);
        preempt(static_cast<std::size_t>(least_urgent - running_.begin()));
    }
    if (!running_.empty()) {
        cache_.release_answer_tokens(1);
    }
}

void model_server::end_step(std::uint64_t epoch)
{
    if (epoch != epoch_) {
        return;
    }
    struct server_event
    {
        std::uint64_t id;
        std::uint32_t sequence;
        bool is_last;
    };
    std::vector<server_event> emitted;
    for (std::size_t at = 0; at < running_.size();) {
        auto& entry = running_[at];
        auto const before = entry.generated_tokens;
        auto const done = advance(entry);
        auto const tokens_per_event = settings_.tokens_per_event;
        if (entry.generated_tokens > before &&
            (done || entry.generated_tokens % tokens_per_event == 0)) {
            emitted.push_back({entry.request.id,
                               (entry.generated_tokens + tokens_per_event - 1) /
                                   tokens_per_event,
                               done});
        }
        if (!done) {
            ++at;
            continue;
        }
        cache_.release(entry.request.parts);
        cache_.release_answer_tokens(entry.generated_tokens);
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(at));
    }
    make_room_for_answers();
    for (auto const& event : emitted) {
        on_event_(event.id, event.sequence, event.is_last);
    }
    if (epoch == epoch_) {
        begin_step();
    }
}

} // namespace medlarstall::emulator
