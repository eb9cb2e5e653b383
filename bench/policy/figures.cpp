#include "figures.hpp"

#include <algorithm>
#include <array>

namespace medlarstall::bench {

namespace {

constexpr double p99 = 0.99;
constexpr std::uint32_t short_tokens = 100; ///< Longest short answer.

double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    auto const position = static_cast<std::ptrdiff_t>(
        part * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + position);
    return values[static_cast<std::size_t>(position)];
}

/// How an answer stood to the targets of its class.
enum class attainment
{
    met,
    late_start, ///< Its first token was late.
    slow,       ///< Its tokens came too slowly.
    not_whole   ///< It was refused or cut off.
};

constexpr std::array<char const*, 4> attainment_names{"met", "late-start",
                                                      "slow", "not-whole"};

attainment attained(arrival const& request, outcome const& seen,
                    catalogue::service_class const& c)
{
    if (!seen.end) {
        return attainment::not_whole;
    }
    if (*seen.first_token > c.targets.first_token) {
        return attainment::late_start;
    }
    auto const gaps = std::max(1U, seen.tokens - 1);
    bool const streams = !request.plain_service;
    return streams && (*seen.end - *seen.first_token) / gaps >
                          c.targets.between_tokens
               ? attainment::slow
               : attainment::met;
}

struct counter
{
    double good = 0;
    double all = 0;

    void add(bool is_good)
    {
        good += is_good ? 1 : 0;
        ++all;
    }

    [[nodiscard]] double part() const { return all > 0 ? good / all : 1; }
};

/// Tokens that an organisation asked for and got.
struct organisation_tokens
{
    double asked = 0;
    double served = 0;
};

/// Tokens of a request that can be made by the end of the run at the pace that
/// its class promises; long answers last beyond it.
double tokens_due(arrival const& request, catalogue::service_class const& c)
{
    double const possible =
        (run_length - request.at) / seconds{c.targets.between_tokens};
    return std::min<double>(request.output_tokens, possible);
}

double longest_gap(std::vector<duration> const& served)
{
    double longest = 0;
    auto last = std::chrono::duration_cast<duration>(warm_up);
    for (auto const at : served) {
        if (at > last) {
            longest = std::max(longest, milliseconds(at - last));
            last = at;
        }
    }
    auto const end = std::chrono::duration_cast<duration>(run_length);
    return std::max(longest, milliseconds(std::max(duration{0}, end - last)));
}

/// Least part of the lesser of demand and entitlement that a small
/// organisation was served.
double least_share(site const& place,
                   std::vector<organisation_tokens> const& tokens)
{
    double served = 0;
    for (auto const& t : tokens) {
        served += t.served;
    }
    double least = 1;
    for (auto o = place.large; o < place.organisations; ++o) {
        double const due =
            std::min(tokens[o].asked, served * entitlement(place, o));
        least = std::min(least, due > 0 ? tokens[o].served / due : 1);
    }
    return least;
}

} // namespace

figures measure(site const& place, scenario const& what,
                std::vector<arrival> const& arrivals, recorder const& record,
                backend_pool const& pool)
{
    auto const entries = make_catalogue(place);
    std::vector<counter> classes(class_names().size());
    std::array<double, attainment_names.size()> urgent{};
    counter service;
    counter urgent_others;
    counter crest;
    double good = 0;
    double good_at_crest = 0;
    double urgent_at_crest = 0;
    double crest_seconds = 0;
    std::vector<double> first_tokens;
    std::vector<double> short_ends;
    std::vector<organisation_tokens> tokens(place.organisations);
    std::vector<std::vector<organisation_tokens>> class_tokens(
        class_names().size(), tokens);
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        auto const& request = arrivals[i];
        auto const& seen = record.outcomes()[i];
        if (request.at < warm_up) {
            continue;
        }
        auto const& c =
            entries.classes.at(class_names()[request.service_class]).value;
        auto const how = attained(request, seen, c);
        bool const ok = how == attainment::met;
        if (request.plain_service) {
            service.add(ok);
            continue;
        }
        classes[request.service_class].add(ok);
        if (request.service_class == 0) {
            ++urgent[static_cast<std::size_t>(how)];
            if (request.organisation != flooding_organisation) {
                urgent_others.add(ok);
            }
        }
        good += ok ? 1 : 0;
        if (at_crest(what, request.at)) {
            good_at_crest += ok ? 1 : 0;
            if (request.service_class == 0) {
                crest.add(ok);
                urgent_at_crest += engine_seconds(place, request);
            }
        }
        auto const due = tokens_due(request, c);
        auto const served = std::min(due, double(seen.tokens));
        tokens[request.organisation].asked += due;
        tokens[request.organisation].served += served;
        class_tokens[request.service_class][request.organisation].asked += due;
        class_tokens[request.service_class][request.organisation].served +=
            served;
        if (seen.first_token && request.service_class < 2) {
            first_tokens.push_back(milliseconds(*seen.first_token));
        }
        if (seen.end && request.output_tokens <= short_tokens &&
            request.service_class < 2) {
            short_ends.push_back(milliseconds(*seen.end));
        }
    }
    constexpr int parts = 350; // Of the time after the warm-up.
    auto const part = (run_length - warm_up) / parts;
    for (int i = 0; i < parts; ++i) {
        auto const at =
            std::chrono::duration_cast<duration>(warm_up + part * i);
        crest_seconds += at_crest(what, at) ? part.count() : 0;
    }
    auto const [work, wasted] = pool.work();
    figures all;
    for (std::size_t c = 0; c < classes.size(); ++c) {
        all["attainment-" + class_names()[c]] = classes[c].part();
    }
    for (std::size_t how = 1; how < urgent.size(); ++how) {
        all[std::string{"urgent-"} + attainment_names[how]] =
            urgent[how] / std::max(1.0, classes[0].all);
    }
    all["attainment-urgent-others"] = urgent_others.part();
    all["attainment-service"] = service.part();
    all["goodput"] = good / (run_length - warm_up).count();
    if (crest_seconds > 0) {
        all["crest-attainment-urgent"] = crest.part();
        all["crest-demand-urgent"] =
            urgent_at_crest /
            (crest_seconds * static_cast<double>(place.engines));
        all["crest-goodput"] = good_at_crest / crest_seconds;
    }
    all["wasted-work"] = work > 0 ? wasted / work : 0;
    all["first-token-p99"] = percentile(first_tokens, p99);
    all["short-work-p99"] = percentile(short_ends, p99);
    all["small-share-least"] = least_share(place, tokens);
    for (std::size_t c = 0; c < classes.size(); ++c) {
        all["small-share-least-" + class_names()[c]] =
            least_share(place, class_tokens[c]);
    }
    all["lowest-class-gap"] = longest_gap(record.lowest_served());
    return all;
}

char const* unit_of(std::string const& name)
{
    if (name.ends_with("goodput")) {
        return "requests/s";
    }
    bool const time = name.ends_with("p99") || name.ends_with("gap") ||
                      name.ends_with("without");
    if (name.ends_with("ratio")) {
        return "ratio";
    }
    return time ? "ms" : "part";
}

} // namespace medlarstall::bench
