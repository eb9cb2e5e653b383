#ifndef MEDLARSTALL_PLATFORM_STANDINS_SERVER_STANDIN_HPP
#define MEDLARSTALL_PLATFORM_STANDINS_SERVER_STANDIN_HPP

#include <medlarstall/http/http_listener.hpp>

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::platform_standins {

/// What a stand-in backend server does with a request.
struct behaviour
{
    enum class kind
    {
        answer,    ///< 200 with a body, or its events.
        fail,      ///< 500.
        turn_away, ///< 503, not run; asks for a pause if it has one.
        cut,       ///< Runs it, sends some events, and breaks off.
        hold       ///< Runs it and does not answer.
    };

    kind what = kind::answer;
    std::uint64_t events = 0; ///< Of a stream; 0: a plain body.
    /// For a request that resumes a stream: it is answered up to this event.
    std::uint64_t resumed_events = 0;
    std::string pause; ///< What a turned-away caller is told to wait.
    /// A request that resumes a stream fails with so many bytes; 0: it does
    /// not.
    std::size_t resumed_error_bytes = 0;
};

/// A request that a stand-in backend server has run.
struct run_record
{
    http::request_head head;
    std::string body;
};

/// A backend server that speaks the platform's protocol and does what a test
/// tells it.
class server_standin
{
public:
    /// \param context event loop
    /// \param id its id
    server_standin(asio::io_context& context, std::string id);

    /// \return its id
    [[nodiscard]] std::string const& id() const { return id_; }

    /// \return its address as IP:PORT
    [[nodiscard]] std::string address() const;

    /// Sets what it does with the next request without a script.
    /// \param next what to do
    void script(behaviour const& next) { script_.push_back(next); }

    /// Drops what was set for requests that have not come.
    void clear_script() { script_.clear(); }

    /// Sets a prompt part that crashes it, unless it is the last of a prompt.
    /// \param part id of the part as requests state it
    void crash_on(std::string part) { crashing_part_ = std::move(part); }

    /// Breaks off all answers, and refuses connections from now on.
    void crash();

    /// \return when it has crashed; empty if it has not
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point>
    crashed_at() const
    {
        return crashed_at_;
    }

    /// Sets the version of its software, "v1" at first.
    /// \param version the version as its entry states it
    void run_version(std::string version) { version_ = std::move(version); }

    /// \return version of its software
    [[nodiscard]] std::string const& version() const { return version_; }

    /// Ends its process and starts another under its id at once: breaks off
    /// all answers and closes all connections that are idle.
    /// \param version version of its software from now on
    void restart(std::string version);

    /// Does not state any more when its process has started, other than in its
    /// entry.
    void hide_start() { states_start_ = false; }

    /// Says in all answers from now on that it leaves.
    void leave() { leaving_ = true; }

    /// Rejects health checks from now on, as a server without a free slot does.
    void reject_health_checks() { rejects_health_checks_ = true; }

    /// States a rate limit in all answers from now on.
    /// \param requests_per_second the limit as text; empty to state none
    void limit_rate(std::string requests_per_second)
    {
        rate_limit_ = std::move(requests_per_second);
    }

    /// States in all answers from now on how many rejections it survives.
    /// \param per_second the number as text; empty to state none
    void limit_rejections(std::string per_second)
    {
        rejection_limit_ = std::move(per_second);
    }

    /// \return when each request of any kind has reached it
    [[nodiscard]] std::vector<std::chrono::steady_clock::time_point> const&
    arrival_times() const
    {
        return arrival_times_;
    }

    /// \return requests of any kind that have reached it
    [[nodiscard]] std::size_t arrivals() const { return arrival_times_.size(); }

    /// \return its entry in the list
    /// \param service name of its service
    /// \param state "ready" or "draining"
    /// \param sequence number of the entry
    [[nodiscard]] std::string entry(std::string const& service,
                                    std::string const& state,
                                    std::uint64_t sequence) const;

    /// \return requests that it has run
    [[nodiscard]] std::vector<run_record> const& runs() const { return runs_; }

    /// \return held requests whose caller has left
    [[nodiscard]] std::size_t abandoned() const { return abandoned_; }

    /// Answers all held requests.
    void release_held();

private:
    void on_request(std::unique_ptr<http::exchange> caller);
    bool crashes_it(http::exchange& caller) const;
    void report_state(http::exchange& caller) const;
    void send_events(http::exchange& caller, std::uint64_t count);
    http::response_head head_for(http::exchange& caller, int status) const;

    std::string id_;
    std::string version_{"v1"};
    http::http_listener listener_;
    std::deque<behaviour> script_;
    std::vector<run_record> runs_;
    std::vector<std::unique_ptr<http::exchange>> held_;
    std::size_t abandoned_ = 0;
    std::vector<std::chrono::steady_clock::time_point> arrival_times_;
    std::int64_t started_unix_ms_ = 1700000000000;
    bool states_start_ = true;
    bool leaving_ = false;
    bool rejects_health_checks_ = false;
    std::string rate_limit_;
    std::string rejection_limit_;
    std::string crashing_part_;
    std::optional<std::chrono::steady_clock::time_point> crashed_at_;
};

} // namespace medlarstall::platform_standins

#endif
