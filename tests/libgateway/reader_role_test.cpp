#include <medlarstall/gateway/reader_role.hpp>

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <vector>

namespace {

using medlarstall::gateway::reader_candidate;
using medlarstall::gateway::select_reader_role;

/// \return number of daemons that read the store, each with its own place as
///     its rank
std::size_t count_readers(std::vector<reader_candidate> const& daemons)
{
    std::size_t readers = 0;
    for (auto const& self : daemons) {
        auto peers = daemons;
        std::erase_if(peers, [&](reader_candidate const& item) {
            return item.rank == self.rank;
        });
        readers += select_reader_role(self, peers).reads_continuously ? 1 : 0;
    }
    return readers;
}

std::vector<reader_candidate> make_daemons(std::size_t count, bool ready)
{
    std::vector<reader_candidate> daemons;
    daemons.reserve(count);
    for (std::size_t rank = 0; rank < count; ++rank) {
        daemons.push_back({rank, ready, false});
    }
    return daemons;
}

} // namespace

BOOST_AUTO_TEST_SUITE(reader_role_suite)

// While a fleet started, every daemon took itself for the first reader, as no
// peer was ready: 88 daemons then made some 400 calls of the store more.
BOOST_AUTO_TEST_CASE(a_starting_fleet_has_few_readers)
{
    auto daemons = make_daemons(44, false);
    BOOST_TEST(count_readers(daemons) == 12U);
    daemons[0].reads_store = daemons[1].reads_store = true;
    BOOST_TEST(count_readers(daemons) == 2U);
}

// Stopping daemons do not read for those that go on.
BOOST_AUTO_TEST_CASE(a_ready_daemon_does_not_rely_on_stopping_ones)
{
    auto daemons = make_daemons(44, true);
    for (std::size_t rank = 0; rank < 20; ++rank) {
        daemons[rank].ready = false;
        daemons[rank].reads_store = true;
    }
    auto const peers =
        std::vector<reader_candidate>{daemons.begin(), daemons.begin() + 20};
    BOOST_TEST(select_reader_role(daemons[20], peers).reads_continuously);
    BOOST_TEST(select_reader_role(daemons[20], peers).is_first);
}

BOOST_AUTO_TEST_SUITE_END()
