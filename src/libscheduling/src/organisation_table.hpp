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

/// Weights, limits and usage of the organisations at one owner. A limit applies
/// to all owners together: this owner may use what the other owners leave, but
/// at least an equal share.
class organisation_table
{
public:
    /// Applies the weights and limits of a catalogue.
    /// \param entries catalogue in force
    /// \param now current time
    void apply_catalogue(catalogue::catalogue const& entries, time_point now);

    /// Looks up an organisation and adds it if it is unknown.
    /// \param name name of the organisation
    /// \return its index, which never changes
    organisation_index index_of(std::string_view name);

    /// \return number of organisations that have an index
    [[nodiscard]] std::size_t size() const { return organisations_.size(); }

    /// \param organisation index of the organisation
    /// \return its weight in fair queueing, above 0
    [[nodiscard]] double weight(organisation_index organisation) const;

    /// \param organisation index of the organisation
    /// \param service_class name of the service class
    /// \return its counters; the reference stays valid
    organisation_usage& usage(organisation_index organisation,
                              std::string_view service_class);

    /// \return all counters, ordered by organisation and service class
    [[nodiscard]] std::vector<organisation_usage> usage() const;

    /// Counts a request that starts.
    /// \param organisation index of the organisation
    /// \param first_start false if the request was counted in the request rate
    ///     before
    /// \param now current time
    void count_start(organisation_index organisation, bool first_start,
                     time_point now);

    /// Counts a request that released its slot.
    /// \param organisation index of the organisation
    void count_stop(organisation_index organisation);

    /// Counts tokens against the token rate limit.
    /// \param organisation index of the organisation
    /// \param tokens number of tokens; negative to correct an estimate
    /// \param now current time
    void charge(organisation_index organisation, double tokens, time_point now);

    /// \param organisation index of the organisation
    /// \param now current time
    /// \return true if a limit keeps it from starting a request
    [[nodiscard]] bool at_limit(organisation_index organisation,
                                time_point now) const;

    /// \param organisation index of the organisation
    /// \param now current time
    /// \return when its rate limits allow it to start a request; \p now if they
    ///     already do
    [[nodiscard]] time_point next_start(organisation_index organisation,
                                        time_point now) const;

    /// \param organisation index of the organisation
    /// \param requests number of requests that start one after another
    /// \param tokens total number of tokens of these requests
    /// \return time that they take at its rate limits, at most a day; zero
    ///     without limits
    [[nodiscard]] duration min_time_to_start(organisation_index organisation,
                                             double requests,
                                             double tokens) const;

    /// Sets the usage at other owners and adapts the local rate limits to it.
    /// \param organisation index of the organisation
    /// \param service_class name of the service class
    /// \param usage sum over the other owners
    /// \param now current time
    /// \return tokens served there since the last call; 0 for the first call
    double set_remote_usage(organisation_index organisation,
                            std::string_view service_class,
                            remote_usage const& usage, time_point now);

private:
    struct organisation_state
    {
        std::string name;
        double weight = 1.0;
        catalogue::organisation_limits limits; ///< For all owners together.
        std::optional<token_bucket> request_rate_bucket;
        std::optional<token_bucket> token_rate_bucket;
        unsigned running = 0;
        std::map<std::string, remote_usage, std::less<>> remote_by_class;
        std::map<std::string, organisation_usage, std::less<>> usage_by_class;
    };

    static void set_limits(organisation_state& state,
                           catalogue::organisation_limits const& limits,
                           time_point now);
    static remote_usage total_remote_usage(organisation_state const& state);
    static void adapt_rates(organisation_state& state, time_point now);
    [[nodiscard]] static unsigned
    concurrency_allowance(organisation_state const& state);

    /// Hashes string views, so that a lookup needs no copy of the name.
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
    std::vector<organisation_state> organisations_;
};

} // namespace medlarstall::scheduling

#endif
