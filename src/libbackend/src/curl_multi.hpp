#ifndef MEDLARSTALL_BACKEND_CURL_MULTI_HPP
#define MEDLARSTALL_BACKEND_CURL_MULTI_HPP

#include "transfer.hpp"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace medlarstall::backend {

/// Runs the multi interface of libcurl on an Asio context: waits for its
/// sockets and its timer, checks receive timeouts and owns the transfers. See
/// http_client for the functions of the same names.
class curl_multi : public std::enable_shared_from_this<curl_multi>
{
public:
    curl_multi(asio::io_context& io, http_client_settings settings);
    ~curl_multi();
    curl_multi(curl_multi const&) = delete;
    curl_multi& operator=(curl_multi const&) = delete;

    /// Creates the libcurl handle. Call this before any other function.
    void open();

    /// Ends all transfers and releases the libcurl handles.
    void close();

    transfer_id start(outgoing_request request, transfer_handlers handlers);
    void pause(transfer_id id);
    void resume(transfer_id id);
    void set_receive_timeout(transfer_id id, std::chrono::milliseconds timeout);
    void discard(transfer_id id);
    void cancel(transfer_id id);
    [[nodiscard]] std::size_t running_transfers() const
    {
        return transfers_.size();
    }

private:
    struct watched_socket;

    static int socket_callback(CURL* easy, curl_socket_t socket,
                               int poll_events, void* self, void* watched);
    static int timer_callback(CURLM* multi, long timeout_ms, void* self);

    void watch(curl_socket_t socket, int poll_events);
    void unwatch(curl_socket_t socket);
    void start_waits(std::shared_ptr<watched_socket> const& watched);
    void wait_for_event(std::shared_ptr<watched_socket> const& watched,
                        asio::posix::stream_descriptor::wait_type type,
                        int event);
    void set_timer(std::chrono::milliseconds delay);
    void process_socket_events(curl_socket_t socket, int events);
    void collect_finished();
    void add(transfer_id id);
    [[nodiscard]] CURL* acquire_handle();
    void recycle_handle(transfer& from);
    void remove(transfer_id id);
    void schedule_timeout_check();
    void check_receive_timeouts();

    asio::io_context& io_;
    http_client_settings settings_;
    CURLM* multi_ = nullptr;
    asio::steady_timer timer_;
    asio::steady_timer timeout_check_timer_;
    bool timeout_check_scheduled_ = false;
    bool in_libcurl_ = false; ///< A callback of libcurl may be running.
    transfer_id next_id_ = 1;
    std::unordered_map<transfer_id, std::unique_ptr<transfer>> transfers_;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> sockets_;
    std::vector<CURL*> spare_handles_; ///< Reset, for reuse.
    // Changes that are postponed because libcurl forbids them in a callback.
    std::vector<transfer_id> pending_additions_;
    std::vector<transfer_id> pending_removals_;
    /// Transfers to be resumed from the event loop.
    std::vector<transfer_id> pending_resumes_;
};

} // namespace medlarstall::backend

#endif
