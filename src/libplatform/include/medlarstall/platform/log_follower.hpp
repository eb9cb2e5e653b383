#ifndef MEDLARSTALL_PLATFORM_LOG_FOLLOWER_HPP
#define MEDLARSTALL_PLATFORM_LOG_FOLLOWER_HPP

#include <medlarstall/platform/jittered_backoff.hpp>
#include <medlarstall/platform/platform_client.hpp>

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace medlarstall::platform {

/// How a log is followed.
struct follower_settings
{
    std::size_t limit = 1000;              ///< Most records of one read.
    std::chrono::milliseconds wait{5'000}; ///< Long poll of one read.
    backoff_bounds backoff{.first = std::chrono::milliseconds{50},
                           .longest = std::chrono::milliseconds{1'000}};
    std::uint64_t seed = 1; ///< Of the jitter.
};

/// What a follower tells its owner.
struct follower_handlers
{
    /// A page that continues at the expected offset, or begins later because
    /// the records between have expired; also an empty page of a long poll.
    std::function<void(log_page const&)> on_page;
    /// A read failed; it will be repeated.
    std::function<void(error const&)> on_failure;
};

/// Reads a log from an offset on, without end: each read is a long poll, and a
/// failed one is repeated after a jittered delay. Owned by the daemon; used on
/// the thread of its io_context. The client must outlive it.
template<log_client Client>
class log_follower
{
public:
    /// \param context context that runs the timer
    /// \param client client that reads
    /// \param log name of the log
    /// \param settings bounds of the reads
    /// \param handlers called on the context's thread
    log_follower(asio::io_context& context, Client& client, std::string log,
                 follower_settings settings, follower_handlers handlers)
        : state_{std::make_shared<state>(context, client, std::move(log),
                                         settings, std::move(handlers))}
    {}

    ~log_follower() { stop(); }
    log_follower(log_follower const&) = delete;
    log_follower& operator=(log_follower const&) = delete;

    /// Starts to read.
    /// \param from offset of the first wanted record
    void start(log_offset from)
    {
        state_->next = from;
        state_->read();
    }

    /// Stops; no handler is called any more.
    void stop()
    {
        state_->stopped = true;
        state_->timer.cancel();
    }

    /// \return offset of the next wanted record
    [[nodiscard]] log_offset next() const { return state_->next; }

private:
    struct state : std::enable_shared_from_this<state>
    {
        state(asio::io_context& context, Client& reader, std::string name,
              follower_settings from, follower_handlers told)
            : client{reader}, log{std::move(name)}, settings{from},
              handlers{std::move(told)}, backoff{from.backoff, from.seed},
              timer{context}
        {}

        void read()
        {
            client.read(
                log,
                {.from = next, .limit = settings.limit, .wait = settings.wait},
                [self = this->shared_from_this()](
                    result<log_page> const& outcome) {
                    if (!self->stopped) {
                        self->take(outcome);
                    }
                });
        }

        void take(result<log_page> const& outcome)
        {
            if (failed(outcome)) {
                handlers.on_failure(error_of(outcome));
                read_later();
                return;
            }
            backoff.reset();
            auto const& page = value_of(outcome);
            next = std::max(next, page.first);
            if (!page.records.empty()) {
                next = page.records.back().offset + 1;
            }
            handlers.on_page(page);
            if (!stopped) {
                read();
            }
        }

        void read_later()
        {
            if (stopped) {
                return;
            }
            timer.expires_after(backoff.next());
            timer.async_wait(
                [self = this->shared_from_this()](asio::error_code failure) {
                    if (!failure && !self->stopped) {
                        self->read();
                    }
                });
        }

        Client& client;
        std::string log;
        follower_settings settings;
        follower_handlers handlers;
        jittered_backoff backoff;
        asio::steady_timer timer;
        log_offset next = 0;
        bool stopped = false;
    };

    std::shared_ptr<state> state_;
};

} // namespace medlarstall::platform

#endif
