#include <medlarstall/catalogue/acceptance.hpp>

#include <medlarstall/catalogue/limits.hpp>
#include <medlarstall/catalogue/validation.hpp>
#include <medlarstall/support/digest.hpp>

#include <algorithm>
#include <optional>
#include <ranges>
#include <type_traits>
#include <utility>

namespace medlarstall::catalogue {

namespace {

/// Rights of the author of a change: the owner whose entries the author may
/// edit, and whether the author may edit the entries of every owner.
struct author_rights
{
    std::string owner;
    bool consortium = false;
};

std::string entry_label(edit const& item)
{
    return std::string{table_name(item.kind)} + "/" + item.name;
}

/// Calls a visitor with the table of one kind of entries.
template<class Visitor>
void visit_table(catalogue& entries, entry_kind wanted, Visitor&& visitor)
{
    visit_tables(entries, [&](entry_kind kind, auto& table) {
        if (kind == wanted) {
            visitor(table);
        }
    });
}

template<class Table>
using entry_type_of =
    std::remove_cvref_t<decltype(std::declval<Table>().begin()->second.value)>;

/// Tells whether two versions of an entry give its owner the same rights and
/// the same share of the capacity. Only a consortium operator may change these;
/// the overload for other kinds of entries finds nothing to protect.
bool same_entitlement(organisation const& left, organisation const& right)
{
    return left.share == right.share && left.limits == right.limits &&
           left.classes == right.classes;
}

bool same_entitlement(service_class const& left, service_class const& right)
{
    return left.tier == right.tier && left.floor == right.floor;
}

bool same_entitlement(operator_key const& left, operator_key const& right)
{
    return left.consortium == right.consortium;
}

template<class Entry>
bool same_entitlement(Entry const& /*left*/, Entry const& /*right*/)
{
    return true;
}

/// Tells whether only a consortium operator may create entries of a kind. This
/// holds for entries that affect the share of capacity of every organisation.
bool only_consortium_may_create(entry_kind kind)
{
    return kind == entry_kind::service_class ||
           kind == entry_kind::organisation;
}

/// Tells whether an author may set an entry to a new value.
/// \param current entry to be replaced, or null if it does not exist
template<class Entry>
bool may_put(author_rights const& author, entry_kind kind, Entry const* current,
             Entry const& wanted)
{
    if (author.consortium) {
        return true;
    }
    if (wanted.owner != author.owner) {
        return false;
    }
    if (current == nullptr) {
        return !only_consortium_may_create(kind) &&
               same_entitlement(Entry{}, wanted);
    }
    return current->owner == author.owner && same_entitlement(*current, wanted);
}

/// Decides one change against the current state, and applies it to the state if
/// it is accepted.
class change_decision
{
public:
    change_decision(catalogue_state& state, change const& proposed,
                    std::uint64_t offset)
        : state_{state}, change_{proposed}
    {
        verdict_.change_id = proposed.id;
        verdict_.offset = offset;
    }

    verdict run(std::string const& bootstrap_key_digest)
    {
        if (is_duplicate()) {
            return verdict_;
        }
        if (authorise(bootstrap_key_digest) && check_revisions() &&
            check_ownership()) {
            apply();
        }
        record_decision();
        return verdict_;
    }

private:
    bool is_duplicate()
    {
        auto const found = std::ranges::find(state_.decided_changes, change_.id,
                                             &decided_change::id);
        if (found == state_.decided_changes.end()) {
            return false;
        }
        verdict_.repeated = true;
        verdict_.accepted = found->accepted;
        verdict_.offset = found->offset;
        verdict_.message = "the change was already decided at offset " +
                           std::to_string(found->offset);
        return true;
    }

    bool authorise(std::string const& bootstrap_key_digest)
    {
        auto const& keys = state_.entries.operator_keys;
        if (keys.empty()) {
            author_ = {.owner = {}, .consortium = true};
            return !bootstrap_key_digest.empty() &&
                           equal_constant_time(change_.author_key_digest,
                                               bootstrap_key_digest)
                       ? true
                       : refuse(refusal_reason::key_mismatch,
                                "the first change must be made with the "
                                "bootstrap key");
        }
        auto const* key = find(keys, change_.author);
        if (key == nullptr) {
            return refuse(refusal_reason::unknown_author,
                          "there is no operator key '" + change_.author + "'");
        }
        if (!equal_constant_time(key->key_digest, change_.author_key_digest)) {
            return refuse(refusal_reason::key_mismatch,
                          "operator key '" + change_.author +
                              "' has been replaced");
        }
        author_ = {.owner = key->owner, .consortium = key->consortium};
        return true;
    }

    bool check_revisions()
    {
        return std::ranges::all_of(change_.edits, [this](edit const& item) {
            return check_revision(item);
        });
    }

    bool check_revision(edit const& item)
    {
        revision actual = 0;
        std::string winner;
        visit_table(state_.entries, item.kind, [&](auto& table) {
            auto const found = table.find(item.name);
            if (found != table.end()) {
                actual = found->second.at;
                winner = found->second.changed_by;
            }
        });
        if (actual == item.expected && (item.put || actual != 0)) {
            return true;
        }
        verdict_.entry = entry_label(item);
        verdict_.expected = item.expected;
        verdict_.actual = actual;
        verdict_.winner = actual == 0 ? deleted_by(verdict_.entry) : winner;
        return refuse(refusal_reason::conflict,
                      verdict_.entry + " is at revision " +
                          std::to_string(actual) + ", not " +
                          std::to_string(item.expected));
    }

    /// \return id of the latest remembered change that deleted an entry, or an
    ///     empty string
    [[nodiscard]] std::string deleted_by(std::string const& entry) const
    {
        for (auto const& earlier :
             std::views::reverse(state_.decided_changes)) {
            if (std::ranges::find(earlier.deleted, entry) !=
                earlier.deleted.end()) {
                return earlier.id;
            }
        }
        return {};
    }

    bool check_ownership()
    {
        for (auto const& item : change_.edits) {
            bool allowed = author_.consortium;
            visit_table(state_.entries, item.kind, [&](auto& table) {
                allowed = allowed || may_edit(item, table);
            });
            if (!allowed) {
                verdict_.entry = entry_label(item);
                return refuse(refusal_reason::not_owner,
                              verdict_.entry +
                                  " may not be changed in this way by '" +
                                  change_.author + "'");
            }
        }
        return true;
    }

    template<class Table>
    bool may_edit(edit const& item, Table& table) const
    {
        using entry = entry_type_of<Table>;
        auto const* current = find(table, item.name);
        if (!item.put) {
            return current != nullptr && current->owner == author_.owner &&
                   !only_consortium_may_create(item.kind) &&
                   same_entitlement(entry{}, *current);
        }
        return may_put(author_, item.kind, current, std::get<entry>(*item.put));
    }

    /// Tells whether an edit makes an entry refer to a group of another owner
    /// that it did not refer to before.
    template<class Table>
    bool starts_using_foreign_group(edit const& item, Table const& present,
                                    catalogue const& updated) const
    {
        using entry = entry_type_of<Table>;
        if constexpr (requires(entry value) { value.group; }) {
            if (!item.put || author_.consortium) {
                return false;
            }
            auto const& target = std::get<entry>(*item.put).group;
            auto const* current = find(present, item.name);
            auto const* group = find(updated.groups, target);
            bool const unchanged =
                current != nullptr && current->group == target;
            return !unchanged && group != nullptr &&
                   group->owner != author_.owner;
        } else {
            return false;
        }
    }

    bool check_group_ownership(catalogue const& updated)
    {
        for (auto const& item : change_.edits) {
            bool foreign = false;
            visit_table(state_.entries, item.kind, [&](auto& table) {
                foreign = starts_using_foreign_group(item, table, updated);
            });
            if (foreign) {
                verdict_.entry = entry_label(item);
                return refuse(refusal_reason::not_owner,
                              verdict_.entry +
                                  " refers to a group of another owner");
            }
        }
        return true;
    }

    void apply()
    {
        auto updated = state_.entries;
        for (auto const& item : change_.edits) {
            visit_table(updated, item.kind, [&](auto& table) {
                using entry = entry_type_of<decltype(table)>;
                if (item.put) {
                    table[item.name] = {std::get<entry>(*item.put),
                                        verdict_.offset + 1, change_.id};
                } else {
                    table.erase(item.name);
                }
            });
        }
        auto const valid = validate(updated);
        if (failed(valid)) {
            auto const& fault = error_of(valid);
            refuse(refusal_reason::invalid, fault.field + ": " + fault.message);
            return;
        }
        if (updated.operator_keys.empty()) {
            refuse(
                refusal_reason::invalid,
                "$.operator_keys: must keep the key of a consortium operator");
            return;
        }
        if (check_group_ownership(updated)) {
            state_.entries = std::move(updated);
            verdict_.accepted = true;
        }
    }

    void record_decision()
    {
        decided_change decided{.id = change_.id,
                               .offset = verdict_.offset,
                               .accepted = verdict_.accepted};
        for (auto const& item : change_.edits) {
            if (verdict_.accepted && !item.put) {
                decided.deleted.push_back(entry_label(item));
            }
        }
        state_.decided_changes.push_back(std::move(decided));
        if (state_.decided_changes.size() > max_decided_changes) {
            state_.decided_changes.pop_front();
        }
    }

    /// Records why the change is refused.
    /// \return false, so that a check can return the result
    bool refuse(refusal_reason reason, std::string message)
    {
        verdict_.reason = reason;
        verdict_.message = std::move(message);
        return false;
    }

    catalogue_state& state_;
    change const& change_;
    verdict verdict_;
    author_rights author_;
};

} // namespace

verdict decide(catalogue_state& state, change const& proposed,
               std::uint64_t offset, std::string const& bootstrap_key_digest)
{
    return change_decision{state, proposed, offset}.run(bootstrap_key_digest);
}

std::vector<edit> edits_between(catalogue const& current,
                                catalogue const& wanted)
{
    std::vector<edit> edits;
    visit_tables(wanted, [&](entry_kind kind, auto const& table) {
        visit_tables(current, [&](entry_kind other, auto const& present) {
            if constexpr (std::is_same_v<decltype(table), decltype(present)>) {
                if (kind != other) {
                    return;
                }
                for (auto const& [name, entry] : present) {
                    if (!table.contains(name)) {
                        edits.push_back({kind, name, entry.at, std::nullopt});
                    }
                }
                for (auto const& [name, entry] : table) {
                    auto const found = present.find(name);
                    if (found == present.end()) {
                        edits.push_back({kind, name, 0, entry.value});
                    } else if (!(found->second.value == entry.value)) {
                        edits.push_back(
                            {kind, name, found->second.at, entry.value});
                    }
                }
            }
        });
    });
    return edits;
}

} // namespace medlarstall::catalogue
