#ifndef MEDLARSTALL_STANDINS_STREAM_READER_HPP
#define MEDLARSTALL_STANDINS_STREAM_READER_HPP

#include <medlarstall/standins/engine_standin.hpp>

#include <functional>
#include <memory>
#include <string>

namespace medlarstall::standins {

/// Sends one stream to one connection, with the frame faults in effect. It
/// writes again only when the last write was flushed.
class stream_reader : public std::enable_shared_from_this<stream_reader>
{
public:
    /// \param exchange request to answer
    /// \param stream stream to send
    /// \param from number of the first wanted token
    /// \param resumed true if the stream was sent before
    /// \param faults frame faults in effect, changed by their owner
    stream_reader(http_exchange_ptr exchange, engine_stream_ptr stream,
                  std::uint64_t from, bool resumed,
                  std::shared_ptr<engine_switches const> faults);

    /// Starts the answer.
    void start();

    /// Sends what was generated since the last call.
    void pump();

private:
    void append_token(std::string& out);
    void append_end(std::string& out);
    [[nodiscard]] bool ended() const;
    void send(std::string text);

    http_exchange_ptr exchange_;
    engine_stream_ptr stream_;
    std::uint64_t next_;
    bool resumed_;
    std::shared_ptr<engine_switches const> faults_;
    bool writing_ = false;
    bool done_ = false;
    std::string held_; ///< A delayed frame.
};

} // namespace medlarstall::standins

#endif
