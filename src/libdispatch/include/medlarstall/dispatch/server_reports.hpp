#ifndef MEDLARSTALL_DISPATCH_SERVER_REPORTS_HPP
#define MEDLARSTALL_DISPATCH_SERVER_REPORTS_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::dispatch {

/// What a daemon has observed of a backend server.
enum class report_kind
{
    refused, ///< It refused a connection at once, so that nothing was sent.
    silent,  ///< A connection could not be opened, or a probe got no answer.
    back     ///< It has answered, after a failure that this or another daemon
             ///< had observed.
};

/// An observation of a backend server, as daemons tell each other.
struct server_report
{
    std::string backend_server;
    std::int64_t started_unix_ms = 0; ///< Start of the run that was observed.
    report_kind kind = report_kind::back;
    std::chrono::milliseconds age{0};
};

/// What all daemons have observed of one run of a backend server. These are
/// observations and no facts: a daemon may have lost its paths, so a single one
/// proves nothing, and an answer outweighs all failures before it. Does no I/O;
/// owned by the dispatcher.
class server_reports
{
public:
    /// Failures count for this long; the probes of the daemons that have found
    /// a server down repeat them.
    static constexpr std::chrono::milliseconds lifetime{3000};

    /// Called when a daemon could not reach the server.
    /// \param daemon hash of its name; 0 for this one
    /// \param kind refused or silent
    /// \param at when that was
    void on_failure(std::uint64_t daemon, report_kind kind, time_point at);

    /// Called when the server has answered a daemon.
    /// \param daemon hash of its name; 0 for this one
    /// \param at when that was
    void on_answer(std::uint64_t daemon, time_point at);

    /// \return true if no daemon has observed a failure, so that answers need
    ///     not be noted
    [[nodiscard]] bool empty() const { return failures_.empty(); }

    /// \param now current time
    /// \return true if several daemons could not reach it, and it has answered
    ///     none since
    [[nodiscard]] bool is_doubted(time_point now) const;

    /// \param now current time
    /// \return true if another daemon could not reach it, and it has answered
    ///     none since
    [[nodiscard]] bool failed_elsewhere(time_point now) const;

    /// Tells whether a server that this daemon has found down may be used again
    /// as it has answered another daemon since. It is so at most once in the
    /// lifetime of a failure, as only the path of this daemon may be lost.
    /// \param now current time
    /// \return true if it may be used again now
    [[nodiscard]] bool take_return(time_point now);

    /// \param now current time
    /// \return the own observation to tell the peers, without the server;
    ///     empty if there is none
    [[nodiscard]] std::optional<server_report> own_report(time_point now) const;

private:
    struct failure
    {
        std::uint64_t daemon = 0;
        report_kind kind = report_kind::silent;
        time_point at;
    };
    static constexpr std::size_t max_failures = 8;

    bool answered_lately(time_point now) const;
    std::size_t failures_since(time_point now, bool with_own) const;

    std::vector<failure> failures_; ///< The last of each daemon.
    std::optional<failure> own_failure_;
    std::optional<time_point> last_answer_; ///< To any daemon.
    std::optional<time_point> own_answer_;  ///< To this daemon.
    std::optional<time_point> last_return_;
};

} // namespace medlarstall::dispatch

#endif
