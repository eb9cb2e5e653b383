#include <medlarstall/gateway/gateway.hpp>

#include "address_text.hpp"

#include <medlarstall/support/digest.hpp>

#include <functional>
#include <limits>
#include <utility>

namespace medlarstall::gateway {

namespace {

using std::chrono::milliseconds;

/// Minimum times between two fetches of records from other daemons.
constexpr milliseconds list_fetch_interval{250};
constexpr milliseconds members_fetch_interval{1000};
/// Within this time after the store was restored, running daemons write their
/// entries again.
constexpr milliseconds registration_rewrite_period{10000};

/// \return place of a daemon in the order of the hashes of names, in which the
///     readers are selected, from 0 to 1
double place_of(std::string const& name)
{
    return static_cast<double>(hash64(name)) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

/// \return longest time for which a stream of any route may be taken up
duration longest_stream(routes::configuration const& content)
{
    // Callers may wait for longer than the operator wants them to.
    constexpr int time_limits = 2;
    duration longest = std::chrono::seconds{10};
    for (auto const& route : content.routes) {
        if (route.kind == routes::route_kind::stream) {
            longest =
                std::max<duration>(longest, time_limits * route.time_limit);
        }
    }
    return longest;
}

pool_settings pool_limits(gateway_settings const& settings)
{
    pool_settings limits;
    limits.max_connections = settings.max_upstream_connections;
    return limits;
}

std::uint64_t make_incarnation()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

gateway::gateway(asio::io_context& context, gateway_settings settings,
                 platform_adapter adapter, int log_descriptor)
    : context_{context}, settings_{std::move(settings)},
      adapter_{std::move(adapter)}, log_{log_descriptor},
      incarnation_{make_incarnation()}, dispatcher_{dispatch_settings()},
      origins_{started_at_}, pool_{context, pool_limits(settings_)},
      answer_ends_{context, pool_}, capacity_{settings_.resources},
      peer_link_{context,
                 [this](std::string const& from, std::string_view bytes) {
                     on_peer_update(from, bytes);
                 }},
      request_context_{make_request_context()},
      memory_{std::make_shared<http::memory_account>(settings_.max_held_bytes)},
      entry_listener_{context, entry_events(), settings_.max_connections,
                      memory_},
      ready_listener_{context, control_events(),
                      settings_.max_control_connections, memory_},
      directory_listener_{context, control_events(),
                          settings_.max_control_connections, memory_},
      peer_listener_{context, control_events(),
                     settings_.max_control_connections, memory_},
      metrics_listener_{context, control_events(),
                        settings_.max_control_connections, memory_},
      duty_service_{make_duty_service()}, tick_timer_{context},
      configuration_fetches_{hash64(settings_.name), list_fetch_interval},
      servers_fetches_{hash64(settings_.name), list_fetch_interval},
      members_fetches_{hash64(settings_.name), members_fetch_interval},
      servers_age_{place_of(settings_.name)},
      configuration_age_{place_of(settings_.name)}
{
    pool_.on_idle_closed([this](std::string const& id) {
        processes_.on_idle_closed(id, monotonic_clock::now());
    });
}

gateway::~gateway() = default;

dispatch::dispatcher_settings gateway::dispatch_settings() const
{
    dispatch::dispatcher_settings settings;
    settings.data_centre = settings_.data_centre;
    settings.retries = settings_.retries;
    settings.disabled_mechanisms = settings_.disabled_mechanisms;
    settings.start_seed = hash64(settings_.name, incarnation_);
    // Before it was started again, this daemon may have used its part.
    settings.retry_slack_from = settings_.first_start
                                    ? time_point::min()
                                    : started_at_ + settings_.retries.window;
    return settings;
}

request_context gateway::make_request_context()
{
    return {
        context_,
        dispatcher_,
        pool_,
        log_,
        metrics_,
        adapter_.protocol,
        [this] { return monotonic_clock::now() - started_at_; },
        [this] { return servers_follower_->position(); },
        [this] { return age_of_topic(record_topic::backend_servers); },
        [this](sent_prompt_parts note, bool urgent) {
            pending_prompts_.push_back(std::move(note));
            if (urgent) {
                send_peer_update(monotonic_clock::now(), true);
            }
        },
        [this](std::string const& id, std::int64_t started_unix_ms,
               bool refused) {
            on_server_unreachable(id, started_unix_ms, refused);
        },
        [this](std::string const& id, answer_metadata const& metadata,
               std::optional<time_point> sent_at) {
            on_server_metadata(id, metadata, sent_at);
        },
        origins_,
        origins_exchange_.list_reads,
        [this](shared_read::number asked) { return list_is_current(asked); },
        [this] { return store_is_away(); },
        [this](std::string const& service) { refresh_origins(service); },
        [this] { origins_exchange_.urgent = true; },
        processes_,
        [this](std::string const& id) { identify_process(id); },
        [this](std::string const& id, stream_break const& at) {
            return process_may_be_found(id, at);
        },
        [this](std::string const& id, stream_break const& at) {
            return process_has_ended(id, at);
        },
        [this] { read_list(monotonic_clock::now()); },
        [this](std::uint64_t stream, std::string const& service) {
            announce_unidentified(stream, service);
        },
        settings_.name,
        paths_,
        [this](std::string const& service, std::uint64_t hash,
               std::vector<std::string> const& excluded) {
            return find_helper(service, hash, excluded);
        },
        answer_ends_,
        incarnation_,
        [this](std::string const& daemon) {
            return heard_daemons_.find(daemon);
        },
        counts_usage()
            ? [this](std::string const& organisation, time_point began_at) {
                  usage_->count(organisation, began_at);
              }
            : std::function<void(std::string const&, time_point)>{}};
}

status gateway::open_listeners()
{
    auto const open = [](http::http_listener& listener,
                         asio::ip::tcp::endpoint& address) {
        auto outcome = listener.listen(address);
        if (!failed(outcome)) {
            address = listener.address();
        }
        return outcome;
    };
    auto const listeners = {
        std::pair{&entry_listener_, &settings_.entry_address},
        std::pair{&ready_listener_, &settings_.ready_address},
        std::pair{&directory_listener_, &settings_.directory_address},
        std::pair{&peer_listener_, &settings_.peer_address}};
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
    return peer_link_.open({peer.address(), peer.port()});
}

status gateway::start()
{
    if (auto outcome = open_listeners(); failed(outcome)) {
        return outcome;
    }
    auto const now = monotonic_clock::now();
    start_usage(now);
    for (auto const& seed : settings_.seeds) {
        if (seed != format_endpoint(settings_.peer_address)) {
            members_.add(seed, now);
        }
    }
    update_cell();
    log_entry{log_, log_category::state_change, "start"}
        .with("daemon", settings_.name)
        .with("version", MEDLARSTALL_VERSION)
        .with("incarnation", incarnation_)
        .with("entry", format_endpoint(settings_.entry_address))
        .with("peers", format_endpoint(settings_.peer_address))
        .with("seeds", settings_.seeds.size());
    start_followers();
    write_registration(true);
    last_tick_at_ = started_at_ = now;
    initial_parts_requested_ = settings_.first_start;
    if (settings_.first_start) {
        origins_.on_first_start();
        origins_exchange_.history_read = true;
        origins_exchange_.history_whole = true;
    }
    schedule_tick();
    return success();
}

void gateway::write_registration(bool present)
{
    record item;
    item.key = format_endpoint(settings_.peer_address);
    if (present) {
        item.value = settings_.name;
    }
    adapter_.store.write(record_topic::members, std::move(item),
                         [this, present](bool accepted) {
                             on_registration_written(accepted, present);
                         });
}

void gateway::on_registration_written(bool accepted, bool present)
{
    log_entry{log_, log_category::state_change, "membership"}
        .with("present", present ? "yes" : "no")
        .with("accepted", accepted ? "yes" : "no");
    if (accepted || !present || stopping_since_) {
        return;
    }
    constexpr milliseconds retry{500};
    auto timer = std::make_shared<asio::steady_timer>(context_, retry);
    timer->async_wait([this, timer](std::error_code cancelled) {
        if (!cancelled && !stopping_since_) {
            write_registration(true);
        }
    });
}

void gateway::reload(gateway_settings const& settings)
{
    settings_.retries = settings.retries;
    settings_.grace_period = settings.grace_period;
    settings_.directory_ttl = settings.directory_ttl;
    settings_.data_centre = settings.data_centre;
    dispatcher_.set_settings(dispatch_settings());
    auto const now = monotonic_clock::now();
    for (auto const& seed : settings.seeds) {
        if (seed != format_endpoint(settings_.peer_address)) {
            members_.add(seed, now);
        }
    }
    log_entry{log_, log_category::state_change, "reload"}
        .with("accepted", "yes")
        .with("grace", settings_.grace_period)
        .with("retry_slack",
              static_cast<std::int64_t>(settings_.retries.slack));
}

void gateway::reject_reload(error const& problem)
{
    log_entry{log_, log_category::state_change, "reload"}
        .with("accepted", "no")
        .with("field", problem.field)
        .with("reason", problem.message);
}

void gateway::on_configuration(record const& item)
{
    if (!item.value) {
        return; // The configuration in force stays, although it was removed.
    }
    auto read = adapter_.parse_configuration(*item.value);
    if (failed(read)) {
        log_entry{log_, log_category::state_change, "configuration_rejected"}
            .with("offset", item.offset)
            .with("field", error_of(read).field)
            .with("reason", error_of(read).message);
        return;
    }
    auto& content = value_of(read);
    if (route_table_ && content.version <= route_table_->version()) {
        return;
    }
    configuration_key_ = item.key;
    configuration_before_restore_.reset();
    auto const limits = content.limits;
    {
        log_entry line{log_, log_category::belief, "configuration"};
        line.with("version", content.version)
            .with("before", route_table_ ? route_table_->version() : 0)
            .with("offset", item.offset)
            .with("routes", content.routes.size())
            .with("organisations", content.organisations.size());
        add_read(line, item);
    }
    route_table_ = std::make_shared<routes::route_table>(std::move(content));
    dispatcher_.set_routes(route_table_);
    origins_.set_lifetime(longest_stream(route_table_->content()),
                          monotonic_clock::now());
    entry_listener_.set_limits({limits.max_head_bytes, limits.max_body_bytes,
                                limits.head_timeout, limits.idle_timeout});
    schedule_early_requests();
}

/// \return true if the entry changed in more than its sequence number
bool gateway::on_backend_server(record const& item)
{
    auto const now = monotonic_clock::now();
    auto change = dispatch::list_change::none;
    if (item.value) {
        auto const entry = adapter_.parse_backend_server(item.key, *item.value);
        if (failed(entry)) {
            log_entry{log_, log_category::state_change, "entry_rejected"}
                .with("server", item.key)
                .with("field", error_of(entry).field)
                .with("reason", error_of(entry).message);
            change = dispatcher_.remove(item.key, now);
        } else {
            origins_.on_listed(
                {value_of(entry).service, value_of(entry).software_version},
                now);
            processes_.on_entry(value_of(entry),
                                servers_follower_->written_after(item.offset),
                                now);
            change = dispatcher_.apply(value_of(entry), now);
        }
    } else {
        change = dispatcher_.remove(item.key, now);
    }
    log_server_list_change(item, change);
    if (change == dispatch::list_change::added) {
        schedule_early_requests();
    }
    return change != dispatch::list_change::none &&
           change != dispatch::list_change::repeated;
}

/// Adds who read a record from the store, and how old that is.
void gateway::add_read(log_entry& line, record const& item)
{
    if (item.read) {
        line.with("reader", item.read->reader).with("read_age", item.read->age);
    }
}

void gateway::log_server_list_change(record const& item,
                                     dispatch::list_change change)
{
    using dispatch::list_change;
    auto const& id = item.key;
    if (change == list_change::none || change == list_change::updated ||
        change == list_change::repeated) {
        return;
    }
    if (change != list_change::added && change != list_change::lapsed) {
        pool_.close_idle(id);
    }
    auto const* const entry = dispatcher_.find_entry(id);
    log_entry line{log_, log_category::belief, "backend_server"};
    line.with("server", id)
        .with("change", name_of(change))
        .with("service", entry != nullptr ? entry->service : "")
        .with("address", entry != nullptr ? entry->address : "")
        .with("version", entry != nullptr ? entry->software_version : "")
        .with("started", entry != nullptr ? entry->started_unix_ms : 0)
        .with("offset", item.offset);
    add_read(line, item);
}

void gateway::on_member(record const& item)
{
    auto const own = format_endpoint(settings_.peer_address);
    if (item.key == own) {
        registration_uncertain_ = registration_uncertain_ || !item.value;
        return;
    }
    auto const now = monotonic_clock::now();
    note_member_name(item);
    if (item.value) {
        members_.add(item.key, now);
    } else if (members_restored_at_ &&
               now - *members_restored_at_ < registration_rewrite_period &&
               members_.is_live(item.key, now)) {
        return; // It is running and will write its entry again.
    } else {
        if (auto const* const known = members_.find(item.key)) {
            heard_daemons_.forget(known->update.daemon);
        }
        on_member_left(item.key, now);
        members_.remove(item.key);
        note_departure(item.key, now);
    }
    log_entry{log_, log_category::state_change, "member"}
        .with("address", item.key)
        .with("present", item.value ? "yes" : "no")
        .with("offset", item.offset);
}

/// Applies what a backend server reports about itself in an answer: that it is
/// leaving, that it asks for a pause, that it limits its rate, or that it
/// survives few rejections.
void gateway::on_server_metadata(std::string const& id,
                                 answer_metadata const& metadata,
                                 std::optional<time_point> sent_at)
{
    auto const now = monotonic_clock::now();
    if (metadata.leaving && dispatcher_.on_leaving(id, now)) {
        log_server_leaving(id, settings_.name);
    }
    if (metadata.requested_pause) {
        dispatcher_.on_pause_requested(id, *metadata.requested_pause, now);
        metrics_.count_state_change("pause");
        log_entry{log_, log_category::state_change, "pause"}
            .with("server", id)
            .with("wanted", *metadata.requested_pause);
    }
    on_stated_rate_limit(id, metadata, sent_at, now);
    on_stated_rejection_limit(id, metadata, sent_at, now);
}

void gateway::log_server_leaving(std::string const& id,
                                 std::string const& told_by)
{
    metrics_.count_state_change("leaving");
    log_entry{log_, log_category::belief, "leaving"}
        .with("server", id)
        .with("told_by", told_by);
}

/// Writes the entry of this daemon again if the member list has lost it, or
/// removes it again if a restored list still contains it during a stop.
void gateway::verify_registration()
{
    if (!std::exchange(registration_uncertain_, false)) {
        return;
    }
    auto const present = !stopping_since_;
    auto const own = format_endpoint(settings_.peer_address);
    if (members_follower_->find_value(own).has_value() != present) {
        write_registration(present);
    }
}

} // namespace medlarstall::gateway
