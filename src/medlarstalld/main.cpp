#include <medlarstall/catalogue/catalogue_reader.hpp>
#include <medlarstall/daemon/daemon.hpp>
#include <medlarstall/settings/setting_set.hpp>
#include <medlarstall/support/log.hpp>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace medlarstall;
using std::chrono::milliseconds;

constexpr int exit_failure = 1; ///< Could not start, or cut off a request.
constexpr int exit_usage = 2;   ///< A setting is wrong.

/// What the program is told besides the daemon's own settings.
struct program_settings
{
    daemon::daemon_settings daemon;
    std::string catalogue_file;
    std::string log_level = "info";
    std::string log_format = "key-value";
    bool check = false;
};

settings::setting_set describe(program_settings& target)
{
    settings::setting_set set{"medlarstalld",
                              "Routes language-model traffic with service "
                              "levels and priorities.",
                              MEDLARSTALL_VERSION};
    auto& to = target.daemon;
    constexpr std::uint64_t last_port = 65'535;
    constexpr milliseconds day{86'400'000};
    set.add("id", "Name of this daemon, unique among all", to.id);
    set.add("data-centre", "Data centre of this instance", to.data_centre);
    set.add("region", "Region of this instance", to.region);
    set.add("address", "IP number to listen on", to.front.address);
    set.add("advertised-address",
            "IP number that callers and daemons use, if another",
            to.advertised_address);
    set.add_number("port", "Port for callers; 0 picks one", 0, last_port,
                   to.front.port);
    set.add_number("peer-port", "Port for other daemons; 0 picks one", 0,
                   last_port, to.peer_port);
    set.add("peer-secret", "Secret that all daemons share", to.peer_secret);
    set.add_list("platform", "IP:PORT of the platform; may be repeated",
                 to.platform_addresses);
    set.add_switch("standalone", "Run without a platform", to.standalone);
    set.add("catalogue", "File with the first catalogue, for --standalone",
            target.catalogue_file);
    set.add("bootstrap-key-digest",
            "SHA-256 of the key that may publish the first catalogue",
            to.bootstrap_key_digest);
    set.add_number("max-connections", "Open connections of callers", 1,
                   1'000'000, to.front.max_connections);
    set.add_number("max-body-bytes", "Largest body of a request", 1'024,
                   std::uint64_t{1} << 30U, to.front.max_body_bytes);
    set.add_number("max-field-bytes", "Longest header field", 256, 1'048'576,
                   to.front.max_field_bytes);
    set.add_number("max-fields", "Header fields of a request", 8, 1'024,
                   to.front.max_fields);
    set.add_number("max-json-depth", "Nesting of a JSON body", 4, 1'024,
                   to.max_json_depth);
    set.add_number("max-open-requests", "Requests being answered", 1, 1'000'000,
                   to.max_open_requests);
    set.add_number("stream-buffer-bytes",
                   "Bytes of an answer that wait for a slow caller", 1'024,
                   std::uint64_t{1} << 26U, to.stream_buffer_bytes);
    set.add_span("request-read-timeout-ms", "Longest time to send a request",
                 milliseconds{100}, milliseconds{600'000},
                 to.front.request_read_timeout);
    set.add_span("directory-ttl-ms", "How long callers keep an address",
                 milliseconds{100}, milliseconds{600'000}, to.directory_ttl);
    set.add_span("drain-margin-ms", "Time beyond the directory's ttl",
                 milliseconds{0}, milliseconds{600'000}, to.drain_margin);
    set.add_span("drain-bound-ms", "Longest graceful stop", milliseconds{1'000},
                 day, to.drain_bound);
    set.add_choice("log-level", "Least severity that is logged",
                   {"debug", "info", "warning", "error"}, target.log_level);
    set.add_choice("log-format", "Form of log lines", {"key-value", "json"},
                   target.log_format);
    set.add_switch("check", "Check the settings and the catalogue, then exit",
                   target.check);
    return set;
}

severity severity_of(std::string const& name)
{
    if (name == "debug") {
        return severity::debug;
    }
    if (name == "warning") {
        return severity::warning;
    }
    return name == "error" ? severity::error : severity::info;
}

/// Reads the catalogue file and checks settings against one another.
status complete(program_settings& settings)
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
        daemon.catalogue_text = text.str();
        auto const read =
            catalogue::catalogue_reader{}.read(daemon.catalogue_text);
        if (failed(read)) {
            return error{settings.catalogue_file + ": " + error_of(read).field,
                         error_of(read).message};
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

void print(error const& problem)
{
    std::cerr << "medlarstalld: " << problem.field << ": " << problem.message
              << '\n';
}

int run(program_settings const& settings)
{
    asio::io_context io{1};
    daemon::daemon router{io, settings.daemon};
    auto const started = router.start();
    if (failed(started)) {
        print(error_of(started));
        return exit_failure;
    }
    auto const& bound = value_of(started);
    std::cout << "listening address=" << settings.daemon.front.address
              << " port=" << bound.port << " peer_port=" << bound.peer_port
              << std::endl;
    int code = EXIT_SUCCESS;
    router.when_drained([&](bool clean) {
        code = clean ? EXIT_SUCCESS : exit_failure;
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
    program_settings settings;
    auto set = describe(settings);
    auto const read = set.read({argv, argv + argc}, [](char const* name) {
        return std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    });
    if (failed(read)) {
        print(error_of(read));
        return exit_usage;
    }
    if (value_of(read) == settings::next::stop) {
        return EXIT_SUCCESS;
    }
    auto const charts = daemon::check_charts();
    if (failed(charts)) {
        print(error_of(charts));
        return exit_failure;
    }
    auto const completed = complete(settings);
    if (failed(completed)) {
        print(error_of(completed));
        return exit_usage;
    }
    if (settings.check) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    start_logging({.least = severity_of(settings.log_level),
                   .format = settings.log_format == "json"
                                 ? log_format::json
                                 : log_format::key_value});
    return run(settings);
}
