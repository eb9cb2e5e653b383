#ifndef MEDLARSTALL_DAEMON_CATALOGUE_SERVICE_HPP
#define MEDLARSTALL_DAEMON_CATALOGUE_SERVICE_HPP

#include "platform_connection.hpp"

#include <medlarstall/catalogue/catalogue_follower.hpp>
#include <medlarstall/catalogue/change.hpp>
#include <medlarstall/platform/log_follower.hpp>
#include <medlarstall/support/time.hpp>

#include <asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::daemon {

struct daemon_context;

/// Keeps the catalogue of a daemon up to date: follows the log, applies records
/// that other daemons relay, publishes the changes of operators and writes
/// checkpoints.
class catalogue_service
{
public:
    /// Receives the verdict on a change, or an error if the verdict did not
    /// become known in time.
    using publish_callback =
        std::function<void(result<catalogue::verdict> const&)>;

    /// \param context state that all services of this daemon share
    /// \param platform holds the catalogue's log
    /// \param on_changed called after another catalogue has come into force
    catalogue_service(daemon_context& context, platform_connection& platform,
                      std::function<void()> on_changed);
    ~catalogue_service();
    catalogue_service(catalogue_service const&) = delete;
    catalogue_service& operator=(catalogue_service const&) = delete;

    /// Starts following the log.
    void start();

    /// Puts a catalogue in force that does not come from the log.
    /// \param text the catalogue as JSON
    /// \return an error if the text is not a valid catalogue
    [[nodiscard]] status install_from_text(std::string const& text);

    /// Appends a change to the log and reports the verdict on it. A change
    /// whose verdict is known already is not appended again.
    /// \param change the change, complete with its author
    /// \param on_decided called exactly once
    void publish(catalogue::change const& change, publish_callback on_decided);

    /// \return the follower of the log, which knows version and verdicts
    [[nodiscard]] catalogue::catalogue_follower const& follower() const
    {
        return *follower_;
    }

    /// Returns the records, or a snapshot, that another daemon lacks.
    /// \param peer_offset log offset up to which that daemon is current
    /// \return message for apply_updates(), or null if that daemon lacks
    ///     nothing or this one has no catalogue yet
    [[nodiscard]] nlohmann::json updates_since(std::uint64_t peer_offset) const;

    /// Applies the updates that another daemon sent.
    /// \param updates what updates_since() returned there
    void apply_updates(nlohmann::json const& updates);

private:
    struct pending_publish
    {
        publish_callback on_decided;
        time_point deadline;
    };

    void on_page_read(platform::log_page const& page);
    void apply_record(platform::log_record const& record);
    void handle_apply_outcome(catalogue::apply_outcome const& outcome);
    void update_catalogue_in_force();
    void append(nlohmann::json record, std::string const& change_id);
    void write_checkpoints();
    void restart_reader();
    void schedule_reader_restart();
    void rebuild_follower(std::string const& reason);
    void on_tick();

    daemon_context& context_;
    platform_connection& platform_;
    std::function<void()> on_changed_;
    std::unique_ptr<catalogue::catalogue_follower> follower_;
    std::unique_ptr<platform::log_follower<platform_connection>> reader_;
    std::map<std::string, std::vector<pending_publish>> pending_publishes_;
    std::string writer_id_;
    std::uint64_t next_sequence_ = 1;
    asio::steady_timer tick_timer_;
    asio::steady_timer reader_restart_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
