#include "claim_world.hpp"

#include <algorithm>

namespace medlarstall::claim {

namespace {

using std::chrono::milliseconds;

claim_settings settings_of(std::string writer, std::uint64_t seed)
{
    claim_settings settings{.writer = std::move(writer)};
    settings.streams = claim_world::streams;
    settings.accept_window = milliseconds{60'000};
    settings.answer_window = milliseconds{90'000};
    settings.mark_interval = milliseconds{30'000};
    settings.seed = seed;
    return settings;
}

body_digest body(bool other)
{
    return digest_of("shop-desk", "POST /orders", other ? "two" : "one");
}

template<class T>
T take(std::vector<T>& from, std::size_t choice)
{
    auto const at = from.begin() + std::ptrdiff_t(choice % from.size());
    T value = std::move(*at);
    from.erase(at);
    return value;
}

} // namespace

claim_world::claim_world(std::uint64_t seed, planted_fault fault)
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

void claim_world::call_key(std::size_t daemon, std::size_t key, bool other_body,
                           milliseconds patience)
{
    auto const id = ++last_call_;
    auto const deadline = steady_ + patience;
    if (random_() % 6 == 0) {
        keys_.at(key) = new_key();
    }
    auto const text = to_string(keys_.at(key));
    history_.start(id, {.key = text,
                        .expected = {},
                        .started = steady_,
                        .deadline = deadline});
    if (!awake(daemon)) {
        history_.finish(id, history::verdict::lost, {}, steady_);
        return;
    }
    daemons_[daemon].calls.insert(id);
    deadlines_[id] = deadline;
    key_of_call_[id] = keys_.at(key);
    perform(daemon,
            daemons_[daemon].engine->request({.id = id,
                                              .key = text,
                                              .digest = body(other_body),
                                              .deadline = deadline},
                                             now()));
}

void claim_world::settle_append(std::size_t daemon, std::size_t choice,
                                append_fate fate)
{
    auto& model = daemons_[daemon];
    if (!awake(daemon) || model.appends.empty()) {
        return;
    }
    auto const sent = take(model.appends, choice);
    if (fate == append_fate::done || fate == append_fate::reply_lost) {
        logs_[sent.stream].append(sent.writer, sent.sequence, *sent.records,
                                  wall_);
    }
    if (fate == append_fate::effect_late) {
        late_.push_back(sent);
    }
    auto& engine = *model.engine;
    if (fate == append_fate::done) {
        perform(daemon, engine.append_done(sent.stream, sent.sequence, now()));
    } else if (fate == append_fate::failed) {
        perform(daemon,
                engine.append_failed(sent.stream, sent.sequence, now()));
    } else {
        perform(daemon,
                engine.append_unknown(sent.stream, sent.sequence, now()));
    }
}

void claim_world::take_late_effect(std::size_t choice)
{
    if (late_.empty()) {
        return;
    }
    auto const sent = take(late_, choice);
    logs_[sent.stream].append(sent.writer, sent.sequence, *sent.records, wall_);
}

void claim_world::read(std::size_t daemon, std::size_t stream,
                       std::size_t limit)
{
    auto& model = daemons_[daemon];
    auto const pending = model.reads.find(stream);
    if (!awake(daemon) || pending == model.reads.end()) {
        return;
    }
    auto const batch = logs_[stream].read(stream, pending->second, limit);
    model.reads.erase(pending);
    for (auto const& entry : batch.entries) {
        follow(daemon, entry.value);
    }
    perform(daemon, model.engine->records(batch, now()));
}

void claim_world::fail_read(std::size_t daemon, std::size_t stream)
{
    auto& model = daemons_[daemon];
    if (awake(daemon) && model.reads.erase(stream) > 0) {
        perform(daemon, model.engine->read_failed(stream, now()));
    }
}

void claim_world::deliver_forward(std::size_t choice, bool lost)
{
    if (forwards_.empty()) {
        return;
    }
    auto const sent = take(forwards_, choice);
    if (!lost && awake(sent.to)) {
        perform(sent.to, daemons_[sent.to].engine->forwarded(
                             sent.stream, sent.records, now()));
    }
}

void claim_world::run_attempt(std::size_t daemon, std::size_t choice,
                              unsigned how)
{
    auto& model = daemons_[daemon];
    if (!awake(daemon) || model.offered.empty()) {
        return;
    }
    auto const run = take(model.offered, choice);
    bool const in_time = deadlines_.at(run.id) > steady_;
    if (how % 4 == 0 || !in_time) {
        tell(daemon, run.id, history::verdict::not_run);
        perform(daemon, model.engine->not_dispatched(run.attempt, now()));
        if (fault_ == planted_fault::late_dispatch) {
            execute(run);
        }
        return;
    }
    if (!model.engine->dispatched(run.attempt)) {
        return;
    }
    if (how % 8 == 1) { // Its owner refused it.
        tell(daemon, run.id, history::verdict::not_run);
        perform(daemon, model.engine->withdrawn(run.attempt, now()));
        return;
    }
    execute(run);
    model.running.push_back(run);
}

void claim_world::finish_run(std::size_t daemon, std::size_t choice, bool known)
{
    auto& model = daemons_[daemon];
    if (!awake(daemon) || model.running.empty()) {
        return;
    }
    auto const run = take(model.running, choice);
    outcome result{.known = known};
    if (known) {
        result.status = 200;
        result.body = "run of " + to_string(run.attempt);
        tell(daemon, run.id, history::verdict::run, result.body);
    } else if (fault_ == planted_fault::denies_unsettled) {
        tell(daemon, run.id, history::verdict::not_run);
    } else {
        tell(daemon, run.id, history::verdict::unknown);
    }
    if (!known && fault_ == planted_fault::runs_twice) {
        execute(run);
    }
    perform(daemon, model.engine->finished(run.attempt, result, now()));
}

void claim_world::cancel_call(std::size_t daemon, std::size_t choice)
{
    auto& model = daemons_[daemon];
    if (!awake(daemon) || model.calls.empty()) {
        return;
    }
    auto const id = *std::next(model.calls.begin(),
                               std::ptrdiff_t(choice % model.calls.size()));
    tell(daemon, id, history::verdict::lost);
    perform(daemon, model.engine->cancel(id, now()));
}

void claim_world::pause(std::size_t daemon, bool paused)
{
    daemons_[daemon].paused = paused;
    if (!paused) {
        perform(daemon, daemons_[daemon].engine->tick(now()));
    }
}

void claim_world::restart(std::size_t daemon)
{
    auto& model = daemons_[daemon];
    for (auto const id : model.calls) {
        history_.finish(id, history::verdict::lost, {}, steady_);
    }
    std::ranges::move(model.appends, std::back_inserter(late_));
    start_daemon(daemon);
}

void claim_world::expire(std::size_t stream, milliseconds age)
{
    logs_[stream].expire(wall_ - age);
}

void claim_world::prefer(std::size_t stream, std::size_t daemon)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        daemons_[i].engine->prefer(
            stream, i == daemon ? std::string{} : std::to_string(daemon));
    }
}

void claim_world::advance(milliseconds step)
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
            pass_deadlines(i);
        }
    }
}

void claim_world::pass_deadlines(std::size_t daemon)
{
    if (awake(daemon)) {
        perform(daemon, daemons_[daemon].engine->tick(now()));
        expire_offered(daemon);
        take_over(daemon);
        return;
    }
    auto const calls = daemons_[daemon].calls;
    for (auto const id : calls) {
        if (deadlines_.at(id) <= steady_) {
            tell(daemon, id, history::verdict::lost);
        }
    }
}

void claim_world::drain()
{
    for (std::size_t i = 0; i < daemons; ++i) {
        pause(i, false);
    }
    for (int round = 0; round < 60; ++round) {
        while (!late_.empty()) {
            take_late_effect(0);
        }
        while (!forwards_.empty()) {
            deliver_forward(0, false);
        }
        for (std::size_t i = 0; i < daemons; ++i) {
            while (!daemons_[i].appends.empty()) {
                settle_append(i, 0, append_fate::done);
            }
            for (std::size_t stream = 0; stream < streams; ++stream) {
                read(i, stream, 1'000);
            }
            while (!daemons_[i].offered.empty()) {
                run_attempt(i, 0, 2);
            }
            while (!daemons_[i].running.empty()) {
                finish_run(i, 0, true);
            }
        }
        advance(milliseconds{100});
    }
}

std::vector<history::violation> claim_world::check() const
{
    auto found = history_.check(steady_, duration::zero());
    found.insert(found.end(), denials_.begin(), denials_.end());
    return found;
}

uuid claim_world::new_key()
{
    return make_uuid_v7(wall_, random_(), random_());
}

moment claim_world::now() const
{
    return {.steady = steady_, .wall = wall_};
}

void claim_world::start_daemon(std::size_t daemon)
{
    auto& model = daemons_[daemon];
    auto const incarnation = model.incarnation + 1;
    model = daemon_model{};
    model.incarnation = incarnation;
    model.writer = std::to_string(daemon) + "/" + std::to_string(incarnation);
    model.engine =
        std::make_unique<claim_engine>(settings_of(model.writer, random_()));
    perform(daemon, model.engine->start(now()));
}

void claim_world::perform(std::size_t daemon, actions const& todo)
{
    for (auto const& one : todo) {
        std::visit([&](auto const& kind) { perform(daemon, kind); }, one);
    }
}

void claim_world::perform(std::size_t daemon, append_action const& todo)
{
    daemons_[daemon].appends.push_back({.stream = todo.stream,
                                        .sequence = todo.sequence,
                                        .records = todo.records,
                                        .writer = daemons_[daemon].writer});
}

void claim_world::perform(std::size_t, forward_action const& todo)
{
    forwards_.push_back({.stream = todo.stream,
                         .to = std::stoul(todo.daemon),
                         .records = todo.records});
}

void claim_world::perform(std::size_t daemon, read_action const& todo)
{
    daemons_[daemon].reads[todo.stream] = todo.from;
}

void claim_world::perform(std::size_t daemon, dispatch_action const& todo)
{
    daemons_[daemon].offered.push_back(
        {.id = todo.id, .key = todo.key, .attempt = todo.attempt});
}

void claim_world::perform(std::size_t daemon, answer_action const& todo)
{
    using history::verdict;
    switch (todo.kind) {
    case answer_kind::stored:
        tell(daemon, todo.id, verdict::run, todo.result->body);
        break;
    case answer_kind::unknown:
        tell(daemon, todo.id, verdict::unknown);
        break;
    case answer_kind::mismatch:
        tell(daemon, todo.id, verdict::mismatch);
        break;
    case answer_kind::not_run:
        if (may_have_run(daemon, key_of_call_.at(todo.id))) {
            denials_.push_back(
                {"denied_claimed", std::string{code_of(todo.reason)}});
        }
        tell(daemon, todo.id, verdict::not_run);
        break;
    }
}

void claim_world::execute(offered_run const& run)
{
    history_.execute(to_string(run.key), "run of " + to_string(run.attempt),
                     steady_, run.id);
    executed_.insert(run.attempt);
}

void claim_world::tell(std::size_t daemon, call_id id, history::verdict told,
                       std::string answer)
{
    if (daemons_[daemon].calls.erase(id) > 0) {
        history_.finish(id, told, std::move(answer), steady_);
    }
}

void claim_world::take_over(std::size_t daemon)
{
    if (fault_ != planted_fault::takeover || random_() % 4 != 0) {
        return;
    }
    auto& model = daemons_[daemon];
    for (auto const& [key, claim] : model.holders) {
        std::vector<record> const forged{
            release_record{.key = key, .attempt = claim.attempt}};
        perform(daemon, model.engine->forwarded(model.engine->stream_of(key),
                                                forged, now()));
    }
}

void claim_world::follow(std::size_t daemon, record const& value)
{
    auto& holders = daemons_[daemon].holders;
    if (auto const* claim = std::get_if<claim_record>(&value)) {
        if (!daemons_[daemon].released.contains(claim->attempt)) {
            holders.try_emplace(claim->key, *claim);
        }
    } else if (auto const* gone = std::get_if<release_record>(&value)) {
        auto const held = holders.find(gone->key);
        if (held != holders.end() && held->second.attempt == gone->attempt) {
            holders.erase(held);
            daemons_[daemon].released.insert(gone->attempt);
        }
    }
}

bool claim_world::may_have_run(std::size_t daemon, uuid const& key) const
{
    auto const& model = daemons_[daemon];
    auto const held = model.holders.find(key);
    return held != model.holders.end() &&
           (held->second.writer != model.writer ||
            executed_.contains(held->second.attempt));
}

void claim_world::expire_offered(std::size_t daemon)
{
    auto& model = daemons_[daemon];
    for (std::size_t i = 0; i < model.offered.size();) {
        if (deadlines_.at(model.offered[i].id) <= steady_) {
            run_attempt(daemon, i, 0);
        } else {
            ++i;
        }
    }
    for (std::size_t i = 0; i < model.running.size();) {
        if (deadlines_.at(model.running[i].id) <= steady_) {
            finish_run(daemon, i, false);
        } else {
            ++i;
        }
    }
}

bool claim_world::awake(std::size_t daemon) const
{
    return !daemons_[daemon].paused;
}

} // namespace medlarstall::claim
