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

/// Runs libcurl's multi interface on an Asio context: waits for its sockets
/// and its timer, and owns the transfers.
class curl_multi : public std::enable_shared_from_this<curl_multi>
{
public:
    curl_multi(asio::io_context& io, http_client_settings settings);
    ~curl_multi();
    curl_multi(curl_multi const&) = delete;
    curl_multi& operator=(curl_multi const&) = delete;

    void open();
    void close();
    transfer_id start(outgoing_request request, transfer_handlers handlers);
    void pause(transfer_id id);
    void resume(transfer_id id);
    void set_silence_timeout(transfer_id id, std::chrono::milliseconds timeout);
    void discard(transfer_id id);
    void cancel(transfer_id id);
    [[nodiscard]] std::size_t running() const { return transfers_.size(); }

private:
    struct watched_socket;

    static int socket_callback(CURL* easy, curl_socket_t socket, int what,
                               void* self, void* watched);
    static int timer_callback(CURLM* multi, long timeout_ms, void* self);

    void watch(curl_socket_t socket, int what);
    void unwatch(curl_socket_t socket);
    void wait_for(std::shared_ptr<watched_socket> const& watched);
    void wait_for_event(std::shared_ptr<watched_socket> const& watched,
                        asio::posix::stream_descriptor::wait_type type,
                        int event);
    void set_timer(std::chrono::milliseconds delay);
    void act(curl_socket_t socket, int events);
    void collect_finished();
    void add(transfer_id id);
    [[nodiscard]] CURL* take_handle();
    void keep_handle(transfer& from);
    void remove(transfer_id id);
    void watch_silence();
    void check_silence();

    asio::io_context& io_;
    http_client_settings settings_;
    CURLM* multi_ = nullptr;
    asio::steady_timer timer_;
    asio::steady_timer silence_timer_;
    bool silence_watched_ = false;
    bool acting_ = false;
    transfer_id next_id_ = 1;
    std::unordered_map<transfer_id, std::unique_ptr<transfer>> transfers_;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> sockets_;
    std::vector<CURL*> spare_handles_; ///< Reset, for later transfers.
    std::vector<transfer_id> added_;
    std::vector<transfer_id> cancelled_;
    std::vector<transfer_id> resumed_;
};

} // namespace medlarstall::backend

#endif
