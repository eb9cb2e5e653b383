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

struct node;

/// Keeps the catalogue of a daemon up to date: follows the log, takes what
/// peers pass on, publishes operators' changes and writes checkpoints.
class catalogue_service
{
public:
    /// Called with what the log decided about a change, or why it could not
    /// be learned in time.
    using publish_callback =
        std::function<void(result<catalogue::verdict> const&)>;

    /// \param shared parts of this daemon
    /// \param platform the platform's log
    /// \param on_changed called after another catalogue came into force
    catalogue_service(node& shared, platform_connection& platform,
                      std::function<void()> on_changed);
    ~catalogue_service();
    catalogue_service(catalogue_service const&) = delete;
    catalogue_service& operator=(catalogue_service const&) = delete;

    /// Starts to follow the log.
    void start();

    /// Puts a catalogue from a file in force, without a log.
    /// \param text JSON text
    /// \return what is wrong with it
    [[nodiscard]] status adopt_file(std::string const& text);

    /// Appends a change and waits until it is decided.
    /// \param value change, complete with its author
    /// \param on_decided called once
    void publish(catalogue::change const& value, publish_callback on_decided);

    /// \return the follower, for its version and state
    [[nodiscard]] catalogue::catalogue_follower const& follower() const
    {
        return *follower_;
    }

    /// Gives what a peer lacks.
    /// \param peer_offset offset that the peer has applied
    /// \return a message for the peer, or null if it lacks nothing
    [[nodiscard]] nlohmann::json updates_for(std::uint64_t peer_offset) const;

    /// Takes what a peer sent from updates_for().
    /// \param message the message
    void take_updates(nlohmann::json const& message);

private:
    struct waiting_publish
    {
        publish_callback on_decided;
        time_point give_up_at;
    };

    void take_page(platform::log_page const& page);
    void take_record(platform::log_record const& record);
    void after_apply(catalogue::apply_outcome const& outcome);
    void put_in_force();
    void append(nlohmann::json record, std::string const& change_id);
    void write_checkpoints();
    void restart_reading();
    void read_again_later();
    void rebuild(std::string const& reason);
    void tick();

    node& node_;
    platform_connection& platform_;
    std::function<void()> on_changed_;
    std::unique_ptr<catalogue::catalogue_follower> follower_;
    std::unique_ptr<platform::log_follower<platform_connection>> reader_;
    std::map<std::string, std::vector<waiting_publish>> publishes_;
    std::string writer_;
    std::uint64_t next_sequence_ = 1;
    asio::steady_timer timer_;
    asio::steady_timer reread_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
