#include "catalogue_service.hpp"

#include "node.hpp"

#include <medlarstall/catalogue/catalogue_reader.hpp>
#include <medlarstall/catalogue/record_codec.hpp>
#include <medlarstall/support/log.hpp>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

constexpr char const* log_name = "catalogue";

/// How long an append may take until its change counts as undecided.
constexpr milliseconds append_time_limit{20'000};
constexpr milliseconds publish_time_limit{25'000};

constexpr milliseconds tick_interval{500};
constexpr milliseconds reread_delay{200};

catalogue::follower_settings
follower_settings_of(daemon_settings const& settings)
{
    catalogue::follower_settings made;
    made.daemon = settings.id;
    made.bootstrap_key_digest = settings.bootstrap_key_digest;
    made.checkpoints.retention = settings.log_retention;
    return made;
}

wall_time wall_now()
{
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace

catalogue_service::catalogue_service(node& shared,
                                     platform_connection& platform,
                                     std::function<void()> on_changed)
    : node_{shared}, platform_{platform}, on_changed_{std::move(on_changed)},
      follower_{std::make_unique<catalogue::catalogue_follower>(
          follower_settings_of(shared.settings))},
      writer_{to_string(shared.new_uuid())}, timer_{shared.io},
      reread_timer_{shared.io}
{}

catalogue_service::~catalogue_service()
{
    alive_.reset();
}

void catalogue_service::start()
{
    restart_reading();
    tick();
}

void catalogue_service::restart_reading()
{
    platform::follower_handlers handlers;
    handlers.on_page = [this](platform::log_page const& page) {
        take_page(page);
    };
    handlers.on_failure = [](error const& problem) {
        log_line{severity::warning, "catalogue_log_unavailable"}
            .with("operation", problem.field)
            .with("message", problem.message);
    };
    platform::follower_settings settings;
    settings.seed = node_.random();
    reader_ = std::make_unique<platform::log_follower<platform_connection>>(
        node_.io, platform_, log_name, settings, std::move(handlers));
    reader_->start(follower_->next_offset());
}

status catalogue_service::adopt_file(std::string const& text)
{
    auto read = catalogue::catalogue_reader{}.read(text);
    if (failed(read)) {
        return error_of(read);
    }
    follower_->adopt(std::move(value_of(read)));
    put_in_force();
    return success();
}

void catalogue_service::take_page(platform::log_page const& page)
{
    for (auto const& record : page.records) {
        if (record.offset < follower_->next_offset()) {
            continue;
        }
        take_record(record);
    }
    auto const bounds = follower_->observe_bounds(page.first, page.end);
    if (failed(bounds)) {
        rebuild(error_of(bounds).message);
        return;
    }
    put_in_force();
    if (reader_->next() > follower_->next_offset()) {
        // A record could not be read, or the search for a checkpoint begins.
        read_again_later();
    }
}

void catalogue_service::read_again_later()
{
    reread_timer_.expires_after(reread_delay);
    reread_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                restart_reading();
            }
        });
}

void catalogue_service::take_record(platform::log_record const& record)
{
    after_apply(follower_->apply(catalogue::log_record{.offset = record.offset,
                                                       .written = record.time,
                                                       .value = record.value}));
}

void catalogue_service::after_apply(catalogue::apply_outcome const& outcome)
{
    if (!outcome.message.empty()) {
        log_line{severity::warning, "catalogue_record"}.with("message",
                                                             outcome.message);
    }
    if (outcome.what == catalogue::apply_result::disagreement) {
        rebuild(outcome.message);
        return;
    }
    if (!outcome.decided) {
        return;
    }
    auto const& decided = *outcome.decided;
    log_line{severity::info, "catalogue_change"}
        .with("change", decided.change_id)
        .with("offset", decided.offset)
        .with("accepted", decided.accepted)
        .with("reason", catalogue::name_of(decided.reason))
        .with("entry", decided.entry);
    auto node = publishes_.extract(decided.change_id);
    if (!node.empty()) {
        for (auto const& waiting : node.mapped()) {
            waiting.on_decided(decided);
        }
    }
}

void catalogue_service::put_in_force()
{
    if (!follower_->ready()) {
        return;
    }
    auto const current = follower_->in_force();
    if (!current || follower_->version().offset < node_.catalogue.version) {
        return;
    }
    bool const changed = node_.catalogue.in_force != current;
    node_.catalogue.in_force = current;
    node_.catalogue.entries =
        std::shared_ptr<catalogue::catalogue const>{current, &current->entries};
    node_.catalogue.version = follower_->version().offset;
    node_.catalogue.digest = follower_->version().chain;
    if (changed) {
        log_line{severity::info, "catalogue_in_force"}
            .with("offset", node_.catalogue.version)
            .with("digest", node_.catalogue.digest);
        on_changed_();
    }
}

void catalogue_service::rebuild(std::string const& reason)
{
    log_line{severity::error, "catalogue_rebuild"}.with("reason", reason);
    // What is in force stays until the new follower has caught up with it.
    auto fresh = std::make_unique<catalogue::catalogue_follower>(
        follower_settings_of(node_.settings));
    follower_ = std::move(fresh);
    read_again_later();
}

void catalogue_service::publish(catalogue::change const& value,
                                publish_callback on_decided)
{
    if (auto const* known = follower_->find_verdict(value.id)) {
        on_decided(*known);
        return;
    }
    publishes_[value.id].push_back(
        {std::move(on_decided), decision_clock::now() + publish_time_limit});
    append(catalogue::record_writer{}.write(value), value.id);
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
        auto node = publishes_.extract(change_id);
        if (node.empty()) {
            return;
        }
        for (auto const& waiting : node.mapped()) {
            waiting.on_decided(error{"log", failure->message});
        }
    };
    platform_.append(log_name,
                     {.writer = writer_,
                      .sequence = next_sequence_++,
                      .records = {std::move(record)}},
                     append_time_limit, std::move(on_done));
}

void catalogue_service::write_checkpoints()
{
    auto records = follower_->due_checkpoint(wall_now());
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

void catalogue_service::tick()
{
    write_checkpoints();
    auto const now = decision_clock::now();
    for (auto& [id, waiting] : publishes_) {
        std::erase_if(waiting, [now](auto const& one) {
            if (now < one.give_up_at) {
                return false;
            }
            one.on_decided(
                error{"log", "the change may yet take effect; publish it again "
                             "with the same change id to learn its fate"});
            return true;
        });
    }
    std::erase_if(publishes_,
                  [](auto const& one) { return one.second.empty(); });
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                tick();
            }
        });
}

nlohmann::json catalogue_service::updates_for(std::uint64_t peer_offset) const
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

void catalogue_service::take_updates(nlohmann::json const& message)
{
    if (message.contains("snapshot") && message["snapshot"].is_string()) {
        auto const adopted =
            follower_->adopt(message["snapshot"].get_ref<std::string const&>());
        if (failed(adopted)) {
            log_line{severity::info, "catalogue_snapshot"}.with(
                "message", error_of(adopted).message);
        }
    } else if (message.contains("records") && message["records"].is_array()) {
        for (auto const& one : message["records"]) {
            auto const record = catalogue::parse_relayed_record(one);
            if (failed(record)) {
                ++node_.figures.bad_messages;
                return;
            }
            after_apply(follower_->apply(value_of(record)));
        }
    }
    put_in_force();
}

} // namespace medlarstall::daemon
