#ifndef MEDLARSTALL_GATEWAY_READER_ROLE_HPP
#define MEDLARSTALL_GATEWAY_READER_ROLE_HPP

#include <cstdint>
#include <vector>

namespace medlarstall::gateway {

/// A live peer, as far as it matters for who reads the store.
struct reader_candidate
{
    std::uint64_t rank = 0; ///< The ready daemons of least rank read the store.
    bool ready = false;
    bool reads_store = false; ///< It is a reader, and the store answers it.
};

/// Whether a daemon reads the store continuously, so that the others need not.
struct reader_role
{
    bool is_first = false;           ///< No ready peer comes before it.
    bool reads_continuously = false; ///< It reads the store for its cell.
};

/// Selects the readers of the store: a few daemons of each cell. If those
/// cannot reach the store, some more daemons try, but never all of them. Peers
/// that are not ready, such as stopping ones, do not count; but while a fleet
/// starts nobody is ready, and a daemon that is not ready itself counts all.
/// \param self this daemon
/// \param peers the live peers that this daemon hears from
/// \return role of this daemon
[[nodiscard]] reader_role
select_reader_role(reader_candidate const& self,
                   std::vector<reader_candidate> const& peers);

} // namespace medlarstall::gateway

#endif
