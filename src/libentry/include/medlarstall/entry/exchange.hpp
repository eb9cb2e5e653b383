#ifndef MEDLARSTALL_ENTRY_EXCHANGE_HPP
#define MEDLARSTALL_ENTRY_EXCHANGE_HPP

#include <medlarstall/entry/http_message.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace medlarstall::entry {

/// A caller's request and the answer to it, whole or streamed. Shared by the
/// front and by whoever answers; used on the front's thread only.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// Connects an exchange to the HTTP library.
    struct transport;

    exchange(http_request request, std::unique_ptr<transport> connection);
    ~exchange();
    exchange(exchange const&) = delete;
    exchange& operator=(exchange const&) = delete;

    /// \return the caller's request
    [[nodiscard]] http_request const& request() const { return request_; }

    /// Sends a whole answer. Does nothing if an answer was already started
    /// or the caller left.
    /// \param answer status, fields and body
    void respond(http_response answer);

    /// Starts a streamed answer.
    /// \param status HTTP status
    /// \param fields header fields
    void start_stream(int status, header_fields fields);

    /// Adds a part to a streamed answer. Parts written while an earlier one
    /// is being sent are sent together.
    /// \param part bytes to send
    void write(std::string_view part);

    /// Ends a streamed answer.
    void finish();

    /// Breaks the connection off, so that the caller sees a cut answer.
    void abort();

    /// \return bytes written but not yet handed to the socket
    [[nodiscard]] std::size_t pending_bytes() const;

    /// \return true once an answer was started
    [[nodiscard]] bool started() const { return started_; }

    /// \return true once the caller left or the answer ended
    [[nodiscard]] bool closed() const { return closed_; }

    /// Sets what is called each time that pending bytes were sent.
    /// \param handler called on the front's thread
    void on_sent(std::function<void()> handler);

    /// Sets what is called once if the caller leaves before the answer ended.
    /// \param handler called on the front's thread
    void on_caller_left(std::function<void()> handler);

    /// Tells the exchange that its connection closed. Called by the front.
    void connection_closed();

private:
    void close();
    void flush();
    void sent(bool succeeded, std::size_t bytes);

    http_request request_;
    std::unique_ptr<transport> transport_;
    std::string waiting_;
    std::size_t in_flight_ = 0;
    bool started_ = false;
    bool streaming_ = false;
    bool finishing_ = false;
    bool closed_ = false;
    std::function<void()> on_sent_;
    std::function<void()> on_caller_left_;
};

} // namespace medlarstall::entry

#endif
