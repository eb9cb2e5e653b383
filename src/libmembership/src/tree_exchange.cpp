#include <medlarstall/membership/tree_exchange.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::membership {

namespace {

constexpr std::size_t named_behind = 4;
constexpr std::size_t most_loads = 256; ///< In one message.
constexpr unsigned great_change = 4;    ///< Of the load, told at once.

unsigned distance(unsigned left, unsigned right)
{
    return left > right ? left - right : right - left;
}

} // namespace

in_force_summary join(in_force_summary const& left,
                      in_force_summary const& right)
{
    auto joined = left;
    joined.daemons += right.daemons;
    joined.least_offset = std::min(left.least_offset, right.least_offset);
    joined.most_offset = std::max(left.most_offset, right.most_offset);
    joined.chain =
        left.most_offset >= right.most_offset ? left.chain : right.chain;
    joined.disagree =
        left.disagree || right.disagree ||
        (left.most_offset == right.most_offset && left.chain != right.chain);
    joined.behind.insert(joined.behind.end(), right.behind.begin(),
                         right.behind.end());
    return joined;
}

tree_exchange::tree_exchange(tree_exchange_settings settings,
                             std::uint64_t incarnation)
    : settings_{std::move(settings)}, incarnation_{incarnation},
      shares_{settings_.shares}
{
    own_ = {.data_centre = settings_.data_centre, .daemons = 1};
}

void tree_exchange::set_daemons(std::vector<daemon_info> const& live)
{
    position_ = place_in_tree(live, settings_.daemon);
    auto const ids = position_.links();
    std::map<std::string, link> kept;
    std::vector<std::string> inside;
    for (auto const& id : ids) {
        kept[id] = std::move(links_[id]);
        if (near(id)) {
            inside.push_back(id);
        }
    }
    links_ = std::move(kept);
    loads_.set_links(inside);
    loads_.erase_if([&live](entry_load const& load) {
        return std::ranges::find(live, load.daemon, &daemon_info::id) ==
               live.end();
    });
    shares_.set_position(position_);
    std::erase_if(centres_, [&live](auto const& item) {
        return std::ranges::find(live, item.first, &daemon_info::data_centre) ==
               live.end();
    });
}

/// Passes on at once that a daemon drains.
void tree_exchange::hurry(entry_load const& load)
{
    for (auto& [id, one] : links_) {
        one.urgent = one.urgent || load.draining;
    }
}

bool tree_exchange::near(std::string const& daemon) const
{
    return std::ranges::find(position_.roots, daemon) == position_.roots.end();
}

void tree_exchange::set_load(unsigned load, bool draining, time_point now)
{
    load = std::min(load, full_load);
    auto const* last = loads_.find(settings_.daemon);
    if (last != nullptr && last->draining == draining) {
        auto const change = distance(last->load, load);
        bool const wait = now - load_changed_ < settings_.load_interval;
        if (change < 2 || (wait && change < great_change)) {
            return;
        }
    }
    load_changed_ = now;
    if (draining) {
        hurry({.draining = true});
    }
    loads_.merge({.daemon = settings_.daemon,
                  .incarnation = incarnation_,
                  .version = ++load_version_,
                  .load = load,
                  .draining = draining},
                 {});
}

void tree_exchange::set_version(std::uint64_t offset, std::string const& chain)
{
    own_.least_offset = offset;
    own_.most_offset = offset;
    own_.chain = chain;
}

void tree_exchange::on_message(std::string const& from,
                               tree_message const& message)
{
    auto const found = links_.find(from);
    if (found == links_.end()) {
        return;
    }
    auto& one = found->second;
    if (std::pair{message.incarnation, message.sequence} <=
        std::pair{one.heard_incarnation, one.heard_sequence}) {
        return;
    }
    if (message.incarnation != one.heard_incarnation) {
        loads_.reset_link(from);
        one.sent_part.reset();
        one.sent_in_force.clear();
    }
    one.heard_incarnation = message.incarnation;
    one.heard_sequence = message.sequence;
    for (auto const& load : message.loads) {
        if (load.daemon != settings_.daemon && loads_.merge(load, from)) {
            hurry(load);
        }
    }
    if (message.part) {
        one.part = message.part;
    }
    for (auto const& summary : message.in_force) {
        if (summary.data_centre != settings_.data_centre ||
            from == position_.parent) {
            centres_[summary.data_centre] = summary;
        }
    }
    shares_.merge(from, message.shares);
}

/// What this daemon and all below it have applied.
in_force_summary tree_exchange::own_part() const
{
    auto part = own_;
    std::vector<std::pair<std::uint64_t, std::string>> behind{
        {own_.most_offset, settings_.daemon}};
    for (auto const& child : position_.children) {
        auto const found = links_.find(child);
        if (found == links_.end() || !found->second.part) {
            continue;
        }
        auto const& below = *found->second.part;
        part = join(part, below);
        for (auto const& id : below.behind) {
            behind.emplace_back(below.least_offset, id);
        }
        behind.emplace_back(below.most_offset, child);
    }
    std::ranges::sort(behind);
    part.behind.clear();
    for (auto const& [offset, id] : behind) {
        bool const named =
            std::ranges::find(part.behind, id) != part.behind.end();
        if (offset < part.most_offset && !named &&
            part.behind.size() < named_behind) {
            part.behind.push_back(id);
        }
    }
    return part;
}

std::vector<in_force_summary> tree_exchange::in_force() const
{
    auto all = centres_;
    if (position_.parent.empty()) {
        all[settings_.data_centre] = own_part();
    }
    std::vector<in_force_summary> summaries;
    summaries.reserve(all.size());
    for (auto& [data_centre, summary] : all) {
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

/// Children get all data centres, other roots this one, a parent none.
std::vector<in_force_summary>
tree_exchange::for_link(std::string const& to) const
{
    if (to == position_.parent) {
        return {};
    }
    return near(to) ? in_force() : std::vector{own_part()};
}

std::vector<outgoing_tree_message> tree_exchange::tick(time_point now,
                                                       std::uint64_t window)
{
    std::vector<outgoing_tree_message> messages;
    for (auto& [id, one] : links_) {
        auto const age = now - one.sent;
        if (one.was_sent && age < settings_.quick_interval) {
            continue;
        }
        bool const news =
            (one.urgent && loads_.has_pending(id)) ||
            one.sent_in_force != for_link(id) ||
            (id == position_.parent && one.sent_part != own_part());
        if (one.was_sent && !news && age < settings_.interval) {
            continue;
        }
        auto message = make_message(id, one);
        if (!one.was_sent || now - one.shares_sent >= settings_.interval) {
            one.shares_sent = now;
            message.shares = shares_.take(id, window);
        }
        bool const empty = message.loads.empty() && !message.part &&
                           message.in_force.empty() && message.shares.empty();
        one.sent = now;
        one.urgent = false;
        one.was_sent = true;
        if (!empty) {
            message.sequence = ++one.sequence;
            messages.push_back({id, std::move(message)});
        }
    }
    return messages;
}

tree_message tree_exchange::make_message(std::string const& to, link& one)
{
    tree_message message{.incarnation = incarnation_};
    message.loads = loads_.take(to, most_loads);
    if (to == position_.parent && one.sent_part != own_part()) {
        one.sent_part = own_part();
        message.part = one.sent_part;
    }
    auto in_force = for_link(to);
    for (auto const& summary : in_force) {
        if (std::ranges::find(one.sent_in_force, summary) ==
            one.sent_in_force.end()) {
            message.in_force.push_back(summary);
        }
    }
    one.sent_in_force = std::move(in_force);
    return message;
}

} // namespace medlarstall::membership
