#ifndef MEDLARSTALL_GATEWAY_SCALING_OBSERVER_HPP
#define MEDLARSTALL_GATEWAY_SCALING_OBSERVER_HPP

#include <medlarstall/dispatch/dispatcher.hpp>
#include <medlarstall/dispatch/fleet_cells.hpp>
#include <medlarstall/duty/scaling_sample.hpp>
#include <medlarstall/routes/route_table.hpp>
#include <medlarstall/support/time.hpp>

#include <string>
#include <vector>

namespace medlarstall::gateway {

/// Collects what a daemon knows of the services whose backend servers are
/// ordered. Does no I/O; owned by the gateway.
class scaling_observer
{
public:
    /// \param dispatcher what is known of the backend servers; must outlive
    ///     this object
    explicit scaling_observer(dispatch::dispatcher const& dispatcher)
        : dispatcher_{dispatcher}
    {}

    /// \param table configuration in force
    /// \param cell cell of this daemon. The load of backend servers of other
    ///     cells is unknown, and assumed to be as high as in this one.
    /// \param now current time
    /// \return what is known of each service that has limits for its servers;
    ///     the age of the list is left to the caller
    [[nodiscard]] std::vector<duty::service_sample>
    sample(routes::route_table const& table, dispatch::fleet_cell cell,
           time_point now) const;

private:
    duty::service_sample sample_of(routes::service const& service,
                                   routes::configuration const& configuration,
                                   dispatch::fleet_cell cell,
                                   time_point now) const;
    void count(dispatch::backend_server_entry const& entry,
               duty::service_sample& sample) const;

    dispatch::dispatcher const& dispatcher_;
};

} // namespace medlarstall::gateway

#endif
