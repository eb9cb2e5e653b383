#ifndef MEDLARSTALL_DAEMON_CATALOGUE_VIEW_HPP
#define MEDLARSTALL_DAEMON_CATALOGUE_VIEW_HPP

#include <medlarstall/catalogue/catalogue_follower.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace medlarstall::daemon {

/// The catalogue in force at this daemon. Plain data; requests keep the
/// pointer, so a change does not touch what they were admitted by.
struct catalogue_view
{
    std::shared_ptr<catalogue::catalogue_in_force const> in_force;
    std::shared_ptr<catalogue::catalogue const> entries; ///< Of in_force.
    std::uint64_t version = 0;                           ///< Offset in the log.
    std::string digest;

    /// \return false until a catalogue was put in force
    [[nodiscard]] bool ready() const { return entries != nullptr; }
};

} // namespace medlarstall::daemon

#endif
