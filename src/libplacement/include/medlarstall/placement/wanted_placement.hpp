#ifndef MEDLARSTALL_PLACEMENT_WANTED_PLACEMENT_HPP
#define MEDLARSTALL_PLACEMENT_WANTED_PLACEMENT_HPP

#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/membership/instances.hpp>
#include <medlarstall/placement/placement_types.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace medlarstall::placement {

/// What each backend server should have, by id.
using wanted_map = std::map<std::string, std::set<placement_item>>;

/// Replicas of each model beyond what the catalogue asks for, by name.
using replica_map = std::map<std::string, unsigned>;

/// Works out what each engine should have. The backend servers of a group are
/// ranked for each model by rendezvous hashing, so equal arguments give equal
/// maps, one more replica adds to those before, and a backend server that
/// leaves moves nothing else.
/// \param entries catalogue in force
/// \param servers live backend servers, in any order; leaving ones get nothing
/// \param replicas replicas by demand; a model that is missing has those of
///     the catalogue
/// \return items for each engine; none for plain services
[[nodiscard]] wanted_map
wanted_placement(catalogue::catalogue const& entries,
                 std::vector<membership::backend_server_info> const& servers,
                 replica_map const& replicas);

} // namespace medlarstall::placement

#endif
