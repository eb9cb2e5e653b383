#include "fault_run.hpp"

#include "fault_injector.hpp"

#include <medlarstall/standins/text_model.hpp>
#include <medlarstall/support/log.hpp>

#include <algorithm>

namespace medlarstall::faults {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// From the catalogue of the cluster, plus the longest pause of a daemon and
/// time to notice a lost one.
constexpr seconds service_deadline{4 + 4 + 5};
constexpr seconds chat_deadline{20 + 4 + 5};
constexpr milliseconds grace{1'000};
constexpr milliseconds call_interval{15};
constexpr unsigned most_tries = 4;
constexpr char const* path = "/book";

std::string chat_key(std::uint64_t prompt_hash)
{
    return "chat " + std::to_string(prompt_hash);
}

} // namespace

fault_run::fault_run(run_settings settings)
    : settings_{std::move(settings)}, cluster_{{.daemons = settings_.daemons}},
      random_{settings_.seed}
{}

run_report fault_run::run()
{
    report_.started = cluster_.start();
    if (!report_.started) {
        return report_;
    }
    fault_injector faults{cluster_, settings_.seed, settings_.kinds};
    auto const end = monotonic_clock::now() + settings_.length;
    static_cast<void>(cluster_.run_until(
        [&] {
            auto const now = monotonic_clock::now();
            faults.step(now);
            collect(faults, now);
            start_call(faults, now);
            return now >= end;
        },
        settings_.length + seconds{60}));
    faults.stop();
    draining_ = true;
    static_cast<void>(cluster_.run_until(
        [&] {
            collect(faults, monotonic_clock::now());
            return open_.empty();
        },
        chat_deadline + grace));
    take_executions();
    report_.faults = faults.counts();
    report_.together = faults.together();
    report_.verdicts = history_.count();
    report_.violations = history_.check(monotonic_clock::now(), grace);
    return report_;
}

void fault_run::start_call(fault_injector const& faults, time_point now)
{
    if (now < next_call_ || open_.size() >= settings_.open_calls) {
        return;
    }
    next_call_ = now + call_interval;
    open_call call;
    call.chat = random_() % 2 == 0;
    call.text = "estimate " + std::to_string(random_());
    if (!call.chat) {
        call.key = tests::test_cluster::new_key();
    }
    send(faults, std::move(call), now);
}

void fault_run::send(fault_injector const& faults, open_call call,
                     time_point now)
{
    call.id = ++last_id_;
    call.deadline = now + (call.chat ? chat_deadline : service_deadline);
    call.daemon = faults.daemons()[random_() % faults.daemons().size()];
    auto const port = cluster_.port(call.daemon);
    if (call.chat) {
        auto const plan = standins::plan_answer(call.text);
        history_.start(call.id,
                       {.key = chat_key(plan.seed),
                        .expected = standins::expected_answer(call.text),
                        .started = now,
                        .deadline = call.deadline,
                        .repeatable = true});
        call.answer = cluster_.from().chat(port, "coteau-key", call.text);
    } else {
        history_.start(call.id, {.key = call.key,
                                 .expected = standins::expected_service_answer(
                                     "POST", path, call.text),
                                 .started = now,
                                 .deadline = call.deadline});
        call.answer = cluster_.from().call(port, "moruga-key",
                                           std::string{"shop-desk"} + path,
                                           call.text, call.key);
    }
    open_.push_back(std::move(call));
}

void fault_run::collect(fault_injector const& faults, time_point now)
{
    auto const late = [now](open_call const& call) {
        return now > call.deadline + grace;
    };
    auto const done =
        std::ranges::stable_partition(open_, [&](open_call const& call) {
            return !call.answer->ended() && !late(call);
        });
    std::vector<open_call> const ended(done.begin(), done.end());
    open_.erase(done.begin(), done.end());
    for (auto const& call : ended) {
        if (!call.answer->ended()) {
            log_line{severity::warning, "call_hangs"}
                .with("call", call.id)
                .with("key", call.key)
                .with("text", call.text)
                .with("tries", call.tries)
                .with("status", call.answer->status)
                .with("bytes", call.answer->body.size())
                .with("daemon", call.daemon);
            cluster_.from().leave(*call.answer);
        }
        close(faults, call, now);
    }
}

void fault_run::close(fault_injector const& faults, open_call const& call,
                      time_point now)
{
    auto const seen = call.answer->ended() ? result_of(call) : call_result{};
    history_.finish(call.id, seen.told, seen.answer, now);
    using history::verdict;
    if (seen.told == verdict::unknown) {
        ++report_.unknown_codes[seen.code];
    } else if (seen.told == verdict::not_run) {
        ++report_.not_run_codes[seen.code];
    }
    bool const settled =
        seen.told == verdict::run || seen.told == verdict::mismatch;
    // Now and then a caller asks again although it has its answer.
    if (draining_ || (settled && random_() % 8 != 0) ||
        call.tries >= most_tries) {
        return;
    }
    auto again = call;
    ++again.tries;
    send(faults, std::move(again), now);
}

void fault_run::take_executions()
{
    auto const now = monotonic_clock::now();
    for (std::size_t i = 0; i < cluster_.services(); ++i) {
        for (auto const& run : cluster_.service(i).runs()) {
            history_.execute(run.key,
                             standins::expected_service_answer(
                                 run.method, run.path, run.body),
                             now);
        }
    }
    for (std::size_t i = 0; i < cluster_.engines(); ++i) {
        for (auto const& run : cluster_.engine(i).runs()) {
            if (run.started) {
                history_.execute(chat_key(run.prompt_hash), {}, now);
            }
        }
    }
}

} // namespace medlarstall::faults
