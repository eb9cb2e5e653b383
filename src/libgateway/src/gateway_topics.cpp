// The topics of the store that this daemon follows: how each is read, and what
// is done when the store goes away, comes back or was restored.

#include <medlarstall/gateway/gateway.hpp>

#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// Topics of which it matters how old is what this daemon knows.
topic_read_settings configuration_follow_settings()
{
    topic_read_settings settings;
    settings.long_poll_timeout = milliseconds{750};
    settings.has_bounded_age = true;
    return settings;
}

topic_read_settings servers_follow_settings()
{
    auto settings = configuration_follow_settings();
    settings.read_interval =
        milliseconds{600}; // Entries are written continuously.
    return settings;
}

topic_read_settings members_follow_settings()
{
    topic_read_settings settings;
    settings.long_poll_timeout = milliseconds{25000};
    settings.read_interval = milliseconds{1000};
    settings.initial_backoff = milliseconds{1000};
    settings.max_backoff = milliseconds{4000};
    return settings;
}

} // namespace

void gateway::start_followers()
{
    auto const make_follower =
        [this](record_topic which, topic_read_settings settings, auto changed) {
            settings.reader = settings_.name;
            record_follower_events events;
            events.on_change = changed;
            events.on_restore = [this, which](std::uint64_t era) {
                on_store_restored(which, era);
            };
            if (which == record_topic::backend_servers) {
                events.on_changes_left_out = [this] {
                    on_list_changes_left_out();
                };
            }
            if (which != record_topic::members) {
                events.on_complete_read = [this, which](store_position end,
                                                        time_point as_of) {
                    on_store_read(which, end, as_of);
                };
            }
            events.on_reachability = [this, which](bool reachable,
                                                   char const* reason) {
                on_store_reachable(which, reachable, reason);
            };
            return std::make_shared<record_follower>(
                context_, which, adapter_.store, settings, std::move(events));
        };
    configuration_follower_ = make_follower(record_topic::configuration,
                                            configuration_follow_settings(),
                                            [this](record const& item) {
                                                on_configuration(item);
                                                return true;
                                            });
    servers_follower_ = make_follower(
        record_topic::backend_servers, servers_follow_settings(),
        [this](record const& item) { return on_backend_server(item); });
    members_follower_ =
        make_follower(record_topic::members, members_follow_settings(),
                      [this](record const& item) {
                          on_member(item);
                          return true;
                      });
    configuration_follower_->start();
    servers_follower_->start();
    members_follower_->start();
}

void gateway::on_store_reachable(record_topic which, bool reachable,
                                 char const* reason)
{
    log_entry{log_, log_category::belief, "store"}
        .with("ledger", name_of(which))
        .with("reachable", reachable ? "yes" : "no")
        .with("reason", reason);
    if (!reachable) {
        return;
    }
    // The store is probably reachable for the other ledgers, too.
    for (auto const& follower :
         {configuration_follower_, servers_follower_, members_follower_}) {
        follower->retry_now();
    }
}

/// Called when the store was restored from a copy: records written after the
/// copy was made are missing until their writers write them again.
void gateway::on_store_restored(record_topic which, std::uint64_t era)
{
    auto const now = monotonic_clock::now();
    metrics_.count_state_change("store_restored");
    log_entry{log_, log_category::belief, "store_restored"}
        .with("ledger", name_of(which))
        .with("era", era)
        .with("before", follower_of(which).position().era);
    note_era(era, now);
    if (which == record_topic::configuration &&
        !configuration_before_restore_) {
        configuration_before_restore_ =
            configuration_follower_->find_value(configuration_key_);
    } else if (which == record_topic::backend_servers) {
        dispatcher_.on_list_restored(now);
    } else if (which == record_topic::members) {
        members_restored_at_ = now;
        registration_uncertain_ = true;
        origins_exchange_.rewrite = true;
    }
}

record_follower& gateway::follower_of(record_topic which) const
{
    switch (which) {
    case record_topic::configuration:
        return *configuration_follower_;
    case record_topic::backend_servers:
        return *servers_follower_;
    default:
        return *members_follower_;
    }
}

} // namespace medlarstall::gateway
