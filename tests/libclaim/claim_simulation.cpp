#include "claim_simulation.hpp"

#include <algorithm>

namespace medlarstall::claim {

namespace {

using std::chrono::milliseconds;

claim_settings settings_of(std::string writer, std::uint64_t seed)
{
    claim_settings settings{.writer_id = std::move(writer)};
    settings.stream_count = claim_simulation::streams;
    settings.accept_window = milliseconds{60'000};
    settings.answer_window = milliseconds{90'000};
    settings.mark_interval = milliseconds{30'000};
    settings.seed = seed;
    return settings;
}

call_digest body_of(bool other)
{
    return compute_call_digest("shop-desk", "POST /orders",
                               other ? "two" : "one");
}

template<class T>
T take_chosen(std::vector<T>& from, std::size_t choice)
{
    auto const at = from.begin() + std::ptrdiff_t(choice % from.size());
    T value = std::move(*at);
    from.erase(at);
    return value;
}

} // namespace

claim_simulation::claim_simulation(std::uint64_t seed, injected_fault fault)
    : fault_{fault}, random_{seed}, steady_{std::chrono::hours{1}},
      wall_{std::chrono::hours{500'000}}
{
    for (auto& key : keys_) {
        key = new_key();
    }
    for (std::size_t i = 0; i < daemons; ++i) {
        start_daemon(i);
    }
}

void claim_simulation::submit_call(std::size_t daemon, std::size_t key,
                                   bool other_body, milliseconds time_limit)
{
    auto const id = ++last_call_;
    auto const deadline = steady_ + time_limit;
    if (random_() % 6 == 0) {
        keys_.at(key) = new_key();
    }
    auto const text = to_string(keys_.at(key));
    history_.start(id, {.key = text,
                        .expected = {},
                        .started = steady_,
                        .deadline = deadline});
    if (!is_running(daemon)) {
        history_.finish(id, history::verdict::lost, {}, steady_);
        return;
    }
    daemons_[daemon].calls.insert(id);
    deadlines_[id] = deadline;
    keys_by_call_[id] = keys_.at(key);
    perform(daemon,
            daemons_[daemon].engine->submit_call({.id = id,
                                                  .key = text,
                                                  .digest = body_of(other_body),
                                                  .deadline = deadline},
                                                 now()));
}

void claim_simulation::complete_append(std::size_t daemon, std::size_t choice,
                                       append_result result)
{
    auto& model = daemons_[daemon];
    if (!is_running(daemon) || model.appends.empty()) {
        return;
    }
    auto const sent = take_chosen(model.appends, choice);
    if (result == append_result::succeeded ||
        result == append_result::reply_lost) {
        logs_[sent.stream].append(sent.writer, sent.sequence, *sent.records,
                                  wall_);
    }
    if (result == append_result::late_effect) {
        late_appends_.push_back(sent);
    }
    auto& engine = *model.engine;
    if (result == append_result::succeeded) {
        perform(daemon,
                engine.on_append_succeeded(sent.stream, sent.sequence, now()));
    } else if (result == append_result::failed) {
        perform(daemon,
                engine.on_append_failed(sent.stream, sent.sequence, now()));
    } else {
        perform(daemon,
                engine.on_append_unknown(sent.stream, sent.sequence, now()));
    }
}

void claim_simulation::apply_late_append(std::size_t choice)
{
    if (late_appends_.empty()) {
        return;
    }
    auto const sent = take_chosen(late_appends_, choice);
    logs_[sent.stream].append(sent.writer, sent.sequence, *sent.records, wall_);
}

void claim_simulation::read(std::size_t daemon, std::size_t stream,
                            std::size_t limit)
{
    auto& model = daemons_[daemon];
    auto const pending = model.reads.find(stream);
    if (!is_running(daemon) || pending == model.reads.end()) {
        return;
    }
    auto const batch = logs_[stream].read(stream, pending->second, limit);
    model.reads.erase(pending);
    for (auto const& entry : batch.entries) {
        track_holder(daemon, entry.value);
    }
    perform(daemon, model.engine->on_records_read(batch, now()));
}

void claim_simulation::fail_read(std::size_t daemon, std::size_t stream)
{
    auto& model = daemons_[daemon];
    if (is_running(daemon) && model.reads.erase(stream) > 0) {
        perform(daemon, model.engine->on_read_failed(stream, now()));
    }
}

void claim_simulation::deliver_forward(std::size_t choice, bool is_lost)
{
    if (forwards_.empty()) {
        return;
    }
    auto const sent = take_chosen(forwards_, choice);
    if (!is_lost && is_running(sent.to)) {
        perform(sent.to, daemons_[sent.to].engine->on_records_forwarded(
                             sent.stream, sent.records, now()));
    }
}

void claim_simulation::dispatch_attempt(std::size_t daemon, std::size_t choice,
                                        unsigned variant)
{
    auto& model = daemons_[daemon];
    if (!is_running(daemon) || model.granted.empty()) {
        return;
    }
    auto const run = take_chosen(model.granted, choice);
    bool const in_time = deadlines_.at(run.id) > steady_;
    if (variant % 4 == 0 || !in_time) {
        record_answer(daemon, run.id, history::verdict::not_run);
        perform(daemon, model.engine->on_not_dispatched(run.attempt, now()));
        if (fault_ == injected_fault::runs_after_release) {
            execute(run);
        }
        return;
    }
    if (!model.engine->begin_dispatch(run.attempt)) {
        return;
    }
    if (variant % 8 == 1) { // The owner of the backend server refused it.
        record_answer(daemon, run.id, history::verdict::not_run);
        perform(daemon, model.engine->on_not_executed(run.attempt, now()));
        return;
    }
    execute(run);
    model.dispatched.push_back(run);
}

void claim_simulation::finish_attempt(std::size_t daemon, std::size_t choice,
                                      bool known)
{
    auto& model = daemons_[daemon];
    if (!is_running(daemon) || model.dispatched.empty()) {
        return;
    }
    auto const run = take_chosen(model.dispatched, choice);
    outcome result{.known = known};
    if (known) {
        result.status = 200;
        result.body = "run of " + to_string(run.attempt);
        record_answer(daemon, run.id, history::verdict::run, result.body);
    } else if (fault_ == injected_fault::denies_unknown_runs) {
        record_answer(daemon, run.id, history::verdict::not_run);
    } else {
        record_answer(daemon, run.id, history::verdict::unknown);
    }
    if (!known && fault_ == injected_fault::runs_twice) {
        execute(run);
    }
    perform(daemon, model.engine->on_finished(run.attempt, result, now()));
}

void claim_simulation::cancel_call(std::size_t daemon, std::size_t choice)
{
    auto& model = daemons_[daemon];
    if (!is_running(daemon) || model.calls.empty()) {
        return;
    }
    auto const id = *std::next(model.calls.begin(),
                               std::ptrdiff_t(choice % model.calls.size()));
    record_answer(daemon, id, history::verdict::lost);
    perform(daemon, model.engine->cancel_call(id, now()));
}

void claim_simulation::pause(std::size_t daemon, bool paused)
{
    daemons_[daemon].paused = paused;
    if (!paused) {
        perform(daemon, daemons_[daemon].engine->tick(now()));
    }
}

void claim_simulation::restart(std::size_t daemon)
{
    auto& model = daemons_[daemon];
    for (auto const id : model.calls) {
        history_.finish(id, history::verdict::lost, {}, steady_);
    }
    std::ranges::move(model.appends, std::back_inserter(late_appends_));
    start_daemon(daemon);
}

void claim_simulation::expire(std::size_t stream, milliseconds age)
{
    logs_[stream].expire(wall_ - age);
}

void claim_simulation::set_preferred_writer(std::size_t stream,
                                            std::size_t daemon)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        daemons_[i].engine->set_preferred_writer(
            stream, i == daemon ? std::string{} : std::to_string(daemon));
    }
}

void claim_simulation::advance(milliseconds step)
{
    auto const end = steady_ + step;
    while (steady_ < end) {
        auto next = end;
        for (auto const& model : daemons_) {
            for (auto const id : model.calls) {
                next = std::min(next, std::max(deadlines_.at(id), steady_));
            }
        }
        wall_ += std::chrono::duration_cast<milliseconds>(next - steady_);
        steady_ = next;
        for (std::size_t i = 0; i < daemons; ++i) {
            process_deadlines(i);
        }
    }
}

void claim_simulation::process_deadlines(std::size_t daemon)
{
    if (is_running(daemon)) {
        perform(daemon, daemons_[daemon].engine->tick(now()));
        expire_attempts(daemon);
        forge_releases(daemon);
        return;
    }
    auto const calls = daemons_[daemon].calls;
    for (auto const id : calls) {
        if (deadlines_.at(id) <= steady_) {
            record_answer(daemon, id, history::verdict::lost);
        }
    }
}

void claim_simulation::run_to_completion()
{
    for (std::size_t i = 0; i < daemons; ++i) {
        pause(i, false);
    }
    for (int round = 0; round < 60; ++round) {
        while (!late_appends_.empty()) {
            apply_late_append(0);
        }
        while (!forwards_.empty()) {
            deliver_forward(0, false);
        }
        for (std::size_t i = 0; i < daemons; ++i) {
            while (!daemons_[i].appends.empty()) {
                complete_append(i, 0, append_result::succeeded);
            }
            for (std::size_t stream = 0; stream < streams; ++stream) {
                read(i, stream, 1'000);
            }
            while (!daemons_[i].granted.empty()) {
                dispatch_attempt(i, 0, 2);
            }
            while (!daemons_[i].dispatched.empty()) {
                finish_attempt(i, 0, true);
            }
        }
        advance(milliseconds{100});
    }
}

std::vector<history::violation> claim_simulation::check() const
{
    auto found = history_.check(steady_, duration::zero());
    found.insert(found.end(), false_denials_.begin(), false_denials_.end());
    return found;
}

uuid claim_simulation::new_key()
{
    return make_random_uuid_v7(wall_, random_);
}

event_time claim_simulation::now() const
{
    return {.steady = steady_, .wall = wall_};
}

void claim_simulation::start_daemon(std::size_t daemon)
{
    auto& model = daemons_[daemon];
    auto const incarnation = model.incarnation + 1;
    model = simulated_daemon{};
    model.incarnation = incarnation;
    model.writer = std::to_string(daemon) + "/" + std::to_string(incarnation);
    model.engine =
        std::make_unique<claim_engine>(settings_of(model.writer, random_()));
    perform(daemon, model.engine->start(now()));
}

void claim_simulation::perform(std::size_t daemon, actions const& requested)
{
    for (auto const& next : requested) {
        std::visit([&](auto const& kind) { perform(daemon, kind); }, next);
    }
}

void claim_simulation::perform(std::size_t daemon,
                               append_action const& requested)
{
    daemons_[daemon].appends.push_back({.stream = requested.stream,
                                        .sequence = requested.sequence,
                                        .records = requested.records,
                                        .writer = daemons_[daemon].writer});
}

void claim_simulation::perform(std::size_t, forward_action const& requested)
{
    forwards_.push_back({.stream = requested.stream,
                         .to = std::stoul(requested.daemon),
                         .records = requested.records});
}

void claim_simulation::perform(std::size_t daemon, read_action const& requested)
{
    daemons_[daemon].reads[requested.stream] = requested.from_offset;
}

void claim_simulation::perform(std::size_t daemon,
                               dispatch_action const& requested)
{
    daemons_[daemon].granted.push_back({.id = requested.id,
                                        .key = requested.key,
                                        .attempt = requested.attempt});
}

void claim_simulation::perform(std::size_t daemon,
                               answer_action const& requested)
{
    using history::verdict;
    switch (requested.kind) {
    case answer_kind::stored_outcome:
        record_answer(daemon, requested.id, verdict::run,
                      requested.result->body);
        break;
    case answer_kind::outcome_unknown:
        record_answer(daemon, requested.id, verdict::unknown);
        break;
    case answer_kind::key_mismatch:
        record_answer(daemon, requested.id, verdict::mismatch);
        break;
    case answer_kind::not_run:
        if (may_have_been_run(daemon, keys_by_call_.at(requested.id))) {
            false_denials_.push_back(
                {"denied_claimed", std::string{code_of(requested.reason)}});
        }
        record_answer(daemon, requested.id, verdict::not_run);
        break;
    }
}

void claim_simulation::execute(granted_attempt const& run)
{
    history_.execute(to_string(run.key), "run of " + to_string(run.attempt),
                     steady_, run.id);
    executed_attempts_.insert(run.attempt);
}

void claim_simulation::record_answer(std::size_t daemon, call_id id,
                                     history::verdict told, std::string answer)
{
    if (daemons_[daemon].calls.erase(id) > 0) {
        history_.finish(id, told, std::move(answer), steady_);
    }
}

void claim_simulation::forge_releases(std::size_t daemon)
{
    if (fault_ != injected_fault::takes_over_claims || random_() % 4 != 0) {
        return;
    }
    auto& model = daemons_[daemon];
    for (auto const& [key, claim] : model.holders) {
        std::vector<record> const forged{
            release_record{.key = key, .attempt = claim.attempt}};
        perform(daemon, model.engine->on_records_forwarded(
                            model.engine->stream_index_of(key), forged, now()));
    }
}

void claim_simulation::track_holder(std::size_t daemon, record const& value)
{
    auto& holders = daemons_[daemon].holders;
    if (auto const* claim = std::get_if<claim_record>(&value)) {
        if (!daemons_[daemon].released.contains(claim->attempt)) {
            holders.try_emplace(claim->key, *claim);
        }
    } else if (auto const* released = std::get_if<release_record>(&value)) {
        auto const held = holders.find(released->key);
        if (held != holders.end() &&
            held->second.attempt == released->attempt) {
            holders.erase(held);
            daemons_[daemon].released.insert(released->attempt);
        }
    }
}

bool claim_simulation::may_have_been_run(std::size_t daemon,
                                         uuid const& key) const
{
    auto const& model = daemons_[daemon];
    auto const held = model.holders.find(key);
    return held != model.holders.end() &&
           (held->second.writer != model.writer ||
            executed_attempts_.contains(held->second.attempt));
}

void claim_simulation::expire_attempts(std::size_t daemon)
{
    auto& model = daemons_[daemon];
    for (std::size_t i = 0; i < model.granted.size();) {
        if (deadlines_.at(model.granted[i].id) <= steady_) {
            dispatch_attempt(daemon, i, 0);
        } else {
            ++i;
        }
    }
    for (std::size_t i = 0; i < model.dispatched.size();) {
        if (deadlines_.at(model.dispatched[i].id) <= steady_) {
            finish_attempt(daemon, i, false);
        } else {
            ++i;
        }
    }
}

bool claim_simulation::is_running(std::size_t daemon) const
{
    return !daemons_[daemon].paused;
}

} // namespace medlarstall::claim
