#include "command.hpp"

#include <medlarstall/catalogue/catalogue_follower.hpp>
#include <medlarstall/cli/text_table.hpp>
#include <medlarstall/platform/http_platform.hpp>

#include <nlohmann/json.hpp>

#include <map>

namespace medlarstall::cli {

namespace {

using nlohmann::json;

constexpr char const* catalogue_log = "catalogue";
constexpr std::size_t records_per_page = 500;

/// Settings of `medlarstall catalogue verify`.
struct verify_settings
{
    session_settings session;
    std::vector<std::string> platform; ///< IP:PORT of each platform server.
};

/// Chain digests of the catalogue, by the offset after the last record.
using digests = std::map<std::uint64_t, std::string>;

/// Reads one page of the catalogue log and blocks until it has arrived.
result<platform::log_page> read_page(asio::io_context& context,
                                     platform::http_platform& client,
                                     std::uint64_t from)
{
    std::optional<result<platform::log_page>> outcome;
    client.read(
        catalogue_log, {.from = from, .limit = records_per_page},
        [&](result<platform::log_page> page) { outcome = std::move(page); });
    context.restart();
    while (!outcome) {
        context.run_one();
    }
    return std::move(*outcome);
}

/// Replays the catalogue log and computes the digest at each wanted offset.
/// Offsets whose records are no longer retained are absent from the result.
result<digests> recompute_digests(verify_settings const& options,
                                  digests const& wanted)
{
    asio::io_context context{1};
    backend::http_client http{context, {}};
    platform::http_platform client{
        context, http,
        platform::http_platform_settings{.addresses = options.platform}};
    catalogue::catalogue_follower follower{{.daemon_id = "verify"}};
    digests computed;
    while (true) {
        auto const from = follower.next_offset();
        auto const page = read_page(context, client, from);
        if (failed(page)) {
            return error_of(page);
        }
        for (auto const& record : value_of(page).records) {
            follower.apply(catalogue::log_record{.offset = record.offset,
                                                 .written_at = record.time,
                                                 .value = record.value});
            auto const& version = follower.version();
            if (wanted.contains(version.offset)) {
                computed[version.offset] = version.chain_digest;
            }
        }
        auto const bounds = follower.update_log_bounds(value_of(page).first,
                                                       value_of(page).end);
        if (follower.ready() && follower.next_offset() >= value_of(page).end) {
            auto const& version = follower.version();
            computed[version.offset] = version.chain_digest;
            return computed;
        }
        if (follower.next_offset() == from) {
            return error{"log", failed(bounds) ? error_of(bounds).message
                                               : "a record cannot be read"};
        }
    }
}

/// Prints a comparison of the digest of each daemon with that of the log.
/// \return exit_code::negative unless every daemon agrees with the log
exit_code compare_digests(command_context& context, json const& response,
                          digests const& computed)
{
    text_table table{{"daemon", "offset", "digest", "verdict"}};
    bool agree = true;
    for (auto const& daemon : response.value("daemons", json::array())) {
        auto const offset = daemon.value("offset", std::uint64_t{0});
        auto const digest = daemon.value("digest", "");
        auto const found = computed.find(offset);
        std::string verdict = "cannot be checked: its records have expired";
        if (found != computed.end()) {
            verdict = found->second == digest ? "agrees with the log"
                                              : "DIFFERS from the log";
        }
        agree = agree && found != computed.end() && found->second == digest;
        constexpr std::size_t shown_digits = 16;
        table.add_row({daemon.value("id", "?"), std::to_string(offset),
                       digest.substr(0, shown_digits), verdict});
    }
    for (auto const& daemon : response.value("missing", json::array())) {
        agree = false;
        table.add_row({daemon.get<std::string>(), "", "", "no answer"});
    }
    context.out << table.to_text();
    return agree ? exit_code::success : exit_code::negative;
}

} // namespace

exit_code run_catalogue_verify(command_context& context)
{
    verify_settings options;
    settings::setting_set set{
        context.arguments.front(),
        "Reads the catalogue log, recomputes the digest at the offset of each "
        "daemon and compares the two. Exit code 1 if a digest differs or "
        "cannot be checked, or if a daemon does not answer.",
        MEDLARSTALL_VERSION};
    add_session_settings(set, options.session);
    set.add_list("platform", "IP:PORT of the platform; may be repeated",
                 options.platform);
    if (auto const early_exit = read_settings(context, set)) {
        return *early_exit;
    }
    if (options.platform.empty()) {
        context.log
            << "medlarstall: --platform: is required; give IP:PORT of the "
               "platform\n";
        return exit_code::usage;
    }
    daemon_session session{options.session};
    json response;
    if (auto const early_exit =
            get_json(context, session, "/v1/in-force",
                     credential::organisation_key, response)) {
        return *early_exit;
    }
    digests wanted;
    for (auto const& daemon : response.value("daemons", json::array())) {
        wanted[daemon.value("offset", std::uint64_t{0})] = {};
    }
    auto const computed = recompute_digests(options, wanted);
    if (failed(computed)) {
        context.log << "medlarstall: the catalogue log cannot be read: "
                    << error_of(computed).message << '\n';
        return exit_code::unreachable;
    }
    return compare_digests(context, response, value_of(computed));
}

} // namespace medlarstall::cli
