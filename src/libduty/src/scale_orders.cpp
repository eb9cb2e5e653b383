#include <medlarstall/duty/scale_orders.hpp>

#include <medlarstall/support/json_text.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::duty {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Servers that are missing for longer than their start takes and this time
/// are not counted on: crashed ones come back within 2 s, and the list may be
/// 4 s old.
constexpr milliseconds missing_margin{6000};
/// More are never ordered, whatever a record says.
constexpr std::uint64_t max_count = 100000;

/// \return the number of a field, or nothing if it is missing or invalid
std::optional<std::uint32_t> read_count(json const& item, char const* name)
{
    auto const found = item.find(name);
    if (found == item.end() || !found->is_number_unsigned() ||
        found->get<std::uint64_t>() > max_count) {
        return std::nullopt;
    }
    return found->get<std::uint32_t>();
}

std::string read_text(json const& item, char const* name)
{
    auto const found = item.find(name);
    return found != item.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string{};
}

/// \return the flag of a field; false if it is missing or invalid
bool read_flag(json const& item, char const* name)
{
    auto const found = item.find(name);
    return found != item.end() && found->is_boolean() && found->get<bool>();
}

milliseconds doubled(milliseconds last, milliseconds first,
                     milliseconds longest)
{
    return last == milliseconds::zero() ? first : std::min(last * 2, longest);
}

} // namespace

std::string scale_orders::encode() const
{
    auto list = json::array();
    for (auto const& [subject, order] : orders_) {
        list.push_back({{"service", subject.service},
                        {"data_centre", subject.data_centre},
                        {"reclaimable", subject.reclaimable},
                        {"count", order.count},
                        {"accepted", order.accepted},
                        {"most", order.most},
                        {"settled", order.is_settled}});
    }
    std::string bytes;
    json::to_cbor(
        json{{"orders", std::move(list)}, {"first_prices", first_prices_}},
        bytes);
    return bytes;
}

void scale_orders::decode(std::string_view stored, time_point now)
{
    orders_.clear();
    first_prices_.clear();
    under_way_ = 0;
    stored_revision_ = revision_;
    auto const parsed = parse_cbor(stored);
    if (failed(parsed) || !value_of(parsed).is_object()) {
        return;
    }
    auto const& value = value_of(parsed);
    auto const prices = value.find("first_prices");
    if (prices != value.end() && prices->is_object()) {
        for (auto const& [service, price] : prices->items()) {
            if (price.is_number() && price.get<double>() > 0) {
                first_prices_[service] = price.get<double>();
            }
        }
    }
    auto const list = value.find("orders");
    if (list == value.end() || !list->is_array()) {
        return;
    }
    for (auto const& item : *list) {
        if (!item.is_object()) {
            continue;
        }
        auto const count = read_count(item, "count");
        scale_subject const subject{read_text(item, "service"),
                                    read_text(item, "data_centre"),
                                    read_flag(item, "reclaimable")};
        if (!count || subject.service.empty() || subject.data_centre.empty()) {
            continue;
        }
        auto& order = orders_[subject];
        order.count = *count;
        order.accepted = read_count(item, "accepted").value_or(*count);
        order.is_settled = read_flag(item, "settled");
        order.is_uncertain = !order.is_settled;
        order.is_unanswered = !order.is_settled;
        order.most = read_count(item, "most").value_or(0);
        update_most(order);
        order.revision = revision_;
        order.changed_at = now;
        order.due_at = now;
    }
}

void scale_orders::doubt_all()
{
    for (auto& [subject, order] : orders_) {
        order.count = order.accepted;
        order.is_settled = false;
        order.is_uncertain = true;
        order.is_unanswered = true;
        order.most = max_count;
    }
}

void scale_orders::set_first_price(std::string const& service, double price)
{
    if (price > 0 && first_prices_.try_emplace(service, price).second) {
        ++revision_;
    }
}

std::optional<double>
scale_orders::first_price(std::string const& service) const
{
    auto const found = first_prices_.find(service);
    return found == first_prices_.end() ? std::nullopt
                                        : std::optional{found->second};
}

bool scale_orders::set(scale_subject const& subject, std::uint32_t count,
                       std::uint32_t listed, time_point now)
{
    auto const [position, added] = orders_.try_emplace(subject);
    auto& order = position->second;
    if (added && count == listed) {
        orders_.erase(position);
        return false;
    }
    if (added) {
        order.accepted = listed;
    } else if (order.count == count) {
        return false;
    }
    order.count = count;
    update_most(order);
    order.is_settled = false;
    order.changed_at = now;
    order.retry = milliseconds::zero();
    order.due_at = now;
    order.revision = ++revision_;
    return true;
}

std::optional<std::uint32_t>
scale_orders::ordered(scale_subject const& subject) const
{
    auto const found = orders_.find(subject);
    return found == orders_.end() ? std::nullopt
                                  : std::optional{found->second.count};
}

bool scale_orders::is_blocked(scale_subject const& subject,
                              time_point now) const
{
    auto const found = orders_.find(subject);
    return found != orders_.end() && now < found->second.blocked_until;
}

void scale_orders::block(scale_subject const& subject, milliseconds at_least,
                         time_point now)
{
    auto const found = orders_.find(subject);
    if (found != orders_.end()) {
        found->second.blocked_until =
            std::max(found->second.blocked_until, now + at_least);
    }
}

std::uint32_t scale_orders::expected(scale_subject const& subject,
                                     std::uint32_t listed,
                                     milliseconds start_time, time_point now)
{
    auto const found = orders_.find(subject);
    if (found == orders_.end()) {
        return listed;
    }
    auto& order = found->second;
    if (listed >= order.count) {
        order.complete_at = now;
    }
    // An order that is not accepted yet has not begun to take effect.
    auto const since =
        order.is_settled ? std::max(order.changed_at, order.complete_at) : now;
    auto const allowed = start_time + missing_margin;
    repeat_if_undone(order, listed, allowed, now);
    return now - since <= allowed ? order.count : std::min(order.count, listed);
}

/// A call without an answer may be executed after the next one of its subject.
/// Nothing can be read back, thus the list must show it.
void scale_orders::repeat_if_undone(standing_order& order, std::uint32_t listed,
                                    duration allowed, time_point now)
{
    auto const is_short =
        listed < order.count &&
        now - std::max(order.complete_at, order.changed_at) > allowed;
    auto const is_excess =
        listed > order.count && now - order.changed_at > allowed;
    if (order.is_settled && order.is_uncertain && (is_short || is_excess)) {
        order.is_settled = false;
        order.is_uncertain = false;
        order.due_at = now;
    }
}

void scale_orders::on_stored(std::uint64_t revision)
{
    stored_revision_ = std::max(stored_revision_, revision);
}

/// \return largest number of a subject that the platform may hold now; zero if
///     nothing was ordered
std::uint32_t scale_orders::largest_in_force(scale_subject const& subject) const
{
    auto const found = orders_.find(subject);
    if (found == orders_.end()) {
        return 0;
    }
    return found->second.most;
}

/// What a call without an answer has ordered stays possible.
void scale_orders::update_most(standing_order& order)
{
    auto const is_open = order.is_under_way || order.is_unanswered;
    order.most =
        std::max({order.accepted, order.count, is_open ? order.most : 0U});
}

bool scale_orders::is_due(scale_subject const& subject,
                          standing_order const& order,
                          std::map<std::string, std::uint32_t> const& limits,
                          time_point now) const
{
    auto const limit = limits.find(subject.service);
    if (limit == limits.end() || order.is_settled || order.is_under_way ||
        now < order.due_at || order.revision > stored_revision_) {
        return false;
    }
    auto const other = largest_in_force(
        {subject.service, subject.data_centre, !subject.reclaimable});
    return order.count <= order.accepted ||
           order.count + other <= limit->second;
}

std::vector<scale_order>
scale_orders::take_due(std::map<std::string, std::uint32_t> const& limits,
                       time_point now)
{
    std::vector<std::pair<bool, scale_subject>> due;
    for (auto const& [subject, order] : orders_) {
        if (is_due(subject, order, limits, now)) {
            due.emplace_back(order.count <= order.accepted, subject);
        }
    }
    std::ranges::sort(due);
    std::vector<scale_order> calls;
    for (auto const& [is_fewer, subject] : due) {
        if (under_way_ >= settings_.max_calls || now < next_call_at_) {
            break;
        }
        auto& order = orders_.at(subject);
        order.is_under_way = true;
        ++under_way_;
        next_call_at_ = now + settings_.call_interval;
        calls.push_back({subject.service, subject.data_centre,
                         subject.reclaimable, order.count});
    }
    return calls;
}

void scale_orders::repeat_later(standing_order& order, time_point now) const
{
    order.retry =
        doubled(order.retry, settings_.first_retry, settings_.longest_retry);
    order.due_at = now + order.retry;
}

void scale_orders::on_result(scale_order const& order, call_outcome outcome,
                             time_point now)
{
    auto const found = orders_.find(
        scale_subject{order.service, order.data_centre, order.reclaimable});
    if (found == orders_.end() || !found->second.is_under_way) {
        return;
    }
    auto& standing = found->second;
    standing.is_under_way = false;
    under_way_ -= std::min<std::size_t>(under_way_, 1);
    auto const is_newest = standing.count == order.count;
    if (outcome == call_outcome::accepted) {
        if (order.count > standing.accepted) {
            standing.block = milliseconds::zero();
        }
        standing.accepted = order.count;
        standing.is_unanswered = false;
        update_most(standing);
        standing.is_settled = is_newest;
        standing.retry = milliseconds::zero();
        standing.changed_at = is_newest ? now : standing.changed_at;
        ++revision_;
        return;
    }
    if (outcome == call_outcome::unavailable &&
        order.count > standing.accepted) {
        standing.block = doubled(standing.block, settings_.first_block,
                                 settings_.longest_block);
        standing.blocked_until = now + standing.block;
        if (is_newest) {
            standing.count = standing.accepted;
            // The old number is sent again if an earlier call may have changed
            // it.
            standing.is_settled = !standing.is_unanswered;
            update_most(standing);
            standing.revision = ++revision_;
        }
        return;
    }
    if (outcome == call_outcome::unknown) {
        standing.is_uncertain = true;
        standing.is_unanswered = true;
    }
    update_most(standing);
    if (is_newest) {
        repeat_later(standing, now);
    }
}

} // namespace medlarstall::duty
