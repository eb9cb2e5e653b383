#ifndef MEDLARSTALL_DAEMON_SHARE_SERVICE_HPP
#define MEDLARSTALL_DAEMON_SHARE_SERVICE_HPP

#include <medlarstall/membership/tree_exchange.hpp>
#include <medlarstall/scheduling/events.hpp>

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::daemon {

struct daemon_context;

/// Sums the usage of each organisation over the fleet, along an aggregation
/// tree by data centre, and reports the usage at the other daemons to the
/// scheduler of this daemon. An organisation that sends its requests through
/// many owners is therefore limited by the sum of them.
class share_service
{
public:
    /// Length of the time windows in which usage is counted.
    static constexpr std::chrono::seconds window_length{5};

    using message_sender = std::function<void(std::string const& daemon,
                                              nlohmann::json const& message)>;

    /// \param context state that all services of this daemon share
    /// \param send_message sends a message to another daemon
    share_service(daemon_context& context, message_sender send_message);
    ~share_service();
    share_service(share_service const&) = delete;
    share_service& operator=(share_service const&) = delete;

    /// Starts counting the usage and exchanging it with other daemons.
    void start();

    /// Sets the live daemons, which form the aggregation tree.
    void set_live_daemons(std::vector<membership::daemon_info> const& live);

    /// Applies a message of another daemon.
    /// \param from id of the sender
    /// \param message a message of the aggregation tree
    void on_message(std::string const& from, nlohmann::json const& message);

    /// \return number, length and usage of the last closed window, as JSON
    [[nodiscard]] nlohmann::json last_window() const;

private:
    /// Organisation and service class.
    using share_key = std::pair<std::string, std::string>;
    using share_table = std::map<share_key, membership::share_counts>;

    void on_tick();
    void record_local_usage(std::uint64_t window);
    void close_window(std::uint64_t window);
    void report_remote_usage(std::uint64_t window);
    [[nodiscard]] static std::uint64_t current_window();

    daemon_context& context_;
    message_sender send_message_;
    membership::tree_exchange tree_exchange_;
    share_table recorded_totals_; ///< Local usage that was recorded so far.
    std::map<std::uint64_t, share_table>
        local_counts_; ///< Local usage by window.
    /// Tokens served by other daemons in all closed windows.
    std::map<share_key, std::uint64_t> remote_tokens_;
    std::uint64_t last_closed_window_ = 0;
    std::uint32_t other_daemon_count_ = 0;
    asio::steady_timer tick_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
