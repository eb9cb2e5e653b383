#ifndef MEDLARSTALL_BACKEND_TRANSFER_HPP
#define MEDLARSTALL_BACKEND_TRANSFER_HPP

#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/support/time.hpp>

#include <curl/curl.h>

#include <utility>

namespace medlarstall::backend {

/// One easy handle of libcurl and the handlers of its answer. Owned by
/// curl_multi.
class transfer
{
public:
    /// \param handle a fresh or reset easy handle; given back by release()
    /// \param id identifier
    /// \param request what to send
    /// \param handlers receivers of the answer
    /// \param settings bounds of the client
    transfer(CURL* handle, transfer_id id, outgoing_request request,
             transfer_handlers handlers, http_client_settings const& settings);
    ~transfer();
    transfer(transfer const&) = delete;
    transfer& operator=(transfer const&) = delete;

    [[nodiscard]] CURL* handle() const { return handle_; }

    /// Gives the easy handle back, which the transfer then no longer owns.
    [[nodiscard]] CURL* release() { return std::exchange(handle_, nullptr); }
    [[nodiscard]] transfer_id id() const { return id_; }

    /// Calls the end handler with what libcurl reports.
    /// \param code result of the transfer
    void finish(CURLcode code);

    /// Drops the handlers.
    void forget_handlers() { handlers_.reset(); }

    /// Sets whether the answer is read.
    void set_paused(bool paused);

    /// Sets the longest time without a byte from the server.
    void set_silence_timeout(std::chrono::milliseconds timeout)
    {
        request_.silence_timeout = timeout;
    }

    /// Tells whether the server was silent for too long.
    /// \param now current time
    [[nodiscard]] bool silent_too_long(time_point now) const;

    /// \return true if the silence of the server is bounded
    [[nodiscard]] bool watches_silence() const;

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
    /// Shared with the call that runs one of them, which may forget them.
    std::shared_ptr<transfer_handlers const> handlers_;
    CURL* handle_ = nullptr;
    curl_slist* fields_ = nullptr;
    response_head head_;
    bool head_given_ = false;
    bool paused_ = false;
    time_point last_byte_;
    char error_text_[CURL_ERROR_SIZE] = {};
};

} // namespace medlarstall::backend

#endif
