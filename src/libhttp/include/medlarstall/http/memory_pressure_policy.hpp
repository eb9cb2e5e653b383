#ifndef MEDLARSTALL_HTTP_MEMORY_PRESSURE_POLICY_HPP
#define MEDLARSTALL_HTTP_MEMORY_PRESSURE_POLICY_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstddef>
#include <vector>

namespace medlarstall::http {

/// For whom a connection holds memory.
enum class holder_kind
{
    nothing_closable,   ///< Idle, or its request awaits an answer.
    unfinished_request, ///< The client has sent part of a request.
    further_requests,   ///< Read ahead of the answer to the one before.
    unread_answer       ///< The client does not read its answer.
};

/// \param kind for whom a connection holds memory
/// \return name of the enumerator, as it stands in log records
[[nodiscard]] char const* name_of(holder_kind kind);

/// What a connection holds, as seen by the decision.
struct memory_holder
{
    holder_kind kind = holder_kind::nothing_closable;
    std::size_t bytes = 0;
    /// Since the client last moved a considerable number of bytes. Time in
    /// which reading is paused by the process does not count.
    duration without_progress{};
    /// Bytes that its request may still add.
    std::size_t may_add = 0;
    bool granted = false; ///< It was resumed and may grow to its end.
    bool waiting = false; ///< Reading is paused for lack of memory.
    duration waited{};    ///< Since reading was paused.
    time_point began;     ///< When its request began.
};

/// Indexes of the holders to act upon.
struct pressure_decision
{
    std::vector<std::size_t> close;  ///< To be refused or closed, in order.
    std::vector<std::size_t> resume; ///< To be read to the end.
};

/// Decides which connections are closed and which waiting requests are read
/// when the connections of a process hold more than they should. Closed are
/// those that hold the most for the longest time without progress. Holders of
/// little are closed only if they are so many that together they hold much.
/// Never closed are requests that a backend server works on.
class memory_pressure_policy
{
public:
    /// Holders of less are not closed for what others hold, so that small
    /// requests are served meanwhile.
    static constexpr std::size_t min_bytes = 16384;
    /// A client without progress for this long is closed if others wait for
    /// its memory. A live client sends 16 KB sooner over the slowest links.
    static constexpr std::chrono::milliseconds stalled_after{500};
    /// A request that could not be read for this long is refused.
    static constexpr std::chrono::milliseconds max_wait{3000};

    /// \param holders what each connection holds
    /// \param held bytes that all hold together
    /// \param limit budget for them
    /// \return which of them to close and which to resume
    [[nodiscard]] static pressure_decision
    decide(std::vector<memory_holder> const& holders, std::size_t held,
           std::size_t limit);
};

} // namespace medlarstall::http

#endif
