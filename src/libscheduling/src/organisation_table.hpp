#ifndef MEDLARSTALL_SCHEDULING_ORGANISATION_TABLE_HPP
#define MEDLARSTALL_SCHEDULING_ORGANISATION_TABLE_HPP

#include <medlarstall/catalogue/entries.hpp>
#include <medlarstall/scheduling/events.hpp>
#include <medlarstall/scheduling/fair_queue.hpp>
#include <medlarstall/scheduling/token_bucket.hpp>
#include <medlarstall/support/time.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarstall::catalogue {
struct catalogue;
}

namespace medlarstall::scheduling {

/// Weights, limits and use of the organisations at one owner. A limit holds
/// for the fleet: this owner may use what the other owners leave, and at
/// least an equal part.
class organisation_table
{
public:
    /// Takes over weights and limits.
    /// \param entries catalogue in force
    /// \param now current time
    void set_policy(catalogue::catalogue const& entries, time_point now);

    /// \param name name of an organisation, known or not
    /// \return its index from now on
    organisation_index index_of(std::string_view name);

    /// \return organisations that have an index
    [[nodiscard]] std::size_t size() const { return members_.size(); }

    /// \param organisation index
    /// \return weight of its entitlement
    [[nodiscard]] double weight(organisation_index organisation) const;

    /// \param organisation index
    /// \param service_class name of the class
    /// \return counters that stay where they are
    organisation_usage& usage(organisation_index organisation,
                              std::string_view service_class);

    /// \return all counters, in order of names
    [[nodiscard]] std::vector<organisation_usage> usage() const;

    /// Counts a request that starts.
    /// \param organisation index
    /// \param first false if the request was counted before
    /// \param now current time
    void start(organisation_index organisation, bool first, time_point now);

    /// Counts a request that left its slot.
    /// \param organisation index
    void stop(organisation_index organisation);

    /// Counts tokens against the token limit.
    /// \param organisation index
    /// \param tokens amount; negative corrects an estimate
    /// \param now current time
    void charge(organisation_index organisation, double tokens, time_point now);

    /// \param organisation index
    /// \param now current time
    /// \return true if a limit keeps it from starting a request
    [[nodiscard]] bool at_limit(organisation_index organisation,
                                time_point now) const;

    /// \param organisation index
    /// \param now current time
    /// \return when a rate lets it start a request; now if it does
    [[nodiscard]] time_point next_start(organisation_index organisation,
                                        time_point now) const;

    /// \param organisation index
    /// \param requests requests that have to start first
    /// \param tokens tokens of these requests
    /// \return time that its rate limits spread them over
    [[nodiscard]] duration time_for(organisation_index organisation,
                                    double requests, double tokens) const;

    /// Sets the use at other owners.
    /// \param organisation index
    /// \param service_class name of the class
    /// \param usage sum over the other owners
    /// \param now current time
    /// \return tokens served there since the last call; 0 the first time
    double set_remote(organisation_index organisation,
                      std::string_view service_class, remote_usage const& usage,
                      time_point now);

private:
    struct member
    {
        std::string name;
        double weight = 1.0;
        catalogue::organisation_limits limits; ///< Of the fleet.
        std::optional<token_bucket> requests;
        std::optional<token_bucket> tokens;
        unsigned running = 0;
        std::map<std::string, remote_usage, std::less<>> remote;
        std::map<std::string, organisation_usage, std::less<>> usage;
    };

    static void set_limits(member& of,
                           catalogue::organisation_limits const& limits,
                           time_point now);
    static remote_usage total_remote(member const& of);
    static void adapt_rates(member& of, time_point now);
    [[nodiscard]] static unsigned allowance(member const& of);

    /// Hashes names without copying them.
    struct name_hash
    {
        using is_transparent = void;

        std::size_t operator()(std::string_view name) const
        {
            return std::hash<std::string_view>{}(name);
        }
    };

    std::unordered_map<std::string, organisation_index, name_hash,
                       std::equal_to<>>
        indices_;
    std::vector<member> members_;
};

} // namespace medlarstall::scheduling

#endif
