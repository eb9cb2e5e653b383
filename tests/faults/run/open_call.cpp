#include "open_call.hpp"

namespace medlarstall::faults {

namespace {

using history::verdict;

constexpr int mismatch_status = 422;

std::string error_code(tests::answer const& from)
{
    auto const body = from.json();
    if (!body.is_object() || !body.contains("error")) {
        return "no_code";
    }
    return body["error"].value("code", "no_code");
}

call_result refused(tests::answer const& from)
{
    auto const run = from.field("Medlarstall-Run");
    if (from.status == mismatch_status) {
        return {.told = verdict::mismatch, .code = error_code(from)};
    }
    if (run == "not-run") {
        return {.told = verdict::not_run, .code = error_code(from)};
    }
    return {.told = verdict::unknown, .code = error_code(from)};
}

call_result chat_result(tests::answer const& from)
{
    return {.told = from.whole() ? verdict::run : verdict::cut,
            .answer = from.text()};
}

call_result service_result(tests::answer const& from)
{
    if (!from.complete) {
        return {};
    }
    auto const body = from.json();
    return {.told = verdict::run,
            .answer = body.is_object() ? body.value("answer", "") : from.body};
}

} // namespace

call_result result_of(open_call const& call)
{
    auto const& from = *call.answer;
    constexpr int success = 200;
    if (from.status == 0 || (from.failed && from.status != success)) {
        return {};
    }
    if (from.status != success) {
        return refused(from);
    }
    return call.chat ? chat_result(from) : service_result(from);
}

} // namespace medlarstall::faults
