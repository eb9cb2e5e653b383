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

struct node;

/// Adds up over the fleet what each organisation is served, along a tree by
/// data centre, and tells the scheduler of this daemon what the others
/// served. So a flood through many owners counts as one.
class share_service
{
public:
    /// Length of the windows in which shares are counted.
    static constexpr std::chrono::seconds window{2};

    using sender = std::function<void(std::string const& daemon,
                                      nlohmann::json const& message)>;

    /// \param shared parts of this daemon
    /// \param send sends a message to another daemon
    share_service(node& shared, sender send);
    ~share_service();
    share_service(share_service const&) = delete;
    share_service& operator=(share_service const&) = delete;

    /// Starts to count and to tell.
    void start();

    /// Takes the live daemons after a change.
    void set_daemons(std::vector<membership::daemon_info> const& live);

    /// Takes a message of another daemon.
    void take(std::string const& from, nlohmann::json const& message);

    /// \return what was served in the last window that has closed
    [[nodiscard]] nlohmann::json last_window() const;

private:
    /// Organisation and class.
    using share_key = std::pair<std::string, std::string>;
    using share_table = std::map<share_key, membership::share_counts>;

    void tick();
    void record_own(std::uint64_t window);
    void close_window(std::uint64_t closed);
    void tell_scheduler(std::uint64_t closed);
    [[nodiscard]] static std::uint64_t current_window();

    node& node_;
    sender send_;
    membership::tree_exchange exchange_;
    share_table counted_; ///< Own counts that were recorded so far.
    std::map<std::uint64_t, share_table> own_; ///< By window.
    std::map<share_key, std::uint64_t> remote_tokens_;
    std::uint64_t closed_ = 0;
    std::uint32_t others_ = 0;
    asio::steady_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace medlarstall::daemon

#endif
