#include "fleet.hpp"

#include <algorithm>
#include <ctime>

namespace medlarstall::claim {

namespace {

constexpr std::chrono::hours wall_offset{500'000};
constexpr std::chrono::seconds patience{5};
constexpr double cap_burst = 30;

claim_settings engine_settings(fleet_settings const& from, std::size_t daemon)
{
    claim_settings settings{.writer_id = std::to_string(daemon)};
    settings.stream_count = from.streams;
    settings.seed = from.seed + daemon;
    settings.max_keys = 1'000'000;
    settings.max_outcome_bytes = std::size_t{1} << 30U;
    settings.max_pending = 1'000'000;
    auto const writers = from.forwards ? 1 : from.daemons;
    settings.group.appends_per_second =
        from.appends_per_second / double(from.streams * writers);
    return settings;
}

double processor_seconds()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return double(used.tv_sec) + double(used.tv_nsec) * 1e-9;
}

} // namespace

fleet::fleet(fleet_settings const& settings)
    : settings_{settings}, random_{settings.seed}, log_(settings.streams)
{
    end_ = now_ + settings.length;
    refilled_ = now_;
    for (std::size_t i = 0; i < settings.daemons; ++i) {
        engines_.emplace_back(engine_settings(settings, i));
        ticks_.push_back(time_point::max());
    }
    for (std::size_t i = 0; i < settings.daemons; ++i) {
        for (std::size_t s = 0; settings.forwards && s < settings.streams;
             ++s) {
            auto const writer = s % settings.daemons;
            engines_[i].set_preferred_writer(
                s, writer == i ? "" : std::to_string(writer));
        }
        feed(i, engines_[i].start(now()));
    }
}

fleet_figures fleet::run()
{
    auto const before = processor_seconds();
    after(std::chrono::seconds{1}, [this] { call_next(); });
    end_ += std::chrono::seconds{1};
    while (!tasks_.empty() && tasks_.top().time <= end_ + patience) {
        auto const next = tasks_.top();
        tasks_.pop();
        now_ = next.time;
        next.work();
    }
    figures_.processor =
        std::chrono::duration<double>{processor_seconds() - before};
    return figures_;
}

void fleet::at(time_point time, task work)
{
    tasks_.push({.time = time, .order = ++order_, .work = std::move(work)});
}

event_time fleet::now() const
{
    auto const wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        now_.time_since_epoch() + wall_offset);
    return {.steady = now_, .wall = wall_time{wall}};
}

void fleet::call_next()
{
    if (now_ >= end_) {
        return;
    }
    auto const daemon = random_() % engines_.size();
    auto const key = make_random_uuid_v7(now().wall, random_);
    started_[++last_call_] = now_;
    ++figures_.calls;
    feed(daemon, engines_[daemon].submit_call({.id = last_call_,
                                               .key = to_string(key),
                                               .digest = {},
                                               .deadline = now_ + patience},
                                              now()));
    std::exponential_distribution<double> gap{settings_.calls_per_second};
    after(std::chrono::duration_cast<duration>(
              std::chrono::duration<double>{gap(random_)}),
          [this] { call_next(); });
}

void fleet::feed(std::size_t daemon, actions const& todo)
{
    for (auto const& one : todo) {
        std::visit([&](auto const& kind) { perform(daemon, kind); }, one);
    }
    schedule_tick(daemon);
}

void fleet::perform(std::size_t daemon, append_action const& todo)
{
    after(settings_.to_log + settings_.append_time,
          [this, daemon, todo] { append(daemon, todo); });
}

void fleet::append(std::size_t daemon, append_action const& todo)
{
    auto& engine = engines_[daemon];
    if (!admit_append()) {
        ++figures_.refused;
        after(settings_.to_log, [this, daemon, todo, &engine] {
            feed(daemon,
                 engine.on_append_failed(todo.stream, todo.sequence, now()));
        });
        return;
    }
    ++figures_.appends;
    figures_.records += todo.records->size();
    auto& stream = log_[todo.stream];
    for (auto const& value : *todo.records) {
        stream.entries.push_back({.offset = stream.entries.size(),
                                  .time = now().wall,
                                  .writer = std::to_string(daemon),
                                  .sequence = todo.sequence,
                                  .value = value});
    }
    for (auto const& [reader, from] : std::exchange(stream.readers, {})) {
        serve(reader, todo.stream, from);
    }
    after(settings_.to_log, [this, daemon, todo, &engine] {
        feed(daemon,
             engine.on_append_succeeded(todo.stream, todo.sequence, now()));
    });
}

void fleet::perform(std::size_t daemon, forward_action const& todo)
{
    static_cast<void>(daemon);
    auto const to = std::stoul(todo.daemon);
    after(settings_.to_peer, [this, to, todo] {
        feed(to, engines_[to].on_records_forwarded(todo.stream, todo.records,
                                                   now()));
    });
}

void fleet::perform(std::size_t daemon, read_action const& todo)
{
    after(settings_.to_log, [this, daemon, todo] {
        serve(daemon, todo.stream, todo.from_offset);
    });
}

void fleet::serve(std::size_t daemon, std::size_t stream, std::uint64_t from)
{
    auto& log = log_[stream];
    if (from >= log.entries.size() && from > 0) {
        log.readers[daemon] = from;
        return;
    }
    read_batch batch{.stream = stream,
                     .end_offset = log.entries.size(),
                     .entries = {log.entries.begin() + std::ptrdiff_t(from),
                                 log.entries.end()}};
    bool const empty = batch.entries.empty();
    after(empty ? std::chrono::milliseconds{50} : settings_.to_log,
          [this, daemon, batch = std::move(batch)] {
              feed(daemon, engines_[daemon].on_records_read(batch, now()));
          });
}

void fleet::perform(std::size_t daemon, dispatch_action const& todo)
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    ++figures_.dispatched;
    figures_.added_ms.push_back(
        milliseconds{now_ - started_.at(todo.id)}.count());
    started_.erase(todo.id);
    if (!engines_[daemon].begin_dispatch(todo.attempt)) {
        return;
    }
    after(settings_.run_time, [this, daemon, todo] {
        feed(daemon,
             engines_[daemon].on_finished(todo.attempt,
                                          {.known = true,
                                           .status = 200,
                                           .content_type = "text/plain",
                                           .body = std::string(100, 'x')},
                                          now()));
    });
}

void fleet::perform(std::size_t, answer_action const& todo)
{
    ++(todo.kind == answer_kind::not_run ? figures_.not_run : figures_.unknown);
}

void fleet::schedule_tick(std::size_t daemon)
{
    auto const due = engines_[daemon].next_tick_time();
    if (!due.has_value() || *due >= ticks_[daemon]) {
        return;
    }
    ticks_[daemon] = std::max(*due, now_);
    at(ticks_[daemon], [this, daemon, time = ticks_[daemon]] {
        if (ticks_[daemon] != time) {
            return;
        }
        ticks_[daemon] = time_point::max();
        feed(daemon, engines_[daemon].tick(now()));
    });
}

bool fleet::admit_append()
{
    auto const span = std::chrono::duration<double>{now_ - refilled_}.count();
    refilled_ = now_;
    tokens_ =
        std::min(cap_burst, tokens_ + span * settings_.appends_per_second);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace medlarstall::claim
