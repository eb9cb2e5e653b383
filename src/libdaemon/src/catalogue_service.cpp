#include "catalogue_service.hpp"

#include "daemon_context.hpp"

#include <medlarstall/catalogue/catalogue_reader.hpp>
#include <medlarstall/catalogue/record_codec.hpp>
#include <medlarstall/support/log.hpp>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

constexpr char const* log_name = "catalogue";

/// An append that takes longer has an unknown effect on the log.
constexpr milliseconds append_time_limit{20'000};

/// A publish whose verdict is not known after this time fails.
constexpr milliseconds publish_time_limit{25'000};

constexpr milliseconds tick_interval{500};
/// Delay before the log is read again from the follower's offset.
constexpr milliseconds reader_restart_delay{200};

catalogue::follower_settings
follower_settings_of(daemon_settings const& settings)
{
    catalogue::follower_settings follower_settings;
    follower_settings.daemon_id = settings.id;
    follower_settings.bootstrap_key_digest = settings.bootstrap_key_digest;
    follower_settings.checkpoints.retention = settings.log_retention;
    return follower_settings;
}

wall_time wall_now()
{
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace

catalogue_service::catalogue_service(daemon_context& context,
                                     platform_connection& platform,
                                     std::function<void()> on_changed)
    : context_{context}, platform_{platform},
      on_changed_{std::move(on_changed)},
      follower_{std::make_unique<catalogue::catalogue_follower>(
          follower_settings_of(context.settings))},
      writer_id_{to_string(context.new_uuid())}, tick_timer_{context.io},
      reader_restart_timer_{context.io}
{}

catalogue_service::~catalogue_service()
{
    alive_.reset();
}

void catalogue_service::start()
{
    restart_reader();
    on_tick();
}

void catalogue_service::restart_reader()
{
    platform::follower_handlers handlers;
    handlers.on_page = [this](platform::log_page const& page) {
        on_page_read(page);
    };
    handlers.on_failure = [](error const& problem) {
        log_line{severity::warning, "catalogue_log_unavailable"}
            .with("operation", problem.field)
            .with("message", problem.message);
    };
    platform::follower_settings settings;
    settings.seed = context_.random();
    reader_ = std::make_unique<platform::log_follower<platform_connection>>(
        context_.io, platform_, log_name, settings, std::move(handlers));
    reader_->start(follower_->next_offset());
}

status catalogue_service::install_from_text(std::string const& text)
{
    auto read = catalogue::catalogue_reader{}.read(text);
    if (failed(read)) {
        return error_of(read);
    }
    follower_->install(std::move(value_of(read)));
    update_catalogue_in_force();
    return success();
}

void catalogue_service::on_page_read(platform::log_page const& page)
{
    for (auto const& record : page.records) {
        if (record.offset < follower_->next_offset()) {
            continue;
        }
        apply_record(record);
    }
    auto const bounds = follower_->update_log_bounds(page.first, page.end);
    if (failed(bounds)) {
        rebuild_follower(error_of(bounds).message);
        return;
    }
    update_catalogue_in_force();
    if (reader_->next() > follower_->next_offset()) {
        // A record could not be read, or the follower has to search for a
        // checkpoint: read the log again from the follower's offset.
        schedule_reader_restart();
    }
}

void catalogue_service::schedule_reader_restart()
{
    reader_restart_timer_.expires_after(reader_restart_delay);
    reader_restart_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                restart_reader();
            }
        });
}

void catalogue_service::apply_record(platform::log_record const& record)
{
    handle_apply_outcome(
        follower_->apply(catalogue::log_record{.offset = record.offset,
                                               .written_at = record.time,
                                               .value = record.value}));
}

void catalogue_service::handle_apply_outcome(
    catalogue::apply_outcome const& outcome)
{
    if (!outcome.message.empty()) {
        log_line{severity::warning, "catalogue_record"}.with("message",
                                                             outcome.message);
    }
    if (outcome.kind == catalogue::apply_result::digest_mismatch) {
        rebuild_follower(outcome.message);
        return;
    }
    if (!outcome.decision) {
        return;
    }
    auto const& verdict = *outcome.decision;
    log_line{severity::info, "catalogue_change"}
        .with("change", verdict.change_id)
        .with("offset", verdict.offset)
        .with("accepted", verdict.accepted)
        .with("reason", catalogue::name_of(verdict.reason))
        .with("entry", verdict.entry);
    auto pending = pending_publishes_.extract(verdict.change_id);
    if (!pending.empty()) {
        for (auto const& waiter : pending.mapped()) {
            waiter.on_decided(verdict);
        }
    }
}

void catalogue_service::update_catalogue_in_force()
{
    if (!follower_->ready()) {
        return;
    }
    auto const current = follower_->in_force();
    if (!current || follower_->version().offset < context_.catalogue.version) {
        return;
    }
    bool const changed = context_.catalogue.in_force != current;
    context_.catalogue.in_force = current;
    context_.catalogue.entries =
        std::shared_ptr<catalogue::catalogue const>{current, &current->entries};
    context_.catalogue.version = follower_->version().offset;
    context_.catalogue.digest = follower_->version().chain_digest;
    if (changed) {
        log_line{severity::info, "catalogue_in_force"}
            .with("offset", context_.catalogue.version)
            .with("digest", context_.catalogue.digest);
        on_changed_();
    }
}

void catalogue_service::rebuild_follower(std::string const& reason)
{
    log_line{severity::error, "catalogue_rebuild"}.with("reason", reason);
    // The current catalogue stays in force until the new follower has
    // reached its version.
    auto new_follower = std::make_unique<catalogue::catalogue_follower>(
        follower_settings_of(context_.settings));
    follower_ = std::move(new_follower);
    schedule_reader_restart();
}

void catalogue_service::publish(catalogue::change const& change,
                                publish_callback on_decided)
{
    if (auto const* verdict = follower_->find_verdict(change.id)) {
        on_decided(*verdict);
        return;
    }
    pending_publishes_[change.id].push_back(
        {std::move(on_decided), monotonic_clock::now() + publish_time_limit});
    append(catalogue::record_writer{}.write(change), change.id);
}

void catalogue_service::append(nlohmann::json record,
                               std::string const& change_id)
{
    auto on_done = [this, change_id, alive = std::weak_ptr{alive_}](
                       platform::append_outcome const& outcome) {
        auto const* failure = std::get_if<platform::append_failure>(&outcome);
        if (alive.expired() || failure == nullptr || failure->may_take_effect) {
            return;
        }
        auto pending = pending_publishes_.extract(change_id);
        if (pending.empty()) {
            return;
        }
        for (auto const& waiter : pending.mapped()) {
            waiter.on_decided(error{"log", failure->message});
        }
    };
    platform_.append(log_name,
                     {.writer = writer_id_,
                      .sequence = next_sequence_++,
                      .records = {std::move(record)}},
                     append_time_limit, std::move(on_done));
}

void catalogue_service::write_checkpoints()
{
    auto records = follower_->take_due_checkpoint(wall_now());
    if (records.empty()) {
        return;
    }
    log_line{severity::info, "catalogue_checkpoint"}
        .with("offset", follower_->version().offset)
        .with("parts", records.size());
    for (auto& record : records) {
        append(std::move(record), {});
    }
}

void catalogue_service::on_tick()
{
    write_checkpoints();
    auto const now = monotonic_clock::now();
    for (auto& [id, waiters] : pending_publishes_) {
        std::erase_if(waiters, [now](auto const& waiter) {
            if (now < waiter.deadline) {
                return false;
            }
            waiter.on_decided(error{
                "log", "the change may still take effect; publish it again "
                       "with the same change id to learn the verdict"});
            return true;
        });
    }
    std::erase_if(pending_publishes_,
                  [](auto const& entry) { return entry.second.empty(); });
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                on_tick();
            }
        });
}

nlohmann::json catalogue_service::updates_since(std::uint64_t peer_offset) const
{
    if (!follower_->ready() || peer_offset >= follower_->version().offset) {
        return nullptr;
    }
    auto const records = follower_->records_from(peer_offset);
    if (!records) {
        return {{"snapshot", follower_->snapshot()}};
    }
    auto list = nlohmann::json::array();
    for (auto const& record : *records) {
        list.push_back(to_json(record));
    }
    return {{"records", std::move(list)}};
}

void catalogue_service::apply_updates(nlohmann::json const& updates)
{
    if (updates.contains("snapshot") && updates["snapshot"].is_string()) {
        auto const installed = follower_->install(
            updates["snapshot"].get_ref<std::string const&>());
        if (failed(installed)) {
            log_line{severity::info, "catalogue_snapshot"}.with(
                "message", error_of(installed).message);
        }
    } else if (updates.contains("records") && updates["records"].is_array()) {
        for (auto const& encoded : updates["records"]) {
            auto const record = catalogue::parse_relayed_record(encoded);
            if (failed(record)) {
                ++context_.daemon_metrics.bad_peer_messages;
                return;
            }
            handle_apply_outcome(follower_->apply(value_of(record)));
        }
    }
    update_catalogue_in_force();
}

} // namespace medlarstall::daemon
