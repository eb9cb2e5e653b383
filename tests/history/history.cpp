#include "history.hpp"

#include <algorithm>

namespace medlarstall::history {

namespace {

bool denies_run(verdict told)
{
    return told == verdict::not_run || told == verdict::mismatch;
}

bool is_prefix(std::string const& part, std::string const& whole)
{
    return whole.compare(0, part.size(), part) == 0;
}

} // namespace

void history::start(std::uint64_t id, started_call value)
{
    if (!value.key.empty()) {
        calls_of_key_[value.key].push_back(id);
    }
    calls_.emplace(id, kept_call{.call = std::move(value)});
}

void history::execute(std::string const& key, std::string answer,
                      time_point time, std::uint64_t call)
{
    executions_[key].push_back(
        {.answer = std::move(answer), .time = time, .call = call});
}

void history::finish(std::uint64_t id, verdict told, std::string answer,
                     time_point time)
{
    auto& value = calls_.at(id);
    value.told = told;
    value.answer = std::move(answer);
    value.finished = time;
}

std::vector<violation> history::check(time_point end, duration grace) const
{
    std::vector<violation> found;
    for (auto const& [id, value] : calls_) {
        check_call(id, value, end, grace, found);
    }
    for (auto const& [key, executions] : executions_) {
        check_key(key, executions, found);
    }
    return found;
}

verdict_counts history::count() const
{
    verdict_counts counts;
    counts.calls = calls_.size();
    for (auto const& [id, value] : calls_) {
        if (value.told.has_value()) {
            ++counts.of[*value.told];
        }
    }
    for (auto const& [key, executions] : executions_) {
        counts.executions += executions.size();
    }
    return counts;
}

void history::check_call(std::uint64_t id, kept_call const& value,
                         time_point end, duration grace,
                         std::vector<violation>& found) const
{
    auto const known = value.told.has_value() ? value.finished : end;
    if (known > value.call.deadline + grace) {
        found.push_back({"past_deadline", "call " + std::to_string(id) +
                                              ", key " + value.call.key});
    }
    if (value.told == verdict::run || value.told == verdict::cut) {
        check_answer(id, value, found);
    }
}

void history::check_answer(std::uint64_t id, kept_call const& value,
                           std::vector<violation>& found) const
{
    bool const whole = value.told == verdict::run;
    auto const fits = [&](std::string const& right) {
        return whole ? value.answer == right : is_prefix(value.answer, right);
    };
    auto const& call = value.call;
    if (!call.expected.empty() && !fits(call.expected)) {
        found.push_back({"wrong_answer", "call " + std::to_string(id)});
    }
    if (call.key.empty()) {
        return;
    }
    auto const run = executions_.find(call.key);
    if (run == executions_.end()) {
        found.push_back({"answer_without_run", "key " + call.key});
    } else if (!call.repeatable &&
               std::ranges::none_of(run->second, [&](execution const& one) {
                   return fits(one.answer);
               })) {
        found.push_back({"answer_of_no_run", "key " + call.key});
    }
}

void history::check_key(std::string const& key,
                        std::vector<execution> const& executions,
                        std::vector<violation>& found) const
{
    if (executions.size() > 1 && !repeatable(key)) {
        found.push_back({"more_than_once",
                         "key " + key + ": " +
                             std::to_string(executions.size()) + " runs"});
    }
    for (auto const& run : executions) {
        if (!explained(key, run)) {
            found.push_back({"not_run_was_run", "key " + key});
        }
    }
}

bool history::repeatable(std::string const& key) const
{
    auto const calls = calls_of_key_.find(key);
    return calls != calls_of_key_.end() &&
           calls_.at(calls->second.front()).call.repeatable;
}

bool history::explained(std::string const& key, execution const& run) const
{
    auto const calls = calls_of_key_.find(key);
    if (calls == calls_of_key_.end()) {
        return false;
    }
    return std::ranges::any_of(calls->second, [&](std::uint64_t id) {
        auto const& value = calls_.at(id);
        return (run.call == 0 || run.call == id) &&
               value.call.started <= run.time &&
               !(value.told.has_value() && denies_run(*value.told));
    });
}

} // namespace medlarstall::history
