#include <medlarstall/catalogue/acceptance.hpp>
#include <medlarstall/catalogue/validation.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/uuid.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <set>

using namespace medlarstall;
using namespace medlarstall::catalogue;

namespace {

std::string const bootstrap = sha256_hex("bootstrap");

/// Owners of the operator keys; the first is the consortium's.
std::vector<std::string> const owners{"all", "coteau", "moruga"};

std::string change_id(unsigned number)
{
    return to_string(make_uuid_v7(wall_time{}, 0, number));
}

change made_by(unsigned author, unsigned id, std::vector<edit> edits)
{
    return {.id = change_id(id),
            .author = owners.at(author),
            .author_key_digest = sha256_hex(owners.at(author)),
            .edits = std::move(edits)};
}

edit put(any_entry value, revision expected)
{
    auto const kind = static_cast<entry_kind>(value.index());
    auto const name =
        std::visit([](auto const& entry) { return entry.name; }, value);
    return {kind, name, expected, std::move(value)};
}

catalogue_state with_operators()
{
    std::vector<edit> edits;
    edits.reserve(owners.size());
    for (auto const& owner : owners) {
        edits.push_back(put(operator_key{.name = owner,
                                         .owner = owner,
                                         .key_digest = sha256_hex(owner),
                                         .consortium = owner == "all"},
                            0));
    }
    catalogue_state state;
    auto first = made_by(0, 0, edits);
    first.author_key_digest = bootstrap;
    BOOST_REQUIRE(decide(state, first, 0, bootstrap).accepted);
    return state;
}

/// A random edit of one of four groups or of a service that names one.
struct random_edit
{
    unsigned name = 0;
    unsigned owner = 0;
    unsigned age = 0; ///< How many revisions the author is behind.
    bool remove = false;
    bool of_service = false;
    unsigned group = 0;
};

struct random_change
{
    unsigned id = 0;
    unsigned author = 0;
    std::vector<random_edit> edits;
};

auto random_edits()
{
    return rc::gen::build<random_edit>(
        rc::gen::set(&random_edit::name, rc::gen::inRange(0U, 3U)),
        rc::gen::set(&random_edit::owner, rc::gen::inRange(0U, 3U)),
        rc::gen::set(&random_edit::age, rc::gen::weightedElement<unsigned>(
                                            {{6, 0U}, {1, 1U}, {1, 2U}})),
        rc::gen::set(&random_edit::remove,
                     rc::gen::weightedElement<bool>({{3, false}, {1, true}})),
        rc::gen::set(&random_edit::of_service),
        rc::gen::set(&random_edit::group, rc::gen::inRange(0U, 3U)));
}

auto random_changes()
{
    return rc::gen::container<std::vector<random_change>>(
        rc::gen::build<random_change>(
            rc::gen::set(&random_change::id, rc::gen::inRange(1U, 60U)),
            rc::gen::set(&random_change::author, rc::gen::inRange(0U, 3U)),
            rc::gen::set(
                &random_change::edits,
                rc::gen::resize(3, rc::gen::container<std::vector<random_edit>>(
                                       random_edits())))));
}

/// Replays changes by the documented rules, one entry at a time.
class oracle
{
public:
    struct item
    {
        unsigned owner = 0;
        revision at = 0;
        unsigned group = 0;
        std::string changed_by;
    };

    /// \return whether the change is accepted
    bool replay(random_change const& value, std::uint64_t offset,
                std::vector<revision> const& expected)
    {
        auto const [seen, fresh] = decided_.emplace(value.id, false);
        if (!fresh) {
            return seen->second;
        }
        auto after = items;
        for (std::size_t i = 0; i < value.edits.size(); ++i) {
            if (!allowed(value, value.edits[i], expected[i])) {
                return false;
            }
            auto const& one = value.edits[i];
            auto const key = std::pair{one.of_service, one.name};
            after.erase(key);
            if (!one.remove) {
                after[key] = {one.owner, offset + 1, one.group,
                              change_id(value.id)};
            }
        }
        if (!references_hold(after) || takes_group(value, after)) {
            return false;
        }
        items = after;
        seen->second = true;
        return true;
    }

    std::map<std::pair<bool, unsigned>, item> items;

private:
    bool allowed(random_change const& value, random_edit const& one,
                 revision expected) const
    {
        auto const found = items.find({one.of_service, one.name});
        auto const at = found == items.end() ? 0 : found->second.at;
        if (expected != at || (one.remove && at == 0)) {
            return false;
        }
        bool const held = at == 0 || found->second.owner == value.author;
        return value.author == 0 ||
               (held && (one.remove || one.owner == value.author));
    }

    static bool
    references_hold(std::map<std::pair<bool, unsigned>, item> const& after)
    {
        for (auto const& [key, value] : after) {
            if (key.first && !after.contains({false, value.group})) {
                return false;
            }
        }
        return true;
    }

    bool
    takes_group(random_change const& value,
                std::map<std::pair<bool, unsigned>, item> const& after) const
    {
        for (auto const& one : value.edits) {
            auto const found = items.find({true, one.name});
            bool const kept =
                found != items.end() && found->second.group == one.group;
            if (one.of_service && !one.remove && value.author != 0 && !kept &&
                after.at({false, one.group}).owner != value.author) {
                return true;
            }
        }
        return false;
    }

    std::map<unsigned, bool> decided_;
};

std::string name_of_item(bool of_service, unsigned number)
{
    return (of_service ? "service" : "group") + std::to_string(number);
}

revision revision_of(medlarstall::catalogue::catalogue const& entries,
                     random_edit const& one)
{
    auto const name = name_of_item(one.of_service, one.name);
    if (one.of_service) {
        auto const found = entries.services.find(name);
        return found == entries.services.end() ? 0 : found->second.at;
    }
    auto const found = entries.groups.find(name);
    return found == entries.groups.end() ? 0 : found->second.at;
}

edit to_edit(random_edit const& one, revision expected)
{
    auto const name = name_of_item(one.of_service, one.name);
    if (one.remove) {
        return {one.of_service ? entry_kind::service : entry_kind::group, name,
                expected, std::nullopt};
    }
    auto const& owner = owners.at(one.owner);
    if (one.of_service) {
        return put(service{.name = name,
                           .owner = owner,
                           .group = name_of_item(false, one.group)},
                   expected);
    }
    return put(backend_server_group{.name = name,
                                    .owner = owner,
                                    .kind = group_kind::service},
               expected);
}

} // namespace

BOOST_AUTO_TEST_SUITE(acceptance_suite)

RC_BOOST_PROP(decides_like_a_replay_by_one_thread, ())
{
    auto changes = *random_changes();
    auto state = with_operators();
    oracle expected_state;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        auto& value = changes[i];
        std::set<std::pair<bool, unsigned>> named;
        std::erase_if(value.edits, [&](random_edit const& one) {
            return !named.emplace(one.of_service, one.name).second;
        });
        std::vector<edit> edits;
        std::vector<revision> expected;
        for (auto const& one : value.edits) {
            auto const at = revision_of(state.entries, one);
            expected.push_back(at - std::min<revision>(at, one.age));
            edits.push_back(to_edit(one, expected.back()));
        }
        auto const decided =
            decide(state, made_by(value.author, value.id, edits), i + 1, "");
        auto const accepted = expected_state.replay(value, i + 1, expected);
        RC_ASSERT(decided.accepted == accepted);
        RC_ASSERT(!failed(validate(state.entries)));
        RC_ASSERT(state.entries.groups.size() + state.entries.services.size() ==
                  expected_state.items.size());
        for (auto const& [key, item] : expected_state.items) {
            random_edit const probe{.name = key.second,
                                    .of_service = key.first};
            RC_ASSERT(revision_of(state.entries, probe) == item.at);
        }
    }
}

BOOST_AUTO_TEST_CASE(names_entry_and_winner_of_a_conflict)
{
    auto state = with_operators();
    backend_server_group group{.name = "desks", .owner = "all"};
    auto const won = made_by(0, 1, {put(group, 0)});
    auto const lost = made_by(0, 2, {put(group, 0)});
    BOOST_TEST(decide(state, won, 1, "").accepted);
    auto const decided = decide(state, lost, 2, "");
    BOOST_TEST(!decided.accepted);
    BOOST_TEST((decided.reason == refusal::conflict));
    BOOST_TEST(decided.entry == "groups/desks");
    BOOST_TEST(decided.winner == won.id);
    BOOST_TEST(decided.actual == 2U);

    auto const removal =
        made_by(0, 3, {{entry_kind::group, "desks", 2, std::nullopt}});
    BOOST_TEST(decide(state, removal, 3, "").accepted);
    auto const late = decide(state, made_by(0, 4, {put(group, 2)}), 4, "");
    BOOST_TEST((late.reason == refusal::conflict));
    BOOST_TEST(late.winner == removal.id);
}

BOOST_AUTO_TEST_CASE(a_change_sent_again_changes_nothing)
{
    auto state = with_operators();
    auto const value = made_by(
        0, 1, {put(backend_server_group{.name = "g", .owner = "all"}, 0)});
    BOOST_TEST(decide(state, value, 1, "").accepted);
    auto const before = state;
    auto const again = decide(state, value, 2, "");
    BOOST_TEST(again.repeated);
    BOOST_TEST(again.accepted);
    BOOST_TEST(again.offset == 1U);
    BOOST_TEST((state == before));
}

BOOST_AUTO_TEST_CASE(a_member_cannot_raise_its_entitlement)
{
    auto state = with_operators();
    organisation const member{.name = "coteau", .owner = "coteau"};
    auto refused = [&state](change const& value, std::uint64_t offset) {
        return decide(state, value, offset, "").reason == refusal::not_owner;
    };
    BOOST_TEST(refused(made_by(1, 1, {put(member, 0)}), 1));
    BOOST_TEST(decide(state, made_by(0, 2, {put(member, 0)}), 2, "").accepted);
    auto richer = member;
    richer.share = 100.0;
    BOOST_TEST(refused(made_by(1, 3, {put(richer, 3)}), 3));
    auto rotated = member;
    rotated.key_digests = {sha256_hex("new")};
    BOOST_TEST(refused(made_by(2, 4, {put(rotated, 3)}), 4));
    BOOST_TEST(decide(state, made_by(1, 5, {put(rotated, 3)}), 5, "").accepted);
    operator_key const key{.name = "own",
                           .owner = "coteau",
                           .key_digest = sha256_hex("own"),
                           .consortium = true};
    BOOST_TEST(refused(made_by(1, 6, {put(key, 0)}), 6));
}

BOOST_AUTO_TEST_CASE(checks_who_makes_a_change)
{
    catalogue_state empty;
    auto first = made_by(0, 1,
                         {put(operator_key{.name = "all",
                                           .owner = "all",
                                           .key_digest = sha256_hex("all"),
                                           .consortium = true},
                              0)});
    BOOST_TEST(
        (decide(empty, first, 0, bootstrap).reason == refusal::key_mismatch));
    first.id = change_id(2);
    first.author_key_digest = "";
    BOOST_TEST((decide(empty, first, 1, "").reason == refusal::key_mismatch));

    auto state = with_operators();
    auto stranger = made_by(0, 3, {});
    stranger.author = "nobody";
    BOOST_TEST((decide(state, stranger, 1, bootstrap).reason ==
                refusal::unknown_author));
    auto replaced = made_by(0, 4, {});
    replaced.author_key_digest = bootstrap;
    BOOST_TEST((decide(state, replaced, 2, bootstrap).reason ==
                refusal::key_mismatch));
    auto const last_key =
        made_by(0, 5, {{entry_kind::operator_key, "all", 1, std::nullopt}});
    BOOST_TEST(
        (decide(state, last_key, 3, bootstrap).reason == refusal::invalid));
}

BOOST_AUTO_TEST_CASE(difference_leads_to_the_wanted_catalogue)
{
    auto state = with_operators();
    auto wanted = state.entries;
    wanted.classes["urgent"] = {{.name = "urgent", .owner = "all"}, 77, {}};
    wanted.operator_keys.erase("moruga");
    wanted.operator_keys.at("coteau").value.owner = "all";
    auto const edits = difference(state.entries, wanted);
    BOOST_TEST(edits.size() == 3U);
    BOOST_TEST(decide(state, made_by(0, 1, edits), 1, "").accepted);
    BOOST_TEST(difference(state.entries, wanted).empty());
}

BOOST_AUTO_TEST_SUITE_END()
