#ifndef MEDLARSTALL_PLATFORM_PLATFORM_CLIENT_HPP
#define MEDLARSTALL_PLATFORM_PLATFORM_CLIENT_HPP

#include <medlarstall/platform/instance.hpp>
#include <medlarstall/platform/log_types.hpp>
#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace medlarstall::platform {

/// Why an append did not succeed.
struct append_failure
{
    /// True if the append may have taken effect or may yet do so; only reading
    /// the log tells. False: it did not and will not.
    bool may_take_effect = false;
    std::string message;
};

/// Where the records stand, or why that is not known.
using append_outcome = std::variant<append_receipt, append_failure>;

/// What to read from a log.
struct read_request
{
    log_offset from = 0;
    std::size_t limit = 1000; ///< Most records.
    /// Longest time to wait for a record at \c from.
    std::chrono::milliseconds wait{0};
};

/// Weights of a model in the weight store.
struct weight_info
{
    std::uint64_t bytes = 0;
};

/// The weight store's rate limit was exceeded.
struct weight_refusal
{
    std::chrono::milliseconds retry_after{1'000};
};

/// The outcome of asking the weight store.
using weight_outcome = std::variant<weight_info, weight_refusal, error>;

using append_callback = std::function<void(append_outcome)>;
using read_callback = std::function<void(result<log_page>)>;
using list_callback = std::function<void(result<instance_snapshot>)>;
using change_callback = std::function<void(status)>;
using weight_callback = std::function<void(weight_outcome)>;

/// Appends to and reads from logs. No callback runs before the call returns.
/// append() may be retried with the same writer and sequence, by the client
/// itself until the time limit or by its user later.
template<class Client>
concept log_client =
    requires(Client& client, std::string const& log, append_request appended,
             read_request wanted, std::chrono::milliseconds time_limit,
             append_callback on_append, read_callback on_read) {
        client.append(log, appended, time_limit, on_append);
        client.read(log, wanted, on_read);
    };

/// Lists instances, and registers, renews or removes one of them.
template<class Client>
concept instance_list =
    requires(Client& client, instance registered, std::string const& id,
             std::optional<std::chrono::milliseconds> lease,
             list_callback on_list, change_callback on_change) {
        client.list_instances(on_list);
        client.put_instance(registered, lease, on_change);
        client.remove_instance(id, on_change);
    };

/// Reads weights at a limited rate.
template<class Client>
concept weight_store =
    requires(Client& client, std::string const& model,
             std::string const& version, weight_callback on_reply) {
        client.read_weights(model, version, on_reply);
    };

/// Everything that the daemon needs of the platform.
template<class Client>
concept platform_client =
    log_client<Client> && instance_list<Client> && weight_store<Client>;

} // namespace medlarstall::platform

#endif
