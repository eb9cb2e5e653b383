#include <medlarstall/membership/tree_exchange.hpp>

#include <algorithm>
#include <utility>

namespace medlarstall::membership {

namespace {

/// Upper limit for the length of in_force_summary::daemons_behind.
constexpr std::size_t max_behind_ids = 4;

/// Upper limit for the loads in one message.
constexpr std::size_t max_loads_per_message = 256;

/// A load change of at least this amount is published without waiting for
/// tree_exchange_settings::load_interval.
constexpr unsigned urgent_load_change = 4;

unsigned absolute_difference(unsigned left, unsigned right)
{
    return left > right ? left - right : right - left;
}

} // namespace

in_force_summary combine(in_force_summary const& left,
                         in_force_summary const& right)
{
    auto combined = left;
    combined.daemon_count += right.daemon_count;
    combined.min_offset = std::min(left.min_offset, right.min_offset);
    combined.max_offset = std::max(left.max_offset, right.max_offset);
    combined.chain_digest = left.max_offset >= right.max_offset
                                ? left.chain_digest
                                : right.chain_digest;
    combined.digest_mismatch = left.digest_mismatch || right.digest_mismatch ||
                               (left.max_offset == right.max_offset &&
                                left.chain_digest != right.chain_digest);
    combined.daemons_behind.insert(combined.daemons_behind.end(),
                                   right.daemons_behind.begin(),
                                   right.daemons_behind.end());
    return combined;
}

tree_exchange::tree_exchange(tree_exchange_settings settings,
                             std::uint64_t incarnation)
    : settings_{std::move(settings)}, incarnation_{incarnation},
      shares_{settings_.shares}
{
    own_summary_ = {.data_centre = settings_.data_centre, .daemon_count = 1};
}

void tree_exchange::set_daemons(std::vector<daemon_info> const& live)
{
    position_ = place_in_tree(live, settings_.daemon_id);
    auto const linked_ids = position_.links();
    std::map<std::string, link_state> kept;
    std::vector<std::string> local_links;
    for (auto const& id : linked_ids) {
        kept[id] = std::move(links_[id]);
        if (in_same_data_centre(id)) {
            local_links.push_back(id);
        }
    }
    links_ = std::move(kept);
    loads_.set_links(local_links);
    loads_.erase_if([&live](entry_load const& load) {
        return std::ranges::find(live, load.daemon, &daemon_info::id) ==
               live.end();
    });
    shares_.set_position(position_);
    std::erase_if(received_in_force_, [&live](auto const& item) {
        return std::ranges::find(live, item.first, &daemon_info::data_centre) ==
               live.end();
    });
}

/// If a daemon is draining, makes the next tick forward its load without
/// waiting for the regular interval.
void tree_exchange::mark_links_urgent_if_draining(entry_load const& load)
{
    for (auto& [id, link] : links_) {
        link.urgent = link.urgent || load.draining;
    }
}

bool tree_exchange::in_same_data_centre(std::string const& daemon) const
{
    return std::ranges::find(position_.peer_roots, daemon) ==
           position_.peer_roots.end();
}

void tree_exchange::set_load(unsigned load, bool draining, time_point now)
{
    load = std::min(load, full_load);
    auto const* last = loads_.find(settings_.daemon_id);
    if (last != nullptr && last->draining == draining) {
        auto const change = absolute_difference(last->load, load);
        bool const within_interval =
            now - load_updated_at_ < settings_.load_interval;
        if (change < 2 || (within_interval && change < urgent_load_change)) {
            return;
        }
    }
    load_updated_at_ = now;
    if (draining) {
        mark_links_urgent_if_draining({.draining = true});
    }
    loads_.merge({.daemon = settings_.daemon_id,
                  .incarnation = incarnation_,
                  .version = ++load_version_,
                  .load = load,
                  .draining = draining},
                 {});
}

void tree_exchange::set_applied_version(std::uint64_t offset,
                                        std::string const& chain_digest)
{
    own_summary_.min_offset = offset;
    own_summary_.max_offset = offset;
    own_summary_.chain_digest = chain_digest;
}

void tree_exchange::on_message(std::string const& from,
                               tree_message const& message)
{
    auto const found = links_.find(from);
    if (found == links_.end()) {
        return;
    }
    auto& link = found->second;
    if (std::pair{message.incarnation, message.sequence} <=
        std::pair{link.received_incarnation, link.received_sequence}) {
        return;
    }
    if (message.incarnation != link.received_incarnation) {
        loads_.reset_link(from);
        link.sent_subtree.reset();
        link.sent_in_force.clear();
    }
    link.received_incarnation = message.incarnation;
    link.received_sequence = message.sequence;
    for (auto const& load : message.loads) {
        if (load.daemon != settings_.daemon_id && loads_.merge(load, from)) {
            mark_links_urgent_if_draining(load);
        }
    }
    if (message.subtree) {
        link.subtree = message.subtree;
    }
    for (auto const& summary : message.in_force) {
        if (summary.data_centre != settings_.data_centre ||
            from == position_.parent) {
            received_in_force_[summary.data_centre] = summary;
        }
    }
    shares_.merge(from, message.shares);
}

/// Returns the catalogue versions that this daemon and all daemons below it
/// have applied.
in_force_summary tree_exchange::own_subtree() const
{
    auto subtree = own_summary_;
    std::vector<std::pair<std::uint64_t, std::string>> behind{
        {own_summary_.max_offset, settings_.daemon_id}};
    for (auto const& child : position_.children) {
        auto const found = links_.find(child);
        if (found == links_.end() || !found->second.subtree) {
            continue;
        }
        auto const& below = *found->second.subtree;
        subtree = combine(subtree, below);
        for (auto const& id : below.daemons_behind) {
            behind.emplace_back(below.min_offset, id);
        }
        behind.emplace_back(below.max_offset, child);
    }
    std::ranges::sort(behind);
    subtree.daemons_behind.clear();
    for (auto const& [offset, id] : behind) {
        bool const listed = std::ranges::find(subtree.daemons_behind, id) !=
                            subtree.daemons_behind.end();
        if (offset < subtree.max_offset && !listed &&
            subtree.daemons_behind.size() < max_behind_ids) {
            subtree.daemons_behind.push_back(id);
        }
    }
    return subtree;
}

std::vector<in_force_summary> tree_exchange::in_force() const
{
    auto all = received_in_force_;
    if (position_.parent.empty()) {
        all[settings_.data_centre] = own_subtree();
    }
    std::vector<in_force_summary> summaries;
    summaries.reserve(all.size());
    for (auto& [data_centre, summary] : all) {
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

/// Returns the summaries that the other end of a link should know: those of all
/// data centres for a child, that of this data centre for another root, and
/// none for the parent.
std::vector<in_force_summary>
tree_exchange::summaries_for(std::string const& to) const
{
    if (to == position_.parent) {
        return {};
    }
    return in_same_data_centre(to) ? in_force() : std::vector{own_subtree()};
}

std::vector<outgoing_tree_message> tree_exchange::tick(time_point now,
                                                       std::uint64_t window)
{
    std::vector<outgoing_tree_message> messages;
    for (auto& [id, link] : links_) {
        auto const age = now - link.last_sent;
        if (link.ever_sent && age < settings_.min_message_interval) {
            continue;
        }
        bool const has_updates =
            (link.urgent && loads_.has_pending(id)) ||
            link.sent_in_force != summaries_for(id) ||
            (id == position_.parent && link.sent_subtree != own_subtree());
        if (link.ever_sent && !has_updates &&
            age < settings_.message_interval) {
            continue;
        }
        auto message = make_message(id, link);
        if (!link.ever_sent ||
            now - link.shares_last_sent >= settings_.message_interval) {
            link.shares_last_sent = now;
            message.shares = shares_.take_rows(id, window);
        }
        bool const empty = message.loads.empty() && !message.subtree &&
                           message.in_force.empty() && message.shares.empty();
        link.last_sent = now;
        link.urgent = false;
        link.ever_sent = true;
        if (!empty) {
            message.sequence = ++link.sequence;
            messages.push_back({id, std::move(message)});
        }
    }
    return messages;
}

tree_message tree_exchange::make_message(std::string const& to,
                                         link_state& link)
{
    tree_message message{.incarnation = incarnation_};
    message.loads = loads_.take_pending(to, max_loads_per_message);
    if (to == position_.parent && link.sent_subtree != own_subtree()) {
        link.sent_subtree = own_subtree();
        message.subtree = link.sent_subtree;
    }
    auto in_force = summaries_for(to);
    for (auto const& summary : in_force) {
        if (std::ranges::find(link.sent_in_force, summary) ==
            link.sent_in_force.end()) {
            message.in_force.push_back(summary);
        }
    }
    link.sent_in_force = std::move(in_force);
    return message;
}

} // namespace medlarstall::membership
