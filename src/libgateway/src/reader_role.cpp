#include <medlarstall/gateway/reader_role.hpp>

#include <cstddef>

namespace medlarstall::gateway {

namespace {

/// Daemons of each cell that read the store continuously.
constexpr std::size_t max_store_readers = 2;
/// Daemons that try to read the store while it is unreachable.
constexpr std::size_t max_reader_candidates = 12;

} // namespace

reader_role select_reader_role(reader_candidate const& self,
                               std::vector<reader_candidate> const& peers)
{
    std::size_t lower_ranks = 0;
    std::size_t lower_ranks_reading = 0;
    for (auto const& peer : peers) {
        if ((self.ready && !peer.ready) || peer.rank >= self.rank) {
            continue;
        }
        ++lower_ranks;
        lower_ranks_reading += peer.reads_store ? 1 : 0;
    }
    return {lower_ranks == 0, lower_ranks_reading < max_store_readers &&
                                  lower_ranks < max_reader_candidates};
}

} // namespace medlarstall::gateway
