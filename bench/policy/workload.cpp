#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace medlarstall::bench {

namespace {

constexpr double large_weight = 3;
constexpr double mean_output = 120;
constexpr double mean_question = 150;
constexpr std::uint32_t straggler_factor = 20;
constexpr std::uint32_t longest_usual = 150; ///< Before the factor.
constexpr std::size_t documents = 6;         ///< Of each organisation.
constexpr double batch_streams = 24; ///< That keep 63 ms between tokens.
constexpr double service_rate = 20;
constexpr double flood_factor = 10;

double weight(site const& place, std::size_t organisation)
{
    return organisation < place.large ? large_weight : 1;
}

/// Part of the ordinary demand; the large ones send more than their share.
double demand(site const& place, std::size_t organisation)
{
    constexpr double large_part = 0.66;
    auto const large = static_cast<double>(place.large);
    auto const small = static_cast<double>(place.organisations) - large;
    return organisation < place.large ? large_part / large
                                      : (1 - large_part) / small;
}

/// One stream of Poisson arrivals.
struct source
{
    std::size_t organisation = 0;
    std::size_t service_class = 0;
    bool plain_service = false;
};

double load_at(scenario const& what, source const& from, duration at,
               site const& place)
{
    constexpr std::array mix{0.2, 0.5, 0.3};
    double load = what.load;
    if (what.swing) {
        load = at_crest(what, at) ? 2.0 : 0.5;
    }
    bool const floods =
        what.flood && from.organisation == flooding_organisation;
    if (floods && at > seconds{10}) {
        return flood_factor * entitlement(place, from.organisation) *
               mix[from.service_class];
    }
    double part =
        load * demand(place, from.organisation) * mix[from.service_class];
    if (what.burst > 0 && from.service_class == 1 && at > seconds{15} &&
        at < seconds{25}) {
        part = what.burst * demand(place, from.organisation);
    }
    return part;
}

arrival make_arrival(scenario const& what, source const& from,
                     std::mt19937_64& random)
{
    arrival made;
    made.organisation = from.organisation;
    made.service_class = from.service_class;
    made.plain_service = from.plain_service;
    if (from.plain_service) {
        made.output_tokens = 2;
        return made;
    }
    std::exponential_distribution<double> output{1 / (mean_output - 20)};
    std::exponential_distribution<double> question{1 / (mean_question - 30)};
    made.output_tokens = static_cast<std::uint32_t>(20 + output(random));
    made.output_tokens = std::min(made.output_tokens, 600U);
    made.document = static_cast<std::uint32_t>(
        1 + from.organisation * documents + random() % documents);
    made.document_tokens = document_tokens;
    made.prompt_tokens =
        document_tokens + static_cast<std::uint32_t>(30 + question(random));
    std::uniform_real_distribution<double> part{0, 1};
    if (part(random) < what.stragglers) {
        made.long_output = true;
        made.output_tokens =
            std::min(made.output_tokens, longest_usual) * straggler_factor;
    }
    return made;
}

} // namespace

std::vector<site> sites()
{
    return {{"coteau", 4, 5, 10, 4}, {"moruga", 3, 4, 10, 3}};
}

std::vector<scenario> scenarios()
{
    std::vector<scenario> all{{"steady"},     {"burst"},       {"swing"},
                              {"stragglers"}, {"slowdown"},    {"crash"},
                              {"flood"},      {"daemon-lost"}, {"all"}};
    all[1].burst = 3;
    all[2].swing = true;
    all[3].load = 0.6;
    all[3].stragglers = 0.02;
    all[4].faults.slowdown = true;
    all[5].faults.crash = true;
    all[6].flood = true;
    all[7].faults.daemon_lost = true;
    all[8].swing = true;
    all[8].stragglers = 0.02;
    all[8].flood = true;
    all[8].faults = {true, true, true};
    for (std::size_t const i : {1U, 2U, 6U, 8U}) {
        all[i].overload = true;
    }
    return all;
}

std::vector<std::string> const& class_names()
{
    static std::vector<std::string> const names{"urgent", "normal", "bulk"};
    return names;
}

std::string organisation_name(std::size_t organisation)
{
    return "org" + std::to_string(organisation);
}

catalogue::catalogue make_catalogue(site const& place)
{
    using namespace std::chrono_literals;
    catalogue::catalogue entries;
    std::vector<catalogue::service_class> const classes{
        {"urgent", "c", 0, {1800ms, 63ms}, 15s, 0.0},
        {"normal", "c", 1, {4000ms, 80ms}, 30s, 0.1},
        {"bulk", "c", 2, {15'000ms, 120ms}, 60s, 0.15}};
    for (auto const& c : classes) {
        entries.classes[c.name] = {c, 1};
    }
    for (std::size_t i = 0; i < place.organisations; ++i) {
        catalogue::organisation member;
        member.name = organisation_name(i);
        member.owner = member.name;
        member.share = weight(place, i);
        member.classes = class_names();
        entries.organisations[member.name] = {member, 1};
    }
    catalogue::backend_server_group engines;
    engines.name = "engines";
    engines.slots = static_cast<unsigned>(place.engine.slots);
    entries.groups[engines.name] = {engines, 1};
    catalogue::backend_server_group services;
    services.name = "services";
    services.kind = catalogue::group_kind::service;
    services.slots = static_cast<unsigned>(place.service.slots);
    entries.groups[services.name] = {services, 1};
    return entries;
}

double entitlement(site const& place, std::size_t organisation)
{
    double sum = 0;
    for (std::size_t i = 0; i < place.organisations; ++i) {
        sum += weight(place, i);
    }
    return weight(place, organisation) / sum;
}

double capacity(site const& place)
{
    double const uncached = mean_question + 0.5 * document_tokens;
    return 1000 * static_cast<double>(place.engines) /
           place.engine.engine_ms(batch_streams, uncached, mean_output);
}

double engine_seconds(site const& place, arrival const& request)
{
    double const uncached =
        request.prompt_tokens - 0.5 * request.document_tokens;
    return place.engine.engine_ms(batch_streams, uncached,
                                  request.output_tokens) /
           1000;
}

bool at_crest(scenario const& what, duration at)
{
    if (what.swing) {
        return std::fmod(seconds{at}.count(), 4.0) >= 2.0;
    }
    return what.burst > 0 && at > seconds{15} && at < seconds{25};
}

std::vector<arrival> make_arrivals(site const& place, scenario const& what,
                                   std::uint64_t seed)
{
    std::vector<arrival> all;
    std::vector<source> sources;
    for (std::size_t o = 0; o < place.organisations; ++o) {
        for (std::size_t c = 0; c < class_names().size(); ++c) {
            sources.push_back({o, c, false});
        }
        sources.push_back({o, 0, true});
    }
    constexpr double highest = 4; // Multiple of capacity of one source.
    for (std::size_t i = 0; i < sources.size(); ++i) {
        std::mt19937_64 random{seed * 1000 + i};
        auto const& from = sources[i];
        double const most =
            from.plain_service
                ? service_rate / static_cast<double>(place.organisations)
                : highest * capacity(place);
        std::exponential_distribution<double> gap{most};
        std::uniform_real_distribution<double> part{0, 1};
        for (seconds at{gap(random)}; at < run_length;
             at += seconds{gap(random)}) {
            auto const time = std::chrono::duration_cast<duration>(at);
            double const rate =
                from.plain_service
                    ? most
                    : capacity(place) * load_at(what, from, time, place);
            if (part(random) * most > rate) {
                continue;
            }
            auto made = make_arrival(what, from, random);
            made.at = time;
            all.push_back(made);
        }
    }
    std::ranges::stable_sort(all, {}, &arrival::at);
    return all;
}

} // namespace medlarstall::bench
