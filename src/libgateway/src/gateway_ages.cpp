// How old is what this daemon knows of the topics of the store, and what it
// does about that.

#include <medlarstall/gateway/gateway.hpp>

namespace medlarstall::gateway {

topic_age& gateway::age_of(record_topic which)
{
    return which == record_topic::configuration ? configuration_age_
                                                : servers_age_;
}

/// \return how old is what this daemon knows of a topic; 0 if it knows nothing
duration gateway::age_of_topic(record_topic which) const
{
    auto const& age = which == record_topic::configuration ? configuration_age_
                                                           : servers_age_;
    auto const now = monotonic_clock::now();
    return now - age.as_of().value_or(now);
}

/// Called when this daemon has itself read a topic to its end.
void gateway::on_store_read(record_topic which, store_position end,
                            time_point as_of)
{
    auto const has_grown = age_of(which).on_own_read(
        {settings_.name, end, as_of}, follower_of(which).position());
    read_to_announce_ = true;
    note_era(end.era, monotonic_clock::now());
    if (has_grown && which == record_topic::backend_servers &&
        servers_follower_->significant_position() == end) {
        send_peer_update(monotonic_clock::now(), true);
    }
}

/// Notes when a peer has read the store. Its update may have waited until this
/// daemon came to receive it, but no longer than since the last tick.
void gateway::on_peer_reads(peer_update const& update)
{
    auto const received_at = last_tick_at_;
    std::optional<time_point> steady_since;
    if (update.store_steady_for) {
        steady_since = monotonic_clock::now() - *update.store_steady_for;
    }
    auto const note = [&](record_topic which,
                          std::optional<announced_read> const& read) {
        if (read) {
            age_of(which).on_read({update.daemon, read->end,
                                   received_at - read->age, steady_since},
                                  follower_of(which).position());
        }
    };
    note(record_topic::backend_servers, update.servers_read);
    note(record_topic::configuration, update.configuration_read);
}

void gateway::update_ages(time_point now)
{
    servers_age_.on_position(servers_follower_->position());
    configuration_age_.on_position(configuration_follower_->position());
    auto const answers = servers_age_.store_answers(now);
    auto const steady_since = servers_age_.steady_since();
    if (answers != list_reachable_) {
        list_reachable_ = answers;
        log_entry line{log_, log_category::belief, "list"};
        line.with("reachable", answers ? "yes" : "no")
            .with("era", servers_follower_->position().era)
            .with("offset", servers_follower_->position().offset)
            .with("reader", servers_age_.reader());
        if (steady_since) {
            line.with("steady", now - *steady_since);
        }
        if (servers_age_.as_of()) {
            line.with("age", now - *servers_age_.as_of());
        }
    }
    dispatcher_.set_list_readable(answers, steady_since.value_or(now));
}

/// Reads what this daemon has heard nothing new of for too long, whatever keeps
/// the daemons that read continuously from telling it.
void gateway::read_outdated_topics(time_point now)
{
    auto const daemons = members_.addresses().size() + 1;
    for (auto const which :
         {record_topic::backend_servers, record_topic::configuration}) {
        auto& age = age_of(which);
        if (!age.read_is_due(now, daemons) ||
            !follower_of(which).read_again(now)) {
            continue;
        }
        age.on_read_begun(now);
        metrics_.count_state_change("outdated");
        log_entry{log_, log_category::belief, "outdated"}
            .with("ledger", name_of(which))
            .with("age", now - *age.as_of())
            .with("reader", age.reader())
            .with("offset", follower_of(which).position().offset)
            .with("store_answers", age.store_answers(now) ? "yes" : "no");
    }
}

} // namespace medlarstall::gateway
