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
constexpr std::size_t page_limit = 500;

struct verify_settings
{
    session_settings session;
    std::vector<std::string> platform;
};

using digests = std::map<std::uint64_t, std::string>;

/// Reads a page of the catalogue's log and waits for it.
result<platform::log_page> read_page(asio::io_context& context,
                                     platform::http_platform& client,
                                     std::uint64_t from)
{
    std::optional<result<platform::log_page>> outcome;
    client.read(
        catalogue_log, {.from = from, .limit = page_limit},
        [&](result<platform::log_page> page) { outcome = std::move(page); });
    context.restart();
    while (!outcome) {
        context.run_one();
    }
    return std::move(*outcome);
}

/// Computes the digest at each wanted offset, as far as records are retained.
result<digests> recompute(verify_settings const& target, digests const& wanted)
{
    asio::io_context context{1};
    backend::http_client http{context, {}};
    platform::http_platform client{
        context, http,
        platform::http_platform_settings{.addresses = target.platform}};
    catalogue::catalogue_follower follower{{.daemon = "verify"}};
    digests computed;
    while (true) {
        auto const from = follower.next_offset();
        auto const page = read_page(context, client, from);
        if (failed(page)) {
            return error_of(page);
        }
        for (auto const& record : value_of(page).records) {
            follower.apply(catalogue::log_record{.offset = record.offset,
                                                 .written = record.time,
                                                 .value = record.value});
            auto const& version = follower.version();
            if (wanted.contains(version.offset)) {
                computed[version.offset] = version.chain;
            }
        }
        auto const bounds =
            follower.observe_bounds(value_of(page).first, value_of(page).end);
        if (follower.ready() && follower.next_offset() >= value_of(page).end) {
            auto const& version = follower.version();
            computed[version.offset] = version.chain;
            return computed;
        }
        if (follower.next_offset() == from) {
            return error{"log", failed(bounds) ? error_of(bounds).message
                                               : "a record cannot be read"};
        }
    }
}

/// Compares what each daemon says with what the log gives.
exit_code compare(command_context& context, json const& answer,
                  digests const& computed)
{
    text_table table{{"daemon", "offset", "digest", "verdict"}};
    bool agree = true;
    for (auto const& one : answer.value("daemons", json::array())) {
        auto const offset = one.value("offset", std::uint64_t{0});
        auto const digest = one.value("digest", "");
        auto const found = computed.find(offset);
        std::string verdict = "cannot be checked: its records have expired";
        if (found != computed.end()) {
            verdict = found->second == digest ? "agrees with the log"
                                              : "DIFFERS from the log";
        }
        agree = agree && found != computed.end() && found->second == digest;
        constexpr std::size_t shown = 16;
        table.add({one.value("id", "?"), std::to_string(offset),
                   digest.substr(0, shown), verdict});
    }
    for (auto const& one : answer.value("missing", json::array())) {
        agree = false;
        table.add({one.get<std::string>(), "", "", "no answer"});
    }
    context.out << table.text();
    return agree ? exit_code::success : exit_code::negative;
}

} // namespace

exit_code run_catalogue_verify(command_context& context)
{
    verify_settings target;
    settings::setting_set set{
        context.arguments.front(),
        "Reads the catalogue's log, recomputes the digest at the offset of "
        "each daemon, and compares. Exit code 1 if one differs, does not "
        "answer or cannot be checked.",
        MEDLARSTALL_VERSION};
    add_session_settings(set, target.session);
    set.add_list("platform", "IP:PORT of the platform; may be repeated",
                 target.platform);
    if (auto const end = read_settings(context, set)) {
        return *end;
    }
    if (target.platform.empty()) {
        context.log << "medlarstall: --platform: needs IP:PORT of the "
                       "platform\n";
        return exit_code::usage;
    }
    daemon_session session{target.session};
    json answer;
    if (auto const end =
            get(context, session, "/v1/in-force", authority::member, answer)) {
        return *end;
    }
    digests wanted;
    for (auto const& one : answer.value("daemons", json::array())) {
        wanted[one.value("offset", std::uint64_t{0})] = {};
    }
    auto const computed = recompute(target, wanted);
    if (failed(computed)) {
        context.log << "medlarstall: the log cannot be read: "
                    << error_of(computed).message << '\n';
        return exit_code::unreachable;
    }
    return compare(context, answer, value_of(computed));
}

} // namespace medlarstall::cli
