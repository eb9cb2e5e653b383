#ifndef MEDLARSTALL_PLATFORM_PLATFORM_CALL_HPP
#define MEDLARSTALL_PLATFORM_PLATFORM_CALL_HPP

#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/platform/http_platform.hpp>
#include <medlarstall/support/time.hpp>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>

namespace medlarstall::platform {

/// A request to the platform.
struct call_request
{
    std::string method = "GET";
    std::string path;
    std::string body;
    backend::header_fields fields;
    std::chrono::milliseconds try_timeout{0};
    /// Tries go on until then; absent: one try at each address.
    std::optional<time_point> give_up;
};

/// How a call ended.
struct call_outcome
{
    /// The final answer, or null if there is none.
    backend::fetched_response const* response = nullptr;
    /// A try may have taken effect without an answer.
    bool ambiguous = false;
    std::string message;
};

/// Performs calls: chooses the address, repeats tries with backoff, and tells
/// refusals from lost replies.
class platform_caller : public std::enable_shared_from_this<platform_caller>
{
public:
    using done = std::function<void(call_outcome const&)>;

    platform_caller(asio::io_context& context, backend::http_client& http,
                    http_platform_settings settings);
    ~platform_caller();
    platform_caller(platform_caller const&) = delete;
    platform_caller& operator=(platform_caller const&) = delete;

    /// \param request what to send
    /// \param on_done called once, not before this returns
    void perform(call_request request, done on_done);

private:
    struct call;
    using call_ptr = std::shared_ptr<call>;

    void start_try(call_ptr const& running);
    void try_ended(call_ptr const& running, backend::fetch_result outcome);
    void retry_or_fail(call_ptr const& running, std::string message);

    asio::io_context& context_;
    backend::http_client& http_;
    http_platform_settings settings_;
    std::size_t preferred_ = 0;
    std::mt19937_64 seeds_;
    std::vector<backend::transfer_id> transfers_;
};

} // namespace medlarstall::platform

#endif
