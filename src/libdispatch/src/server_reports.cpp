#include <medlarstall/dispatch/server_reports.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

using std::chrono::milliseconds;

/// An answer within this time outweighs later failures of others: their paths
/// may be lost.
constexpr milliseconds answer_lifetime{1000};
constexpr std::size_t min_daemons = 2;

} // namespace

void server_reports::on_failure(std::uint64_t daemon, report_kind kind,
                                time_point at)
{
    if (last_answer_ && at <= *last_answer_ && daemon != 0) {
        return;
    }
    if (daemon == 0) {
        // A probe does not tell whether the connection was refused.
        auto const was_refused = own_failure_ &&
                                 own_failure_->kind == report_kind::refused &&
                                 at - own_failure_->at <= lifetime;
        own_failure_ =
            failure{0, was_refused ? report_kind::refused : kind, at};
    }
    std::erase_if(failures_, [daemon, at](failure const& item) {
        return item.daemon == daemon && item.at <= at;
    });
    if (failures_.size() >= max_failures) {
        failures_.erase(std::ranges::min_element(failures_, {}, &failure::at));
    }
    failures_.push_back({daemon, kind, at});
}

void server_reports::on_answer(std::uint64_t daemon, time_point at)
{
    if (daemon == 0) {
        own_answer_ = at;
    }
    last_answer_ = std::max(last_answer_.value_or(at), at);
    std::erase_if(failures_,
                  [at](failure const& item) { return item.at <= at; });
}

bool server_reports::answered_lately(time_point now) const
{
    return last_answer_ && now - *last_answer_ <= answer_lifetime;
}

std::size_t server_reports::failures_since(time_point now, bool with_own) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(failures_, [&](failure const& item) {
            return now - item.at <= lifetime && (with_own || item.daemon != 0);
        }));
}

bool server_reports::is_doubted(time_point now) const
{
    return !empty() && !answered_lately(now) &&
           failures_since(now, true) >= min_daemons;
}

bool server_reports::failed_elsewhere(time_point now) const
{
    return !empty() && !answered_lately(now) && failures_since(now, false) > 0;
}

bool server_reports::take_return(time_point now)
{
    auto const refused =
        own_failure_ && own_failure_->kind == report_kind::refused;
    auto const allowed = !last_return_ || now - *last_return_ > lifetime;
    if (!refused || !allowed || !last_answer_ ||
        *last_answer_ <= own_failure_->at) {
        return false;
    }
    last_return_ = now;
    return true;
}

std::optional<server_report> server_reports::own_report(time_point now) const
{
    auto const age_of = [now](time_point at) {
        return std::chrono::duration_cast<milliseconds>(now - at);
    };
    auto const has_answered =
        own_answer_ && (!own_failure_ || *own_answer_ >= own_failure_->at);
    if (has_answered && now - *own_answer_ <= lifetime) {
        return server_report{"", 0, report_kind::back, age_of(*own_answer_)};
    }
    if (!has_answered && own_failure_ && now - own_failure_->at <= lifetime) {
        return server_report{"", 0, own_failure_->kind,
                             age_of(own_failure_->at)};
    }
    return std::nullopt;
}

} // namespace medlarstall::dispatch
