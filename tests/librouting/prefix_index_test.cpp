#include "fleet.hpp"

#include <medlarstall/routing/prefix_index.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <set>

using namespace medlarstall;
using namespace medlarstall::routing;

BOOST_AUTO_TEST_SUITE(prefix_index_suite)

RC_BOOST_PROP(finds_the_same_holders_as_a_reference_table, ())
{
    prefix_index_settings settings;
    settings.capacity = 1024;
    prefix_index index{settings};
    auto const initial_memory = index.memory_bytes();
    std::map<std::pair<server_number, prefix_hash>, std::int64_t> stored;
    std::map<server_number, std::int64_t> gaps;
    std::int64_t const lifetime_ms =
        std::chrono::milliseconds{settings.entry_lifetime}.count();
    std::int64_t now = 0;
    for (int step = 0; step < 60; ++step) {
        now += *rc::gen::element<std::int64_t>(1, 1000, 200'000);
        auto const server = *rc::gen::inRange<server_number>(0, 4);
        prefix_hash const first = *rc::gen::inRange<prefix_hash>(1, 4) * 10;
        std::array<prefix_hash, 3> const prompt{first, first + 1, first + 2};
        switch (*rc::gen::inRange(0, 5)) {
        case 0: {
            auto const depth = *rc::gen::inRange<std::size_t>(1, 4);
            index.store(server, std::span{prompt}.first(depth), at_ms(now));
            for (std::size_t i = 0; i < depth; ++i) {
                stored[{server, prompt[i]}] = now;
            }
            break;
        }
        case 1:
            index.remove(server, prompt[1]);
            stored.erase({server, prompt[1]});
            break;
        case 2:
            index.mark_gap(server, at_ms(now));
            gaps[server] = now;
            break;
        case 3:
            index.remove_server(server);
            std::erase_if(stored, [&](auto const& entry) {
                return entry.first.first == server;
            });
            break;
        default: {
            std::array<prefix_holder, 4> holders;
            auto const count = index.find_holders(prompt, at_ms(now), holders);
            std::set<server_number> found;
            for (auto const& holder : std::span{holders}.first(count)) {
                auto const position =
                    stored.find({holder.server, prompt[holder.depth - 1]});
                RC_ASSERT(position != stored.end());
                RC_ASSERT(now - position->second < lifetime_ms);
                bool const stored_before_gap =
                    gaps.contains(holder.server) &&
                    position->second <= gaps[holder.server];
                RC_ASSERT(holder.confidence == (stored_before_gap ? 0.5 : 1.0));
                found.insert(holder.server);
            }
            RC_ASSERT(found.size() == count);
            for (auto const& [key, stored_at] : stored) {
                bool const has_not_expired = now - stored_at < lifetime_ms;
                bool const of_prompt = key.second / 10 * 10 == first;
                RC_ASSERT(!has_not_expired || !of_prompt ||
                          found.contains(key.first));
            }
        }
        }
        RC_ASSERT(index.memory_bytes() <= initial_memory + 4096);
    }
}

BOOST_AUTO_TEST_CASE(keeps_a_fixed_size_and_the_latest_prefixes)
{
    prefix_index_settings settings;
    settings.capacity = 64;
    prefix_index index{settings};
    auto const initial_memory = index.memory_bytes();
    for (prefix_hash hash = 1; hash <= 10'000; ++hash) {
        index.store(hash % 900, std::span{&hash, 1}, at_ms(std::int64_t(hash)));
    }
    BOOST_TEST(index.memory_bytes() == initial_memory);
    std::array<prefix_holder, 2> holders;
    prefix_hash const last = 10'000;
    BOOST_TEST(
        index.find_holders(std::span{&last, 1}, at_ms(10'001), holders) == 1U);
    prefix_hash const early = 1;
    BOOST_TEST(
        index.find_holders(std::span{&early, 1}, at_ms(10'001), holders) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
