#include "summary_codec.hpp"

#include <nlohmann/json.hpp>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr unsigned leaving_flag = 1;
constexpr unsigned demoted_flag = 2;

/// Indices of the elements in the JSON list, and its length.
enum list_index : std::size_t
{
    server,
    sequence,
    limit,
    running,
    flags,
    first_token,
    between_tokens,
    prefill_rate,
    tiers,
    list_length
};

bool has_load(scheduling::tier_load const& load)
{
    return load.queued > 0 || load.running > 0 ||
           load.expected_wait.count() > 0;
}

} // namespace

json to_json(scheduling::backend_server_summary const& summary)
{
    auto loads = json::array();
    for (std::size_t tier = 0; tier < summary.tiers.size(); ++tier) {
        auto const& load = summary.tiers[tier];
        if (has_load(load)) {
            loads.push_back(
                {tier, load.queued, load.running, load.expected_wait.count()});
        }
    }
    unsigned const flag_bits = (summary.leaving ? leaving_flag : 0U) |
                               (summary.demoted ? demoted_flag : 0U);
    return {summary.backend_server,
            summary.sequence,
            summary.limit,
            summary.running,
            flag_bits,
            summary.first_token.count(),
            summary.between_tokens.count(),
            summary.prefill_tokens_per_ms,
            std::move(loads)};
}

result<scheduling::backend_server_summary> parse_summary(json const& list)
{
    if (!list.is_array() || list.size() != list_index::list_length) {
        return error{"summary", "must be a list of length " +
                                    std::to_string(list_index::list_length)};
    }
    try {
        scheduling::backend_server_summary summary;
        summary.backend_server = list[list_index::server];
        summary.sequence = list[list_index::sequence];
        summary.limit = list[list_index::limit];
        summary.running = list[list_index::running];
        unsigned const flag_bits = list[list_index::flags];
        summary.leaving = (flag_bits & leaving_flag) != 0;
        summary.demoted = (flag_bits & demoted_flag) != 0;
        summary.first_token =
            microseconds{list[list_index::first_token].get<std::int64_t>()};
        summary.between_tokens =
            microseconds{list[list_index::between_tokens].get<std::int64_t>()};
        summary.prefill_tokens_per_ms = list[list_index::prefill_rate];
        for (auto const& load : list[list_index::tiers]) {
            std::size_t const tier = load.at(0);
            summary.tiers.at(tier) = {
                .queued = load.at(1),
                .running = load.at(2),
                .expected_wait = milliseconds{load.at(3).get<std::int64_t>()}};
        }
        return summary;
    } catch (json::exception const& failure) {
        return error{"summary", failure.what()};
    } catch (std::out_of_range const&) {
        return error{"summary", "contains a tier that does not exist"};
    }
}

} // namespace medlarstall::daemon
