#include "catalogue_file.hpp"
#include "command.hpp"

#include <medlarstall/catalogue/record_codec.hpp>
#include <medlarstall/cli/catalogue_diff.hpp>
#include <medlarstall/support/uuid.hpp>

#include <nlohmann/json.hpp>

#include <random>

namespace medlarstall::cli {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;

constexpr milliseconds poll_interval{250};
constexpr int conflict_status = 409;
constexpr int first_server_error = 500;

struct publish_settings
{
    session_settings session;
    std::string file;
    std::string change_id;
    bool partial = false;
    milliseconds wait{30'000};
};

std::string new_change_id()
{
    std::random_device random;
    auto const word = [&] {
        constexpr unsigned half = 32;
        return (std::uint64_t{random()} << half) | random();
    };
    auto const now = std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
    return to_string(make_uuid_v7(now, word(), word()));
}

exit_code report_conflict(command_context& context, daemon_reply const& reply)
{
    context.log << "medlarstall: " << reply.problem() << '\n';
    auto const problem = reply.body.value("error", json::object());
    context.log << "  entry " << problem.value("entry", "") << ", changed by "
                << problem.value("winner", "")
                << ". Look at `medlarstall catalogue diff` and publish "
                   "again.\n";
    return exit_code::conflict;
}

/// Sends the change until a daemon tells what became of it.
std::optional<exit_code> send_change(command_context& context,
                                     daemon_session& session,
                                     publish_settings const& target,
                                     std::string const& body, json& verdict)
{
    auto const give_up = steady_clock::now() + target.wait;
    while (true) {
        auto const reply = session.call("POST", "/admin/v1/catalogue",
                                        authority::operating, body);
        bool const told =
            !failed(reply) && value_of(reply).status < first_server_error;
        if (told && value_of(reply).succeeded()) {
            verdict = value_of(reply).body;
            return std::nullopt;
        }
        if (told) {
            return value_of(reply).status == conflict_status
                       ? report_conflict(context, value_of(reply))
                       : report_refusal(context, value_of(reply));
        }
        if (steady_clock::now() >= give_up) {
            context.log << "medlarstall: it is not known whether the change "
                           "was accepted. Publish again with --change-id "
                        << target.change_id << '\n';
            return failed(reply) ? report_unreachable(context, error_of(reply))
                                 : report_refusal(context, value_of(reply));
        }
        context.log << "no verdict yet; sending the same change again\n";
        session.pause(poll_interval);
    }
}

/// What GET /v1/in-force says about an offset.
struct spread
{
    std::size_t reached = 0;
    std::vector<std::string> missing;
};

spread spread_of(json const& answer, std::uint64_t offset)
{
    spread found;
    for (auto const& one : answer.value("daemons", json::array())) {
        if (one.value("offset", std::uint64_t{0}) > offset) {
            ++found.reached;
        } else {
            found.missing.push_back(one.value("id", "?") + " (at offset " +
                                    one.value("offset", json{}).dump() + ")");
        }
    }
    for (auto const& one : answer.value("missing", json::array())) {
        found.missing.push_back(one.get<std::string>() + " (no answer)");
    }
    return found;
}

exit_code wait_until_in_force(command_context& context, daemon_session& session,
                              milliseconds wait, std::uint64_t offset)
{
    auto const give_up = steady_clock::now() + wait;
    std::size_t shown = 0;
    while (true) {
        json answer;
        if (auto const end = get(context, session, "/v1/in-force",
                                 authority::member, answer)) {
            context.log << "The change is accepted; `medlarstall status` "
                           "shows where it is in force.\n";
            return *end == exit_code::unreachable ? *end
                                                  : exit_code::incomplete;
        }
        auto const found = spread_of(answer, offset);
        if (found.reached != shown || found.missing.empty()) {
            context.log << "in force at " << found.reached << " of "
                        << found.reached + found.missing.size() << " daemons\n";
            shown = found.reached;
        }
        if (found.missing.empty()) {
            return exit_code::success;
        }
        if (steady_clock::now() >= give_up) {
            for (auto const& one : found.missing) {
                context.log << "medlarstall: not in force at " << one << '\n';
            }
            return exit_code::incomplete;
        }
        session.pause(poll_interval);
    }
}

exit_code publish(command_context& context, publish_settings& target)
{
    catalogue::catalogue wanted;
    if (auto const end = read_catalogue_file(context, target.file, wanted)) {
        return *end;
    }
    daemon_session session{target.session};
    json answer;
    if (auto const end = get(context, session, "/admin/v1/catalogue",
                             authority::operating, answer)) {
        return *end;
    }
    auto const in_force = read_in_force(answer);
    if (failed(in_force)) {
        context.log << "medlarstall: " << error_of(in_force).message << '\n';
        return exit_code::refused;
    }
    auto const edits = find_edits(value_of(in_force), wanted,
                                  target.partial ? absent_entries::are_kept
                                                 : absent_entries::are_deleted);
    if (edits.empty()) {
        context.log << "Nothing to change: the catalogue in force is that of "
                    << target.file << ".\n";
        return exit_code::success;
    }
    context.out << render_edits(value_of(in_force), edits);
    if (target.change_id.empty()) {
        target.change_id = new_change_id();
    }
    context.out << "change id " << target.change_id << std::endl;
    auto const body = catalogue::record_writer{}.write_change(
        {.id = target.change_id, .edits = edits});
    json verdict;
    if (auto const end =
            send_change(context, session, target, body.dump(), verdict)) {
        return *end;
    }
    auto const offset = verdict.value("offset", std::uint64_t{0});
    context.out << "accepted at offset " << offset << std::endl;
    return wait_until_in_force(context, session, target.wait, offset);
}

} // namespace

exit_code run_catalogue_publish(command_context& context)
{
    constexpr milliseconds longest_wait{600'000};
    publish_settings target;
    settings::setting_set set{
        context.arguments.front(),
        "Changes the catalogue in force to what a file says, and waits until "
        "the change is in force at every live daemon. Sent again with the "
        "same change id, it changes nothing twice.",
        MEDLARSTALL_VERSION};
    set.add_positional("file", "Catalogue as JSON", true, target.file);
    add_session_settings(set, target.session);
    set.add_switch("partial", "Keep entries that the file does not name",
                   target.partial);
    set.add("change-id", "UUID of the change, to send it again",
            target.change_id);
    set.add_span("wait-ms", "Longest wait until it is in force everywhere",
                 milliseconds{0}, longest_wait, target.wait);
    if (auto const end = read_settings(context, set)) {
        return *end;
    }
    if (!target.change_id.empty()) {
        auto const id = parse_uuid(target.change_id);
        if (failed(id)) {
            context.log << "medlarstall: --change-id: " << error_of(id).message
                        << '\n';
            return exit_code::usage;
        }
    }
    return publish(context, target);
}

} // namespace medlarstall::cli
