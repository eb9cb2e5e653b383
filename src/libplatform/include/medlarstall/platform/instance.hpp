#ifndef MEDLARSTALL_PLATFORM_INSTANCE_HPP
#define MEDLARSTALL_PLATFORM_INSTANCE_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::platform {

/// What runs on an instance.
enum class instance_kind
{
    daemon,
    backend_server
};

/// Whether an instance takes new work.
enum class instance_state
{
    live,
    leaving
};

/// An instance as the platform lists it. Plain data.
struct instance
{
    std::string id;
    instance_kind kind = instance_kind::daemon;
    std::string group;   ///< Of a backend server, as the catalogue names it.
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    std::uint16_t peer_port = 0; ///< Of a daemon.
    std::string data_centre;
    instance_state state = instance_state::live;

    bool operator==(instance const&) const = default;
};

/// The platform's list. Plain data.
struct instance_snapshot
{
    std::vector<instance> instances;
    std::chrono::milliseconds age{0}; ///< How old the platform says it is.
};

/// \param object one instance as docs/INTERFACES.md has it
/// \return the instance, or an error that names the member
[[nodiscard]] result<instance> parse_instance(nlohmann::json const& object);

/// \param from an instance
/// \return its JSON form
[[nodiscard]] nlohmann::json to_json(instance const& from);

} // namespace medlarstall::platform

#endif
