#ifndef MEDLARSTALL_DISPATCH_LIMIT_DIVISION_HPP
#define MEDLARSTALL_DISPATCH_LIMIT_DIVISION_HPP

#include <medlarstall/dispatch/listed_servers.hpp>
#include <medlarstall/dispatch/rate_permits.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::dispatch {

/// The daemons of the fleet, each by the address of its peer listener.
struct fleet_daemons
{
    std::string own; ///< Address of this daemon.
    /// All daemons, including this one.
    std::vector<std::string> all;
    /// Those that share the rate limits of backend servers.
    std::vector<std::string> limit_sharers;
};

/// Tells which daemons share the rate limit of a backend server: those whose
/// cells use it. Does no I/O; owned by the dispatcher.
class limit_division
{
public:
    /// \param fleet the daemons; only this one before the first call
    void set_fleet(fleet_daemons fleet);

    /// Called when backend servers were added or removed, so that the cells may
    /// use others than before.
    void on_servers_changed() { ++revision_; }

    /// \return number that increases when sharers_of() may return other values
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// \param entry a backend server of the list
    /// \param listed the list
    /// \return the daemons that share its rate limit
    [[nodiscard]] limit_sharers sharers_of(backend_server_entry const& entry,
                                           listed_servers const& listed);

private:
    /// Backend servers whose rate limits the same daemons share.
    struct part
    {
        std::vector<std::string> servers; ///< Their ids, sorted.
        /// Hashes of the names of the daemons.
        std::shared_ptr<std::vector<std::uint64_t> const> daemons;
    };

    std::vector<part> divide(std::string const& service,
                             listed_servers const& listed) const;

    fleet_daemons fleet_{"", {""}, {""}};
    std::uint64_t revision_ = 1;
    /// For each service, its parts.
    std::map<std::string, std::vector<part>, std::less<>> parts_;
    /// Value of revision_ from which parts_ was computed.
    std::uint64_t parts_revision_ = 0;
};

} // namespace medlarstall::dispatch

#endif
