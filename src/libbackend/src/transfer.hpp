#ifndef MEDLARSTALL_BACKEND_TRANSFER_HPP
#define MEDLARSTALL_BACKEND_TRANSFER_HPP

#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/support/time.hpp>

#include <curl/curl.h>

#include <utility>

namespace medlarstall::backend {

/// One HTTP request on an easy handle of libcurl, and the handlers of its
/// response. Owned by curl_multi.
class transfer
{
public:
    /// \param handle new or reset easy handle, owned until release() is called
    /// \param id identifier of the transfer
    /// \param request request to send
    /// \param handlers called as the response arrives
    /// \param settings settings of the client; must outlive the transfer
    transfer(CURL* handle, transfer_id id, outgoing_request request,
             transfer_handlers handlers, http_client_settings const& settings);
    ~transfer();
    transfer(transfer const&) = delete;
    transfer& operator=(transfer const&) = delete;

    [[nodiscard]] CURL* handle() const { return handle_; }

    /// Gives up ownership of the easy handle.
    /// \return the easy handle
    [[nodiscard]] CURL* release() { return std::exchange(handle_, nullptr); }

    [[nodiscard]] transfer_id id() const { return id_; }

    /// Calls on_done with the result that libcurl reports.
    /// \param code result of the transfer
    void finish(CURLcode code);

    /// Removes the handlers, so that none is called any more.
    void clear_handlers() { handlers_.reset(); }

    /// Pauses or resumes reading of the response, and restarts the receive
    /// timeout.
    void set_paused(bool paused);

    /// Sets the longest time without data from the server; zero for no limit.
    void set_receive_timeout(std::chrono::milliseconds timeout)
    {
        request_.receive_timeout = timeout;
    }

    /// \param now current time
    /// \return true if no data arrived for longer than the receive timeout;
    ///     always false while the transfer is paused
    [[nodiscard]] bool receive_timed_out(time_point now) const;

    /// \return true if a receive timeout is set
    [[nodiscard]] bool has_receive_timeout() const;

private:
    void set_options(http_client_settings const& settings);
    void set_method_and_body();
    [[nodiscard]] transfer_stage stage() const;
    std::size_t receive_header(std::string_view line);
    std::size_t receive_body(std::string_view data);

    static std::size_t header_callback(char* data, std::size_t size,
                                       std::size_t count, void* self);
    static std::size_t body_callback(char* data, std::size_t size,
                                     std::size_t count, void* self);

    transfer_id id_;
    outgoing_request request_;
    /// Shared with the call that runs one of them, because the handler may
    /// clear them.
    std::shared_ptr<transfer_handlers const> handlers_;
    CURL* handle_ = nullptr;
    curl_slist* fields_ = nullptr;
    response_head head_;
    bool head_delivered_ = false;
    bool paused_ = false;
    time_point last_receive_time_;
    char error_text_[CURL_ERROR_SIZE] = {};
};

} // namespace medlarstall::backend

#endif
