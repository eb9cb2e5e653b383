#include <medlarstall/gateway/peer_news.hpp>
#include <medlarstall/gateway/record_follower.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <utility>

using namespace medlarstall::gateway;

namespace {

/// A store that keeps each question until the test answers it.
struct scripted_store
{
    asio::io_context context;
    page_handler pending;
    bool asked_whole = false;
    std::uint64_t asked_from = 0;
    record_store store;
    std::map<std::string, std::string> known;
    std::vector<std::uint64_t> restored_eras;
    bool reachable = false;
    std::shared_ptr<record_follower> follower;

    /// \param eager whether it reads all the time
    explicit scripted_store(bool eager = true)
    {
        store.read_newest = [this](ledger, page_handler done) {
            asked_whole = true;
            pending = std::move(done);
        };
        store.read_from = [this](ledger, std::uint64_t from,
                                 std::chrono::milliseconds, page_handler done) {
            asked_whole = false;
            asked_from = from;
            pending = std::move(done);
        };
        follow_events events;
        events.changed = [this](record const& item) {
            auto const before = known.find(item.key);
            auto const matters = before == known.end()
                                     ? item.value.has_value()
                                     : item.value != before->second;
            if (item.value) {
                known[item.key] = *item.value;
            } else {
                known.erase(item.key);
            }
            return matters;
        };
        events.restored = [this](std::uint64_t era) {
            restored_eras.push_back(era);
        };
        events.reachable = [this](bool now, char const*) {
            reachable = now;
        };
        follow_settings settings;
        settings.first_backoff = settings.longest_backoff =
            std::chrono::milliseconds{0};
        follower = std::make_shared<record_follower>(
            context, ledger::backend_servers, store, settings,
            std::move(events));
        follower->set_eager(eager);
        if (!eager) {
            follower->start();
        }
    }

    /// Answers the pending question and lets the next one come.
    void answer(page_result outcome)
    {
        auto const handler = std::move(pending);
        pending = nullptr;
        handler(std::move(outcome));
        context.restart();
        while (!pending && context.run_one() > 0) {
        }
    }
};

record_page page(std::vector<record> records, std::uint64_t next,
                 bool whole = false, std::uint64_t era = 0)
{
    return {std::move(records), next, whole, era};
}

} // namespace

BOOST_AUTO_TEST_SUITE(record_follower_suite)

BOOST_AUTO_TEST_CASE(reads_everything_then_goes_on_from_there)
{
    scripted_store world;
    BOOST_TEST(world.asked_whole);
    world.answer(page({{"a", "1", 3}, {"b", "1", 4}}, 5, true));
    BOOST_TEST(world.reachable);
    BOOST_TEST(world.asked_from == 5U);
    world.answer(page({{"a", "2", 5}, {"b", std::nullopt, 6}}, 7));
    BOOST_TEST(world.known.at("a") == "2");
    BOOST_TEST(!world.known.contains("b"));
}

BOOST_AUTO_TEST_CASE(while_others_read_it_reads_once_at_its_start)
{
    scripted_store world{false};
    BOOST_TEST(world.asked_whole);
    auto const handler = std::exchange(world.pending, nullptr);
    handler(page({{"a", "1", 3}}, 4, true));
    world.context.poll();
    BOOST_TEST(world.known.at("a") == "1");
    BOOST_TEST(!world.pending);
    world.follower->set_eager(true);
    BOOST_TEST(world.asked_from == 4U);
}

BOOST_AUTO_TEST_CASE(forgotten_records_are_made_up_for_by_a_whole_read)
{
    scripted_store world;
    world.answer(page({{"a", "1", 3}, {"b", "1", 4}}, 5, true));
    world.answer(store_failure::forgotten);
    BOOST_TEST(world.asked_whole);
    world.answer(page({{"b", "2", 8}}, 9, true));
    BOOST_TEST(!world.known.contains("a")); // Removed in the gap.
    BOOST_TEST(world.known.at("b") == "2");
}

BOOST_AUTO_TEST_CASE(an_old_whole_read_changes_nothing)
{
    scripted_store world;
    world.answer(page({{"a", "2", 8}}, 9, true));
    world.answer(store_failure::forgotten);
    world.answer(page({{"a", "1", 3}, {"gone", "1", 2}}, 5, true));
    BOOST_TEST(world.known.at("a") == "2");
    BOOST_TEST(!world.known.contains("gone"));
}

BOOST_AUTO_TEST_CASE(a_key_added_behind_the_first_page_is_not_missing)
{
    scripted_store world;
    world.answer(page({{"a", "1", 3}}, 4, true));
    world.answer(page({{"new", "1", 4}}, 5));
    world.answer(store_failure::forgotten);
    world.answer(page({{"a", "1", 3}}, 4, true));
    BOOST_TEST(world.known.contains("new"));
}

BOOST_AUTO_TEST_CASE(peers_bring_what_the_store_does_not)
{
    scripted_store world;
    world.answer(page({{"a", "1", 3}}, 4, true));
    world.answer(store_failure::turned_away);
    BOOST_TEST(!world.reachable);
    world.follower->absorb(page({{"a", "2", 4}, {"c", "1", 5}}, 6));
    BOOST_TEST(world.known.at("a") == "2");
    BOOST_TEST(world.follower->position().offset == 6U);
    world.follower->absorb(page({{"a", "0", 2}}, 5));
    BOOST_TEST(world.known.at("a") == "2");
    BOOST_TEST(
        world.follower->changes({0, 5}, change_choice::all).records.size() ==
        1U);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_has_just_started_hands_on_removals)
{
    // In a played day, two daemons learnt from one that had just started, which
    // had never seen the removed key, and went on using its backend server.
    scripted_store old_one;
    old_one.answer(page({{"a", "1", 3}, {"b", "1", 4}}, 5, true));
    scripted_store new_one;
    new_one.answer(page({{"b", "1", 4}}, 6, true)); // "a" was removed at 5.
    auto const bytes =
        encode(new_one.follower->changes({0, 5}, change_choice::all));
    auto const read = decode_page(bytes);
    BOOST_REQUIRE(!medlarstall::failed(read));
    old_one.follower->absorb(medlarstall::value_of(read));
    BOOST_TEST(!old_one.known.contains("a"));
    BOOST_TEST(old_one.known.contains("b"));
}

BOOST_AUTO_TEST_CASE(only_what_matters_is_told_on_in_a_large_fleet)
{
    // At 300 machines each daemon sent its peers 3,000 entries, over and over,
    // of which only a sequence number had changed.
    scripted_store world;
    world.answer(page({{"a", "1", 3}, {"b", "1", 4}}, 5, true));
    BOOST_TEST(world.follower->changed_to().offset == 5U);
    world.answer(page({{"a", "1", 5}, {"b", "1", 6}}, 7));
    BOOST_TEST(world.follower->changed_to().offset == 5U);
    BOOST_TEST(world.follower->position().offset == 7U);
    auto const count = [&world](change_choice which) {
        return world.follower->changes({0, 5}, which).records.size();
    };
    BOOST_TEST(count(change_choice::all) == 2U);
    BOOST_TEST(count(change_choice::that_matter) == 0U);
    world.answer(page({{"b", "2", 7}, {"a", std::nullopt, 8}}, 9));
    BOOST_TEST(world.follower->changed_to().offset == 9U);
    BOOST_TEST(count(change_choice::that_matter) == 2U);
}

BOOST_AUTO_TEST_CASE(after_a_whole_read_anything_before_may_matter)
{
    // A removal that was never seen must not be skipped by others.
    scripted_store world;
    world.answer(page({{"b", "1", 4}}, 9, true)); // "a" was removed at 5.
    BOOST_TEST(world.follower->changed_to().offset == 9U);
}

BOOST_AUTO_TEST_CASE(a_daemon_goes_on_behind_what_does_not_matter)
{
    scripted_store world;
    world.answer(page({{"a", "1", 3}}, 4, true));
    world.follower->skip_to({0, 9});
    BOOST_TEST(world.follower->position().offset == 9U);
    world.follower->skip_to({0, 6});
    BOOST_TEST(world.follower->position().offset == 9U);
    scripted_store unread;
    unread.follower->skip_to({0, 9}); // Knows nothing yet: it must read.
    BOOST_TEST(unread.follower->position().offset == 0U);
}

BOOST_AUTO_TEST_CASE(a_late_answer_brings_back_no_removed_key)
{
    scripted_store world;
    world.answer(page({}, 0, true));
    world.follower->absorb(page({}, 2, true)); // "a" came and went meanwhile.
    world.answer(page({{"a", "1", 0}}, 1));
    BOOST_TEST(!world.known.contains("a"));
}

BOOST_AUTO_TEST_CASE(an_answer_to_a_question_of_an_older_era_is_no_sequel)
{
    scripted_store world;
    world.answer(page({{"a", "1", 0}}, 1, true, 1));
    world.follower->absorb(page({}, 0, true, 2));
    world.answer(page({}, 1, false, 2)); // From 1, though 0 is not known.
    BOOST_TEST(world.asked_whole);
}

BOOST_AUTO_TEST_CASE(the_first_offset_of_a_new_era_is_taken)
{
    scripted_store world;
    world.answer(page({{"a", "1", 0}}, 1, true, 1));
    world.follower->absorb(page({}, 0, true, 2));
    world.follower->absorb(page({{"a", "2", 0}}, 1, false, 2));
    BOOST_TEST(world.known.at("a") == "2");
}

BOOST_AUTO_TEST_CASE(a_new_era_is_begun_with_all_its_records)
{
    scripted_store world;
    world.answer(page({{"a", "9", 8}, {"b", "1", 3}}, 9, true, 1));
    world.answer(page({{"c", "1", 9}}, 10, false, 2)); // Offsets mean nothing.
    BOOST_TEST(world.asked_whole);
    BOOST_TEST(!world.known.contains("c"));
    world.answer(page({{"a", "1", 2}, {"c", "1", 3}}, 4, true, 2));
    BOOST_TEST(world.known.at("a") == "1");
    BOOST_TEST(!world.known.contains("b"));
    BOOST_TEST((world.follower->position() == store_position{2, 4}));
    BOOST_TEST(world.restored_eras == std::vector<std::uint64_t>{2},
               boost::test_tools::per_element());
    BOOST_TEST(world.asked_from == 4U);
}

BOOST_AUTO_TEST_CASE(offsets_that_the_store_lost_lead_to_a_whole_read)
{
    scripted_store world;
    world.answer(page({{"a", "9", 8}}, 9, true, 1));
    world.answer(store_failure::forgotten); // It no longer reaches to 9.
    BOOST_TEST(world.asked_whole);
    world.answer(page({{"a", "1", 2}}, 3, true, 2));
    BOOST_TEST(world.known.at("a") == "1");
    BOOST_TEST(world.asked_from == 3U);
}

BOOST_AUTO_TEST_CASE(a_late_answer_of_an_older_era_is_dropped)
{
    scripted_store world;
    world.answer(page({{"a", "1", 2}}, 3, true, 2));
    world.answer(page({{"a", "9", 8}}, 9, false, 1));
    BOOST_TEST(world.known.at("a") == "1");
    BOOST_TEST(!world.reachable);
    world.follower->absorb(page({{"a", "9", 8}}, 9, true, 1));
    BOOST_TEST(world.known.at("a") == "1");
}

BOOST_AUTO_TEST_CASE(peers_of_an_older_era_are_handed_everything)
{
    scripted_store old_one;
    old_one.answer(page({{"a", "9", 8}, {"b", "1", 4}}, 9, true, 1));
    scripted_store new_one;
    new_one.answer(page({{"b", "2", 3}}, 4, true, 2));
    auto const handed = new_one.follower->changes(old_one.follower->position(),
                                                  change_choice::that_matter);
    BOOST_TEST(handed.whole);
    auto const read = decode_page(encode(handed));
    BOOST_REQUIRE(!medlarstall::failed(read));
    old_one.follower->absorb(medlarstall::value_of(read));
    BOOST_TEST(!old_one.known.contains("a"));
    BOOST_TEST(old_one.known.at("b") == "2");
    BOOST_TEST((old_one.follower->position() == store_position{2, 4}));
    old_one.follower->skip_to({3, 7});
    BOOST_TEST((old_one.follower->position() == store_position{2, 4}));
}

BOOST_AUTO_TEST_SUITE_END()
