#ifndef MEDLARSTALL_STANDINS_PLATFORM_STANDIN_HPP
#define MEDLARSTALL_STANDINS_PLATFORM_STANDIN_HPP

#include <medlarstall/platform/log_types.hpp>
#include <medlarstall/standins/http_host.hpp>
#include <medlarstall/support/result.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::standins {

/// How a platform stand-in starts.
struct platform_settings
{
    host_settings host;
    std::chrono::milliseconds default_lease{10'000};
};

/// Faults and limits that are in effect until changed. A number counts the
/// next appends that the fault strikes.
struct platform_switches
{
    bool outage = false;                ///< 503 to everything.
    bool down = false;                  ///< Refuses connections.
    std::chrono::milliseconds delay{0}; ///< Before every answer.
    unsigned lose_reply = 0;  ///< Appends, then resets the connection.
    unsigned late_effect = 0; ///< Resets the connection, then appends...
    std::chrono::milliseconds late_by{500}; ///< ...so much later.
    std::chrono::milliseconds retention{0}; ///< Of records; 0: for ever.
    double appends_per_second = 300;        ///< Over all logs.
    std::chrono::milliseconds list_lag{0};  ///< Of the instance list.
    double weight_reads_per_second = 2;
};

/// Reads the members that are present; others keep their value.
/// \param object JSON form, durations with the suffix "_ms"
/// \param switches changed in place
/// \return an error that names an unknown or ill-typed member
[[nodiscard]] status read_switches(nlohmann::json const& object,
                                   platform_switches& switches);

/// The platform over HTTP: logs, instance list and weight store in memory.
/// Used on the single thread of its io_context.
class platform_standin
{
public:
    platform_standin(asio::io_context& context,
                     platform_settings settings = {});
    ~platform_standin();
    platform_standin(platform_standin const&) = delete;
    platform_standin& operator=(platform_standin const&) = delete;

    /// Listens, with the switch "down" off; logs are kept from before.
    void start();

    /// Resets every connection and stops listening.
    void stop();

    [[nodiscard]] std::uint16_t port() const;

    /// \param switches faults and limits in effect from now on
    void set(platform_switches const& switches);

    /// \return faults and limits in effect
    [[nodiscard]] platform_switches const& switches() const;

    /// Leaves open connections open without a further byte.
    void silence_open_connections();

    /// \param name name of a log
    /// \return its retained records
    [[nodiscard]] platform::log_page log(std::string const& name) const;

    /// Drops the records of a log below an offset.
    /// \param name name of the log
    /// \param first lowest offset to retain
    void expire(std::string const& name, platform::log_offset first);

    /// Changes a record in place.
    /// \param name name of the log
    /// \param offset offset of the record
    /// \param value its new value
    /// \return false if there is no such record
    bool damage(std::string const& name, platform::log_offset offset,
                nlohmann::json value);

    /// Registers an instance as PUT /instances/ID does, without a lapse.
    /// \param id identifier
    /// \param instance object as docs/INTERFACES.md has it
    void put_instance(std::string const& id, nlohmann::json instance);

    /// \param id identifier of the instance to remove
    void remove_instance(std::string const& id);

    /// \return number of appends that took effect
    [[nodiscard]] std::uint64_t appends() const;

    /// \return number of appends refused for the limit on their rate
    [[nodiscard]] std::uint64_t refused_appends() const;

private:
    struct implementation;
    std::shared_ptr<implementation> parts_;
};

} // namespace medlarstall::standins

#endif
