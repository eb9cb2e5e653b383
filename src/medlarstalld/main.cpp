#include <medlarstall/catalogue/catalogue_reader.hpp>
#include <medlarstall/daemon/daemon.hpp>
#include <medlarstall/settings/setting_set.hpp>
#include <medlarstall/support/log.hpp>
#include <medlarstall/support/process_memory.hpp>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace medlarstall;
using std::chrono::milliseconds;

constexpr int exit_failure = 1; ///< Startup failed, or a request was cut off.
constexpr int exit_usage = 2;   ///< A setting is invalid.

/// Settings of the program: those of the daemon and those of the process.
struct program_settings
{
    daemon::daemon_settings daemon;
    std::string catalogue_file; ///< Path; empty for none.
    std::string log_level = "info";
    std::string log_format = "key-value";
    std::uint64_t memory_mb = 256; ///< Of the machine.
    bool check = false;            ///< Validate the settings and exit.
};

/// Declares the settings, with their limits and help texts.
settings::setting_set make_setting_set(program_settings& target)
{
    settings::setting_set set{"medlarstalld",
                              "Routes language-model traffic with service "
                              "levels and priorities.",
                              MEDLARSTALL_VERSION};
    auto& options = target.daemon;
    constexpr std::uint64_t max_port = 65'535;
    constexpr milliseconds day{86'400'000};
    set.add_text("id", "Name of this daemon, unique among all", options.id);
    set.add_text("data-centre", "Data centre of this instance",
                 options.data_centre);
    set.add_text("region", "Region of this instance", options.region);
    set.add_text("address", "IP address to listen on",
                 options.http_server.address);
    set.add_text("advertised-address",
                 "IP address that callers and daemons use, if it differs",
                 options.advertised_address);
    set.add_number("port", "Port for callers; 0 chooses a free one", 0,
                   max_port, options.http_server.port);
    set.add_number("peer-port", "Port for other daemons; 0 chooses a free one",
                   0, max_port, options.peer_port);
    set.add_text("peer-secret", "Secret that all daemons share",
                 options.peer_secret);
    set.add_list("platform", "IP:PORT of the platform; may be repeated",
                 options.platform_addresses);
    set.add_switch("standalone", "Run without a platform", options.standalone);
    set.add_text("catalogue", "File with the first catalogue, for --standalone",
                 target.catalogue_file);
    set.add_text("bootstrap-key-digest",
                 "SHA-256 of the key that may publish the first catalogue",
                 options.bootstrap_key_digest);
    set.add_number("max-connections",
                   "Maximum of open connections from callers", 1, 1'000'000,
                   options.http_server.max_connections);
    set.add_number("memory-mb",
                   "Memory of the machine in MB, of which callers may hold a "
                   "part",
                   32, 1'000'000, target.memory_mb);
    set.add_number("max-body-bytes", "Maximum size of a request body", 1'024,
                   std::uint64_t{1} << 30U, options.http_server.max_body_bytes);
    set.add_number("max-field-bytes", "Maximum size of a header field", 256,
                   1'048'576, options.http_server.max_field_bytes);
    set.add_number("max-fields", "Maximum of header fields of a request", 8,
                   1'024, options.http_server.max_fields);
    set.add_number("max-json-depth", "Maximum nesting of a JSON body", 4, 1'024,
                   options.max_json_depth);
    set.add_number("max-open-requests", "Maximum of requests being answered", 1,
                   1'000'000, options.max_open_requests);
    set.add_number("stream-buffer-bytes",
                   "Bytes of a response buffered for a slow caller", 1'024,
                   std::uint64_t{1} << 26U, options.stream_buffer_bytes);
    set.add_duration("request-read-timeout-ms",
                     "Maximum time for a caller to send a request",
                     milliseconds{100}, milliseconds{600'000},
                     options.http_server.request_read_timeout);
    set.add_duration("directory-ttl-ms",
                     "How long callers may cache an address", milliseconds{100},
                     milliseconds{600'000}, options.directory_ttl);
    set.add_duration(
        "drain-margin-ms", "Time to wait after the directory TTL when draining",
        milliseconds{0}, milliseconds{600'000}, options.drain_margin);
    set.add_duration("drain-bound-ms", "Maximum time of a graceful stop",
                     milliseconds{1'000}, day, options.drain_timeout);
    set.add_choice("log-level", "Minimum severity that is logged",
                   {"debug", "info", "warning", "error"}, target.log_level);
    set.add_choice("log-format", "Encoding of log lines", {"key-value", "json"},
                   target.log_format);
    set.add_switch("check", "Check the settings and the catalogue, then exit",
                   target.check);
    return set;
}

/// Converts a value of --log-level, which the setting has validated.
severity parse_severity(std::string const& name)
{
    if (name == "debug") {
        return severity::debug;
    }
    if (name == "warning") {
        return severity::warning;
    }
    return name == "error" ? severity::error : severity::info;
}

/// Reads the catalogue file and checks settings that depend on each other.
/// \return the first error, if any
status load_catalogue_and_validate(program_settings& settings)
{
    auto& daemon = settings.daemon;
    if (!settings.catalogue_file.empty()) {
        std::ifstream file{settings.catalogue_file};
        if (!file) {
            return error{"--catalogue",
                         "\"" + settings.catalogue_file + "\" cannot be read"};
        }
        std::ostringstream text;
        text << file.rdbuf();
        daemon.catalogue_json = text.str();
        auto const read_result =
            catalogue::catalogue_reader{}.read(daemon.catalogue_json);
        if (failed(read_result)) {
            return error{settings.catalogue_file + ": " +
                             error_of(read_result).field,
                         error_of(read_result).message};
        }
    }
    if (daemon.standalone == !daemon.platform_addresses.empty()) {
        return error{"--standalone",
                     "give either --standalone or --platform IP:PORT"};
    }
    if (daemon.standalone && settings.catalogue_file.empty()) {
        return error{"--catalogue", "is required with --standalone"};
    }
    if (!daemon.standalone && daemon.peer_secret.empty()) {
        return error{"--peer-secret", "is required with --platform"};
    }
    return success();
}

void print_error(error const& failure)
{
    std::cerr << "medlarstalld: " << failure.field << ": " << failure.message
              << '\n';
}

/// Leaves descriptors for connections to backend servers, and derives the
/// memory that connections may hold.
void bound_by_machine(program_settings& settings)
{
    constexpr std::size_t own_descriptors = 50;
    constexpr double program_memory_mb = 20; // Before the first request.
    auto& server = settings.daemon.http_server;
    server.max_held_bytes = held_memory_budget(
        static_cast<double>(settings.memory_mb) - program_memory_mb);
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur == RLIM_INFINITY) {
        return;
    }
    auto const sockets =
        std::max<std::size_t>(limit.rlim_cur, own_descriptors) -
        own_descriptors;
    auto const allowed = std::max<std::size_t>(sockets / 2, 1);
    if (server.max_connections > allowed) {
        log_line{severity::info, "connections_limited"}
            .with("configured", server.max_connections)
            .with("allowed", allowed)
            .with("descriptors", limit.rlim_cur);
        server.max_connections = allowed;
    }
}

/// Runs the daemon until SIGTERM or SIGINT has drained it.
/// \return exit code of the process
int run(program_settings const& settings)
{
    asio::io_context io{1};
    daemon::daemon router{io, settings.daemon};
    auto const start_result = router.start();
    if (failed(start_result)) {
        print_error(error_of(start_result));
        return exit_failure;
    }
    auto const& ports = value_of(start_result);
    std::cout << "listening address=" << settings.daemon.http_server.address
              << " port=" << ports.port << " peer_port=" << ports.peer_port
              << std::endl;
    int code = EXIT_SUCCESS;
    router.set_drained_handler([&](bool no_request_cut_off) {
        code = no_request_cut_off ? EXIT_SUCCESS : exit_failure;
        io.stop();
    });
    asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&](auto const& failure, int) {
        if (failure) {
            return;
        }
        router.drain([](bool) {});
    });
    io.run();
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    return_freed_memory();
    std::signal(SIGPIPE, SIG_IGN);
    program_settings settings;
    auto set = make_setting_set(settings);
    auto const read_result =
        set.read({argv, argv + argc}, [](char const* name) {
            return std::getenv(name); // NOLINT(concurrency-mt-unsafe)
        });
    if (failed(read_result)) {
        print_error(error_of(read_result));
        return exit_usage;
    }
    if (value_of(read_result) == settings::startup_action::stop) {
        return EXIT_SUCCESS;
    }
    auto const chart_check = daemon::load_state_charts();
    if (failed(chart_check)) {
        print_error(error_of(chart_check));
        return exit_failure;
    }
    auto const validation = load_catalogue_and_validate(settings);
    if (failed(validation)) {
        print_error(error_of(validation));
        return exit_usage;
    }
    if (settings.check) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    start_logging({.min_severity = parse_severity(settings.log_level),
                   .format = settings.log_format == "json"
                                 ? log_format::json
                                 : log_format::key_value});
    bound_by_machine(settings);
    return run(settings);
}
