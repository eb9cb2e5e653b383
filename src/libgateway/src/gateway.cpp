#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <medlarstall/support/digest.hpp>

#include <functional>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_control_connections = 256;
/// Minimum times between two fetches of records from other daemons.
constexpr milliseconds list_fetch_interval{250};
constexpr milliseconds members_fetch_interval{1000};
/// Within this time after the store was restored, running daemons write their
/// entries again.
constexpr milliseconds registration_rewrite_period{10000};

follow_settings configuration_follow_settings()
{
    return {};
}

follow_settings servers_follow_settings()
{
    follow_settings settings;
    settings.pause = milliseconds{700}; // Entries are written continuously.
    return settings;
}

follow_settings members_follow_settings()
{
    follow_settings settings;
    settings.wait = milliseconds{25000};
    settings.pause = milliseconds{1000};
    settings.first_backoff = milliseconds{1000};
    settings.longest_backoff = milliseconds{4000};
    return settings;
}

std::uint64_t make_incarnation()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

gateway::gateway(asio::io_context& context, gateway_settings settings,
                 gateway_translations adapter, int log_descriptor)
    : context_{context}, settings_{std::move(settings)},
      translations_{std::move(adapter)}, log_{log_descriptor},
      dispatcher_{
          {settings_.data_centre, settings_.retries, settings_.without}},
      pool_{context},
      link_{context,
            [this](std::string const& from, std::string_view bytes) {
                on_news(from, bytes);
            }},
      request_context_{make_request_context()},
      entry_{context, entry_events(), settings_.most_connections},
      ready_{context, control_events(), max_control_connections},
      directory_{context, control_events(), max_control_connections},
      peers_{context, control_events(), max_control_connections},
      metrics_listener_{context, control_events(), max_control_connections},
      tick_timer_{context}, incarnation_{make_incarnation()},
      configuration_turns_{hash64(settings_.name), list_fetch_interval},
      servers_turns_{hash64(settings_.name), list_fetch_interval},
      members_turns_{hash64(settings_.name), members_fetch_interval}
{}

gateway::~gateway() = default;

request_context gateway::make_request_context()
{
    return {context_,
            dispatcher_,
            pool_,
            log_,
            metrics_,
            translations_.protocol,
            [this] {
                return cell_.count *
                       members_.sharing(cell_addresses_, decision_clock::now());
            },
            [this] { return servers_follower_->position(); },
            [this](prompt_note note, bool urgent) {
                prompts_to_tell_.push_back(std::move(note));
                if (urgent) {
                    send_news(decision_clock::now(), true);
                }
            },
            [this](std::string const& id) { on_unreachable(id); },
            [this](std::string const& id, answer_facts const& metadata) {
                note_server_facts(id, metadata);
            }};
}

status gateway::open_listeners()
{
    auto const open = [](http::http_listener& listener,
                         asio::ip::tcp::endpoint& address) {
        auto outcome = listener.listen(address);
        address = listener.address();
        return outcome;
    };
    auto const listeners = {
        std::pair{&entry_, &settings_.entry_address},
        std::pair{&ready_, &settings_.ready_address},
        std::pair{&directory_, &settings_.directory_address},
        std::pair{&peers_, &settings_.peer_address}};
    for (auto const& [listener, address] : listeners) {
        if (auto outcome = open(*listener, *address); failed(outcome)) {
            return outcome;
        }
    }
    if (settings_.metrics_address) {
        auto outcome = open(metrics_listener_, *settings_.metrics_address);
        if (failed(outcome)) {
            return outcome;
        }
    }
    auto const& peer = settings_.peer_address;
    return link_.open({peer.address(), peer.port()});
}

status gateway::start()
{
    if (auto outcome = open_listeners(); failed(outcome)) {
        return outcome;
    }
    auto const now = decision_clock::now();
    for (auto const& seed : settings_.seeds) {
        if (seed != text_of(settings_.peer_address)) {
            members_.add(seed, now);
        }
    }
    update_cell();
    decision_line{log_, line_kind::belief, "start"}
        .with("daemon", settings_.name)
        .with("version", MEDLARSTALL_VERSION)
        .with("incarnation", incarnation_)
        .with("entry", text_of(settings_.entry_address))
        .with("peers", text_of(settings_.peer_address))
        .with("seeds", settings_.seeds.size());
    start_followers();
    register_member(true);
    last_tick_ = started_ = now;
    learnt_parts_ = settings_.first_start;
    schedule_tick();
    return success();
}

void gateway::start_followers()
{
    auto const make_follower = [this](ledger which, follow_settings settings,
                                      auto changed) {
        follow_events events;
        events.changed = changed;
        events.restored = [this, which](std::uint64_t era) {
            on_store_restored(which, era);
        };
        events.reachable = [this, which](bool reachable, char const* reason) {
            on_store_reachable(which, reachable, reason);
        };
        return std::make_shared<record_follower>(
            context_, which, translations_.store, settings, std::move(events));
    };
    configuration_follower_ =
        make_follower(ledger::configuration, configuration_follow_settings(),
                      [this](record const& item) {
                          on_configuration(item);
                          return true;
                      });
    servers_follower_ = make_follower(
        ledger::backend_servers, servers_follow_settings(),
        [this](record const& item) { return on_backend_server(item); });
    members_follower_ = make_follower(
        ledger::members, members_follow_settings(), [this](record const& item) {
            on_member(item);
            return true;
        });
    configuration_follower_->start();
    servers_follower_->start();
    members_follower_->start();
}

void gateway::register_member(bool present)
{
    record item;
    item.key = text_of(settings_.peer_address);
    if (present) {
        item.value = settings_.name;
    }
    translations_.store.write(ledger::members, std::move(item),
                              [this, present](bool accepted) {
                                  on_registration_written(accepted, present);
                              });
}

void gateway::on_registration_written(bool accepted, bool present)
{
    decision_line{log_, line_kind::belief, "membership"}
        .with("present", present ? "yes" : "no")
        .with("accepted", accepted ? "yes" : "no");
    if (accepted || !present || stopping_since_) {
        return;
    }
    constexpr milliseconds retry{500};
    auto timer = std::make_shared<asio::steady_timer>(context_, retry);
    timer->async_wait([this, timer](std::error_code cancelled) {
        if (!cancelled && !stopping_since_) {
            register_member(true);
        }
    });
}

void gateway::reload(gateway_settings const& settings)
{
    settings_.retries = settings.retries;
    settings_.grace = settings.grace;
    settings_.directory_ttl = settings.directory_ttl;
    settings_.data_centre = settings.data_centre;
    dispatcher_.set_settings(
        {settings_.data_centre, settings_.retries, settings_.without});
    auto const now = decision_clock::now();
    for (auto const& seed : settings.seeds) {
        if (seed != text_of(settings_.peer_address)) {
            members_.add(seed, now);
        }
    }
    decision_line{log_, line_kind::belief, "reload"}
        .with("accepted", "yes")
        .with("grace", settings_.grace)
        .with("retry_slack",
              static_cast<std::int64_t>(settings_.retries.slack));
}

void gateway::reject_reload(error const& problem)
{
    decision_line{log_, line_kind::belief, "reload"}
        .with("accepted", "no")
        .with("field", problem.field)
        .with("reason", problem.message);
}

void gateway::on_configuration(record const& item)
{
    if (!item.value) {
        return; // The configuration in force stays, although it was removed.
    }
    auto read = translations_.read_configuration(*item.value);
    if (failed(read)) {
        decision_line{log_, line_kind::belief, "configuration_rejected"}
            .with("offset", item.offset)
            .with("field", error_of(read).field)
            .with("reason", error_of(read).message);
        return;
    }
    auto& content = value_of(read);
    if (table_ && content.version <= table_->version()) {
        return;
    }
    configuration_key_ = item.key;
    configuration_before_restore_.reset();
    auto const limits = content.limits;
    decision_line{log_, line_kind::belief, "configuration"}
        .with("version", content.version)
        .with("before", table_ ? table_->version() : 0)
        .with("offset", item.offset)
        .with("routes", content.routes.size())
        .with("organisations", content.organisations.size());
    table_ = std::make_shared<routes::route_table>(std::move(content));
    dispatcher_.set_routes(table_);
    entry_.set_limits({limits.head_bytes, limits.body_bytes,
                       limits.head_timeout, limits.idle_timeout});
    schedule_early_requests();
}

/// \return true if the entry changed in more than its sequence number
bool gateway::on_backend_server(record const& item)
{
    auto const now = decision_clock::now();
    auto change = dispatch::list_change::none;
    if (item.value) {
        auto const entry =
            translations_.read_backend_server(item.key, *item.value);
        if (failed(entry)) {
            decision_line{log_, line_kind::belief, "entry_rejected"}
                .with("server", item.key)
                .with("field", error_of(entry).field)
                .with("reason", error_of(entry).message);
            change = dispatcher_.remove(item.key, now);
        } else {
            change = dispatcher_.apply(value_of(entry), now);
        }
    } else {
        change = dispatcher_.remove(item.key, now);
    }
    log_server_list_change(item.key, change, item.offset);
    if (change == dispatch::list_change::added) {
        schedule_early_requests();
    }
    return change != dispatch::list_change::none &&
           change != dispatch::list_change::repeated;
}

void gateway::log_server_list_change(std::string const& id,
                                     dispatch::list_change change,
                                     std::uint64_t offset)
{
    using dispatch::list_change;
    if (change == list_change::none || change == list_change::updated ||
        change == list_change::repeated) {
        return;
    }
    if (change != list_change::added && change != list_change::lapsed) {
        pool_.drop(id);
    }
    auto const* const entry = dispatcher_.find(id);
    decision_line{log_, line_kind::belief, "backend_server"}
        .with("server", id)
        .with("change", name_of(change))
        .with("service", entry != nullptr ? entry->service : "")
        .with("address", entry != nullptr ? entry->address : "")
        .with("offset", offset);
}

void gateway::on_member(record const& item)
{
    auto const own = text_of(settings_.peer_address);
    if (item.key == own) {
        registration_uncertain_ = registration_uncertain_ || !item.value;
        return;
    }
    auto const now = decision_clock::now();
    if (item.value) {
        members_.add(item.key, now);
    } else if (members_restored_at_ &&
               now - *members_restored_at_ < registration_rewrite_period &&
               members_.hears(item.key, now)) {
        return; // It is running and will write its entry again.
    } else {
        members_.remove(item.key);
    }
    decision_line{log_, line_kind::belief, "member"}
        .with("address", item.key)
        .with("present", item.value ? "yes" : "no")
        .with("offset", item.offset);
}

/// Applies what a backend server reports about itself in an answer: that it is
/// leaving, or that it asks for a pause.
void gateway::note_server_facts(std::string const& id,
                                answer_facts const& metadata)
{
    auto const now = decision_clock::now();
    if (metadata.leaving && dispatcher_.note_leaving(id, now)) {
        log_leaving(id, settings_.name);
    }
    if (metadata.pause) {
        dispatcher_.note_pause(id, *metadata.pause, now);
        metrics_.count_belief("pause");
        decision_line{log_, line_kind::belief, "pause"}
            .with("server", id)
            .with("wanted", *metadata.pause);
    }
}

void gateway::log_leaving(std::string const& id, std::string const& told_by)
{
    metrics_.count_belief("leaving");
    decision_line{log_, line_kind::belief, "leaving"}
        .with("server", id)
        .with("told_by", told_by);
}

void gateway::on_store_reachable(ledger which, bool reachable,
                                 char const* reason)
{
    decision_line{log_, line_kind::belief, "store"}
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
void gateway::on_store_restored(ledger which, std::uint64_t era)
{
    auto const now = decision_clock::now();
    metrics_.count_belief("store_restored");
    decision_line{log_, line_kind::belief, "store_restored"}
        .with("ledger", name_of(which))
        .with("era", era)
        .with("before", follower_of(which).position().era);
    if (which == ledger::configuration && !configuration_before_restore_) {
        configuration_before_restore_ =
            configuration_follower_->value_of(configuration_key_);
    } else if (which == ledger::backend_servers) {
        dispatcher_.note_list_restored(now);
    } else if (which == ledger::members) {
        members_restored_at_ = now;
        registration_uncertain_ = true;
    }
}

/// Writes the entry of this daemon again if the list of members has lost it, or
/// removes it again if a restored list still contains it during a stop.
void gateway::restore_registration()
{
    if (!std::exchange(registration_uncertain_, false)) {
        return;
    }
    auto const present = !stopping_since_;
    auto const own = text_of(settings_.peer_address);
    if (members_follower_->value_of(own).has_value() != present) {
        register_member(present);
    }
}

record_follower& gateway::follower_of(ledger which) const
{
    switch (which) {
    case ledger::configuration:
        return *configuration_follower_;
    case ledger::backend_servers:
        return *servers_follower_;
    default:
        return *members_follower_;
    }
}

} // namespace medlarstall::gateway
