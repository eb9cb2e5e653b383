#ifndef MEDLARSTALL_GATEWAY_MEMBER_TABLE_HPP
#define MEDLARSTALL_GATEWAY_MEMBER_TABLE_HPP

#include <medlarstall/gateway/peer_news.hpp>
#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::gateway {

/// How long news of a daemon counts.
struct member_settings
{
    std::chrono::milliseconds live{2000}; ///< After the last news.
    std::chrono::seconds counted{30};     ///< In the share of budgets.
    std::chrono::minutes lost{10};        ///< Then it is taken off the list.
};

/// The daemons of the fleet and what they have last told. Pure; owned by the
/// gateway.
class member_table
{
public:
    /// What is known of another daemon.
    struct member
    {
        std::string address; ///< For news, IP:PORT.
        peer_news news;      ///< The newest.
        time_point heard = time_point::min();
        time_point listed;
    };

    /// \param settings times
    explicit member_table(member_settings settings = {});

    /// Adds a daemon from the list of members or the settings.
    /// \param address where it takes news
    /// \param now current time
    void add(std::string const& address, time_point now);

    /// Removes a daemon that has said that it leaves.
    /// \param address where it took news
    void remove(std::string const& address);

    /// Takes in news.
    /// \param address where the daemon takes news
    /// \param news what it told
    /// \param now current time
    /// \return false if newer news is known already
    bool merge(std::string const& address, peer_news const& news,
               time_point now);

    /// \return number that grows when a daemon is added or removed
    [[nodiscard]] std::uint64_t change() const { return change_; }

    /// \param address where a daemon takes news
    /// \return true if the daemon is listed
    [[nodiscard]] bool knows(std::string const& address) const;

    /// \param address where a daemon takes news
    /// \param now current time
    /// \return true if it was heard of lately
    [[nodiscard]] bool hears(std::string const& address, time_point now) const;

    /// \param now current time
    /// \return daemons heard of lately
    [[nodiscard]] std::vector<member const*> live(time_point now) const;

    /// \param now current time
    /// \return addresses of all daemons to tell news
    [[nodiscard]] std::vector<std::string> addresses() const;

    /// \param among addresses of other daemons
    /// \param now current time
    /// \return number of those that share budgets with this one, which is
    ///     included
    [[nodiscard]] std::size_t sharing(std::vector<std::string> const& among,
                                      time_point now) const;

    /// \param among addresses of other daemons
    /// \param now current time
    /// \return those that have been silent for so long that they are gone
    [[nodiscard]] std::vector<std::string>
    lost(std::vector<std::string> const& among, time_point now) const;

    /// Chooses the addresses that callers should use.
    /// \param own address of this daemon, empty if it takes no callers
    /// \param most longest list
    /// \param now current time
    /// \return addresses of ready daemons
    [[nodiscard]] std::vector<std::string>
    entries(std::string const& own, std::size_t most, time_point now) const;

private:
    bool is_live(member const& item, time_point now) const;
    duration silence_of(std::string const& address, time_point now) const;

    member_settings settings_;
    std::map<std::string, member> members_;
    std::uint64_t change_ = 0;
};

} // namespace medlarstall::gateway

#endif
