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
constexpr int http_conflict = 409;
constexpr int first_server_error = 500; ///< Smallest 5xx status.

/// Settings of `medlarstall catalogue publish`.
struct publish_settings
{
    session_settings session;
    std::string file;
    std::string change_id;
    bool partial = false;
    milliseconds wait{30'000};
};

/// Generates a UUID of version 7 for a change.
std::string generate_change_id()
{
    std::random_device random;
    auto const random_64_bits = [&] {
        constexpr unsigned half_width = 32;
        return (std::uint64_t{random()} << half_width) | random();
    };
    auto const now = std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
    return to_string(make_uuid_v7(now, random_64_bits(), random_64_bits()));
}

exit_code report_conflict(command_context& context, daemon_reply const& reply)
{
    context.log << "medlarstall: " << reply.error_text() << '\n';
    auto const details = reply.body.value("error", json::object());
    context.log << "  entry " << details.value("entry", "") << ", changed by "
                << details.value("winner", "")
                << ". Look at `medlarstall catalogue diff` and publish "
                   "again.\n";
    return exit_code::conflict;
}

/// Sends a change until a daemon either accepts or rejects it. Without a
/// response, or after a server error, it is unknown whether the change was
/// accepted, and the same change is sent again; its id prevents it from being
/// applied twice.
/// \return std::nullopt if the change was accepted, otherwise the exit code
std::optional<exit_code> send_change(command_context& context,
                                     daemon_session& session,
                                     publish_settings const& options,
                                     std::string const& body, json& acceptance)
{
    auto const deadline = steady_clock::now() + options.wait;
    while (true) {
        auto const reply = session.call("POST", "/admin/v1/catalogue",
                                        credential::operator_key, body);
        bool const is_definite =
            !failed(reply) && value_of(reply).status < first_server_error;
        if (is_definite && value_of(reply).succeeded()) {
            acceptance = value_of(reply).body;
            return std::nullopt;
        }
        if (is_definite) {
            return value_of(reply).status == http_conflict
                       ? report_conflict(context, value_of(reply))
                       : report_refusal(context, value_of(reply));
        }
        if (steady_clock::now() >= deadline) {
            context.log << "medlarstall: it is not known whether the change "
                           "was accepted. Publish it again with --change-id "
                        << options.change_id << '\n';
            return failed(reply) ? report_unreachable(context, error_of(reply))
                                 : report_refusal(context, value_of(reply));
        }
        context.log
            << "the outcome is unknown; sending the same change again\n";
        session.wait(poll_interval);
    }
}

/// Progress of a change towards being in force at every daemon.
struct rollout_status
{
    std::size_t daemons_in_force = 0;
    std::vector<std::string> pending; ///< Other daemons, with the reason.
};

/// Reads the progress of a change from the response to GET /v1/in-force.
/// \param response JSON body of the response
/// \param offset offset of the change in the catalogue log; it is in force at a
///     daemon whose own offset, that of its next record, is larger
rollout_status read_rollout_status(json const& response, std::uint64_t offset)
{
    rollout_status rollout;
    for (auto const& daemon : response.value("daemons", json::array())) {
        if (daemon.value("offset", std::uint64_t{0}) > offset) {
            ++rollout.daemons_in_force;
        } else {
            rollout.pending.push_back(daemon.value("id", "?") + " (at offset " +
                                      daemon.value("offset", json{}).dump() +
                                      ")");
        }
    }
    for (auto const& daemon : response.value("missing", json::array())) {
        rollout.pending.push_back(daemon.get<std::string>() + " (no answer)");
    }
    return rollout;
}

/// Polls the daemons until a change is in force at each of them.
/// \param wait maximum time to wait
/// \param offset offset at which the change was accepted
exit_code wait_until_in_force(command_context& context, daemon_session& session,
                              milliseconds wait, std::uint64_t offset)
{
    auto const deadline = steady_clock::now() + wait;
    std::size_t last_reported = 0;
    while (true) {
        json response;
        if (auto const early_exit =
                get_json(context, session, "/v1/in-force",
                         credential::organisation_key, response)) {
            context.log << "The change is accepted; `medlarstall status` "
                           "shows where it is in force.\n";
            return *early_exit == exit_code::unreachable
                       ? *early_exit
                       : exit_code::incomplete;
        }
        auto const rollout = read_rollout_status(response, offset);
        if (rollout.daemons_in_force != last_reported ||
            rollout.pending.empty()) {
            context.log << "in force at " << rollout.daemons_in_force << " of "
                        << rollout.daemons_in_force + rollout.pending.size()
                        << " daemons\n";
            last_reported = rollout.daemons_in_force;
        }
        if (rollout.pending.empty()) {
            return exit_code::success;
        }
        if (steady_clock::now() >= deadline) {
            for (auto const& daemon : rollout.pending) {
                context.log << "medlarstall: not in force at " << daemon
                            << '\n';
            }
            return exit_code::incomplete;
        }
        session.wait(poll_interval);
    }
}

exit_code publish(command_context& context, publish_settings& options)
{
    catalogue::catalogue wanted;
    if (auto const early_exit =
            read_catalogue_file(context, options.file, wanted)) {
        return *early_exit;
    }
    daemon_session session{options.session};
    json response;
    if (auto const early_exit =
            get_json(context, session, "/admin/v1/catalogue",
                     credential::operator_key, response)) {
        return *early_exit;
    }
    auto const in_force = parse_catalogue_response(response);
    if (failed(in_force)) {
        context.log << "medlarstall: " << error_of(in_force).message << '\n';
        return exit_code::refused;
    }
    auto const edits =
        find_edits(value_of(in_force), wanted,
                   options.partial ? absent_entry_policy::keep_entries
                                   : absent_entry_policy::delete_entries);
    if (edits.empty()) {
        context.log << "Nothing to change: the catalogue in force is that of "
                    << options.file << ".\n";
        return exit_code::success;
    }
    context.out << render_edits(value_of(in_force), edits);
    if (options.change_id.empty()) {
        options.change_id = generate_change_id();
    }
    context.out << "change id " << options.change_id << std::endl;
    auto const body = catalogue::record_writer{}.write_change(
        {.id = options.change_id, .edits = edits});
    json acceptance;
    if (auto const early_exit =
            send_change(context, session, options, body.dump(), acceptance)) {
        return *early_exit;
    }
    auto const offset = acceptance.value("offset", std::uint64_t{0});
    context.out << "accepted at offset " << offset << std::endl;
    return wait_until_in_force(context, session, options.wait, offset);
}

} // namespace

exit_code run_catalogue_publish(command_context& context)
{
    constexpr milliseconds longest_wait{600'000};
    publish_settings options;
    settings::setting_set set{
        context.arguments.front(),
        "Publishes the catalogue in a file, and waits until the change is in "
        "force at every live daemon. A change that is sent again with the "
        "same change id is applied only once.",
        MEDLARSTALL_VERSION};
    set.add_positional("file", "Catalogue as JSON", true, options.file);
    add_session_settings(set, options.session);
    set.add_switch("partial", "Keep entries that the file does not contain",
                   options.partial);
    set.add_text("change-id", "UUID of the change, to send it again",
                 options.change_id);
    set.add_duration("wait-ms",
                     "Maximum time to wait until it is in force everywhere",
                     milliseconds{0}, longest_wait, options.wait);
    if (auto const early_exit = read_settings(context, set)) {
        return *early_exit;
    }
    if (!options.change_id.empty()) {
        auto const id = parse_uuid(options.change_id);
        if (failed(id)) {
            context.log << "medlarstall: --change-id: " << error_of(id).message
                        << '\n';
            return exit_code::usage;
        }
    }
    return publish(context, options);
}

} // namespace medlarstall::cli
