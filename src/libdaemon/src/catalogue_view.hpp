#ifndef MEDLARSTALL_DAEMON_CATALOGUE_VIEW_HPP
#define MEDLARSTALL_DAEMON_CATALOGUE_VIEW_HPP

#include <medlarstall/catalogue/catalogue_follower.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace medlarstall::daemon {

/// The catalogue in force at this daemon. Plain data. A request keeps the
/// pointer that was current on its admission, so a later change of the
/// catalogue does not affect it.
struct catalogue_view
{
    std::shared_ptr<catalogue::catalogue_in_force const> in_force;
    std::shared_ptr<catalogue::catalogue const> entries; ///< Part of in_force.
    std::uint64_t version = 0;                           ///< Log offset.
    std::string digest; ///< Chain digest at that offset.

    /// \return false until the first catalogue is in force
    [[nodiscard]] bool ready() const { return entries != nullptr; }
};

} // namespace medlarstall::daemon

#endif
