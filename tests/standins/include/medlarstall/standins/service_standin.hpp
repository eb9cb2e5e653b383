#ifndef MEDLARSTALL_STANDINS_SERVICE_STANDIN_HPP
#define MEDLARSTALL_STANDINS_SERVICE_STANDIN_HPP

#include <medlarstall/standins/http_host.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarstall::standins {

/// How a service stand-in starts.
struct service_settings
{
    host_settings host;
    std::string name = "service";
};

/// Faults that are in effect until changed. A number counts the next calls
/// that the fault strikes.
struct service_switches
{
    std::chrono::milliseconds delay{0}; ///< From the run to the answer.
    bool down = false;                  ///< Refuses connections.
    bool stopping = false;              ///< Refuses calls with 503.
    unsigned cut_midway = 0;            ///< Runs, then cuts the answer in half.
    unsigned no_answer = 0;             ///< Runs, then never answers.
    unsigned die_before = 0; ///< Resets the connection; does not run.
    unsigned die_after = 0;  ///< Runs, then resets the connection.
    unsigned refuse = 0;     ///< 503 with X-Not-Run; does not run.
};

/// One execution of a call.
struct service_run
{
    std::string key; ///< Idempotency-Key, or empty.
    std::string attempt;
    std::string method;
    std::string path;
    std::string body;
};

/// Reads the members that are present; others keep their value.
/// \param object JSON form, durations with the suffix "_ms"
/// \param switches changed in place
/// \return an error that names an unknown or ill-typed member
[[nodiscard]] status read_switches(nlohmann::json const& object,
                                   service_switches& switches);

/// A plain service over HTTP that counts the executions of each key. Used on
/// the single thread of its io_context.
class service_standin
{
public:
    service_standin(asio::io_context& context, service_settings settings = {});
    ~service_standin();
    service_standin(service_standin const&) = delete;
    service_standin& operator=(service_standin const&) = delete;

    /// Listens, with the switch "down" off.
    void start();

    /// Resets every connection and stops listening.
    void stop();

    [[nodiscard]] std::uint16_t port() const;

    /// \param switches faults in effect from now on
    void set(service_switches const& switches);

    /// \return faults in effect
    [[nodiscard]] service_switches const& switches() const;

    /// Leaves open connections open without a further byte.
    void silence_open_connections();

    /// Resets every connection.
    void drop_connections();

    /// \return number of executions by Idempotency-Key
    [[nodiscard]] std::map<std::string, unsigned> executions() const;

    /// \return every execution, in order; the last 100,000 are kept
    [[nodiscard]] std::vector<service_run> runs() const;

private:
    struct implementation;
    std::shared_ptr<implementation> parts_;
};

} // namespace medlarstall::standins

#endif
