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

std::string const bootstrap_key_digest = sha256_hex("bootstrap");

/// Owners of the operator keys. The first key is a consortium operator's.
std::vector<std::string> const owners{"all", "coteau", "moruga"};

std::string change_id(unsigned number)
{
    return to_string(make_uuid_v7(wall_time{}, 0, number));
}

change make_change(unsigned author, unsigned id, std::vector<edit> edits)
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

catalogue_state state_with_operators()
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
    auto first = make_change(0, 0, edits);
    first.author_key_digest = bootstrap_key_digest;
    BOOST_REQUIRE(decide(state, first, 0, bootstrap_key_digest).accepted);
    return state;
}

/// A random edit of one of three groups, or of one of three services that refer
/// to these groups.
struct random_edit
{
    unsigned name = 0;
    unsigned owner = 0;
    unsigned revisions_behind = 0; ///< Subtracted from the expected revision.
    bool remove = false;
    bool is_service = false;
    unsigned group = 0; ///< Group that the service refers to.
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
        rc::gen::set(
            &random_edit::revisions_behind,
            rc::gen::weightedElement<unsigned>({{6, 0U}, {1, 1U}, {1, 2U}})),
        rc::gen::set(&random_edit::remove,
                     rc::gen::weightedElement<bool>({{3, false}, {1, true}})),
        rc::gen::set(&random_edit::is_service),
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

/// Reference model: replays changes one after another by the rules of
/// acceptance, written independently of decide().
class reference_model
{
public:
    struct expected_entry
    {
        unsigned owner = 0;
        revision at = 0;
        unsigned group = 0;
        std::string changed_by;
    };

    /// \return true if the change is accepted
    bool replay(random_change const& value, std::uint64_t offset,
                std::vector<revision> const& expected)
    {
        auto const [seen, is_new] = decisions_.emplace(value.id, false);
        if (!is_new) {
            return seen->second;
        }
        auto after = entries;
        for (std::size_t i = 0; i < value.edits.size(); ++i) {
            if (!allowed(value, value.edits[i], expected[i])) {
                return false;
            }
            auto const& item = value.edits[i];
            auto const key = std::pair{item.is_service, item.name};
            after.erase(key);
            if (!item.remove) {
                after[key] = {item.owner, offset + 1, item.group,
                              change_id(value.id)};
            }
        }
        if (!references_hold(after) ||
            starts_using_foreign_group(value, after)) {
            return false;
        }
        entries = after;
        seen->second = true;
        return true;
    }

    std::map<std::pair<bool, unsigned>, expected_entry> entries;

private:
    bool allowed(random_change const& value, random_edit const& item,
                 revision expected) const
    {
        auto const found = entries.find({item.is_service, item.name});
        auto const at = found == entries.end() ? 0 : found->second.at;
        if (expected != at || (item.remove && at == 0)) {
            return false;
        }
        bool const owned = at == 0 || found->second.owner == value.author;
        return value.author == 0 ||
               (owned && (item.remove || item.owner == value.author));
    }

    static bool references_hold(
        std::map<std::pair<bool, unsigned>, expected_entry> const& after)
    {
        for (auto const& [key, value] : after) {
            if (key.first && !after.contains({false, value.group})) {
                return false;
            }
        }
        return true;
    }

    bool starts_using_foreign_group(
        random_change const& value,
        std::map<std::pair<bool, unsigned>, expected_entry> const& after) const
    {
        for (auto const& item : value.edits) {
            auto const found = entries.find({true, item.name});
            bool const unchanged =
                found != entries.end() && found->second.group == item.group;
            if (item.is_service && !item.remove && value.author != 0 &&
                !unchanged &&
                after.at({false, item.group}).owner != value.author) {
                return true;
            }
        }
        return false;
    }

    std::map<unsigned, bool> decisions_;
};

std::string entry_name(bool is_service, unsigned number)
{
    return (is_service ? "service" : "group") + std::to_string(number);
}

revision revision_of(medlarstall::catalogue::catalogue const& entries,
                     random_edit const& item)
{
    auto const name = entry_name(item.is_service, item.name);
    if (item.is_service) {
        auto const found = entries.services.find(name);
        return found == entries.services.end() ? 0 : found->second.at;
    }
    auto const found = entries.groups.find(name);
    return found == entries.groups.end() ? 0 : found->second.at;
}

edit to_edit(random_edit const& item, revision expected)
{
    auto const name = entry_name(item.is_service, item.name);
    if (item.remove) {
        return {item.is_service ? entry_kind::service : entry_kind::group, name,
                expected, std::nullopt};
    }
    auto const& owner = owners.at(item.owner);
    if (item.is_service) {
        return put(service{.name = name,
                           .owner = owner,
                           .group = entry_name(false, item.group)},
                   expected);
    }
    return put(backend_server_group{.name = name,
                                    .owner = owner,
                                    .kind = group_kind::service},
               expected);
}

} // namespace

BOOST_AUTO_TEST_SUITE(acceptance_suite)

// Applies random changes, with outdated revisions, foreign owners, duplicate
// ids and dangling references, and compares every decision and all revisions
// with the reference model. The catalogue must stay valid throughout.
RC_BOOST_PROP(decides_like_a_sequential_replay, ())
{
    auto changes = *random_changes();
    auto state = state_with_operators();
    reference_model expected_state;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        auto& value = changes[i];
        std::set<std::pair<bool, unsigned>> seen_entries;
        std::erase_if(value.edits, [&](random_edit const& item) {
            return !seen_entries.emplace(item.is_service, item.name).second;
        });
        std::vector<edit> edits;
        std::vector<revision> expected;
        for (auto const& item : value.edits) {
            auto const at = revision_of(state.entries, item);
            expected.push_back(at -
                               std::min<revision>(at, item.revisions_behind));
            edits.push_back(to_edit(item, expected.back()));
        }
        auto const decided = decide(
            state, make_change(value.author, value.id, edits), i + 1, "");
        auto const accepted = expected_state.replay(value, i + 1, expected);
        RC_ASSERT(decided.accepted == accepted);
        RC_ASSERT(!failed(validate(state.entries)));
        RC_ASSERT(state.entries.groups.size() + state.entries.services.size() ==
                  expected_state.entries.size());
        for (auto const& [key, entry] : expected_state.entries) {
            random_edit const looked_up{.name = key.second,
                                        .is_service = key.first};
            RC_ASSERT(revision_of(state.entries, looked_up) == entry.at);
        }
    }
}

BOOST_AUTO_TEST_CASE(reports_entry_and_winner_of_a_conflict)
{
    auto state = state_with_operators();
    backend_server_group group{.name = "desks", .owner = "all"};
    auto const first_change = make_change(0, 1, {put(group, 0)});
    auto const second_change = make_change(0, 2, {put(group, 0)});
    BOOST_TEST(decide(state, first_change, 1, "").accepted);
    auto const decided = decide(state, second_change, 2, "");
    BOOST_TEST(!decided.accepted);
    BOOST_TEST((decided.reason == refusal_reason::conflict));
    BOOST_TEST(decided.entry == "groups/desks");
    BOOST_TEST(decided.winner == first_change.id);
    BOOST_TEST(decided.actual == 2U);

    auto const removal =
        make_change(0, 3, {{entry_kind::group, "desks", 2, std::nullopt}});
    BOOST_TEST(decide(state, removal, 3, "").accepted);
    auto const decision_after_removal =
        decide(state, make_change(0, 4, {put(group, 2)}), 4, "");
    BOOST_TEST((decision_after_removal.reason == refusal_reason::conflict));
    BOOST_TEST(decision_after_removal.winner == removal.id);
}

BOOST_AUTO_TEST_CASE(a_duplicate_change_has_no_effect)
{
    auto state = state_with_operators();
    auto const value = make_change(
        0, 1, {put(backend_server_group{.name = "g", .owner = "all"}, 0)});
    BOOST_TEST(decide(state, value, 1, "").accepted);
    auto const before = state;
    auto const again = decide(state, value, 2, "");
    BOOST_TEST(again.repeated);
    BOOST_TEST(again.accepted);
    BOOST_TEST(again.offset == 1U);
    BOOST_TEST((state == before));
}

BOOST_AUTO_TEST_CASE(an_organisation_cannot_raise_its_entitlement)
{
    auto state = state_with_operators();
    organisation const member{.name = "coteau", .owner = "coteau"};
    auto refused = [&state](change const& value, std::uint64_t offset) {
        return decide(state, value, offset, "").reason ==
               refusal_reason::not_owner;
    };
    BOOST_TEST(refused(make_change(1, 1, {put(member, 0)}), 1));
    BOOST_TEST(
        decide(state, make_change(0, 2, {put(member, 0)}), 2, "").accepted);
    auto larger = member;
    larger.share = 100.0;
    BOOST_TEST(refused(make_change(1, 3, {put(larger, 3)}), 3));
    auto rotated = member;
    rotated.key_digests = {sha256_hex("new")};
    BOOST_TEST(refused(make_change(2, 4, {put(rotated, 3)}), 4));
    BOOST_TEST(
        decide(state, make_change(1, 5, {put(rotated, 3)}), 5, "").accepted);
    operator_key const key{.name = "own",
                           .owner = "coteau",
                           .key_digest = sha256_hex("own"),
                           .consortium = true};
    BOOST_TEST(refused(make_change(1, 6, {put(key, 0)}), 6));
}

BOOST_AUTO_TEST_CASE(checks_the_author_of_a_change)
{
    catalogue_state empty;
    auto first = make_change(0, 1,
                             {put(operator_key{.name = "all",
                                               .owner = "all",
                                               .key_digest = sha256_hex("all"),
                                               .consortium = true},
                                  0)});
    BOOST_TEST((decide(empty, first, 0, bootstrap_key_digest).reason ==
                refusal_reason::key_mismatch));
    first.id = change_id(2);
    first.author_key_digest = "";
    BOOST_TEST(
        (decide(empty, first, 1, "").reason == refusal_reason::key_mismatch));

    auto state = state_with_operators();
    auto unknown = make_change(0, 3, {});
    unknown.author = "nobody";
    BOOST_TEST((decide(state, unknown, 1, bootstrap_key_digest).reason ==
                refusal_reason::unknown_author));
    auto outdated = make_change(0, 4, {});
    outdated.author_key_digest = bootstrap_key_digest;
    BOOST_TEST((decide(state, outdated, 2, bootstrap_key_digest).reason ==
                refusal_reason::key_mismatch));
    auto const last_key =
        make_change(0, 5, {{entry_kind::operator_key, "all", 1, std::nullopt}});
    BOOST_TEST((decide(state, last_key, 3, bootstrap_key_digest).reason ==
                refusal_reason::invalid));
}

BOOST_AUTO_TEST_CASE(edits_between_lead_to_the_wanted_catalogue)
{
    auto state = state_with_operators();
    auto wanted = state.entries;
    wanted.classes["urgent"] = {{.name = "urgent", .owner = "all"}, 77, {}};
    wanted.operator_keys.erase("moruga");
    wanted.operator_keys.at("coteau").value.owner = "all";
    auto const edits = edits_between(state.entries, wanted);
    BOOST_TEST(edits.size() == 3U);
    BOOST_TEST(decide(state, make_change(0, 1, edits), 1, "").accepted);
    BOOST_TEST(edits_between(state.entries, wanted).empty());
}

BOOST_AUTO_TEST_SUITE_END()
