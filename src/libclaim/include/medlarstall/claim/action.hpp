#ifndef MEDLARSTALL_CLAIM_ACTION_HPP
#define MEDLARSTALL_CLAIM_ACTION_HPP

#include <medlarstall/claim/call.hpp>
#include <medlarstall/claim/group_writer.hpp>
#include <medlarstall/claim/record.hpp>
#include <medlarstall/claim/refusal.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace medlarstall::claim {

/// Append a group to a stream. Answer with claim_engine::append_done,
/// append_failed or append_unknown.
struct append_action
{
    std::size_t stream = 0;
    std::uint64_t sequence = 0;
    record_group records;
};

/// Send records to the daemon that prefers to write the stream, which passes
/// them to claim_engine::forwarded. It may get lost.
struct forward_action
{
    std::size_t stream = 0;
    std::string daemon;
    std::vector<record> records;
};

/// Read a stream from an offset. Answer with claim_engine::records or
/// read_failed.
struct read_action
{
    std::size_t stream = 0;
    std::uint64_t from = 0;
    bool waits = false; ///< For records there; if not, it is answered at once.
};

/// Run the call, once. Answer with claim_engine::dispatched before the first
/// byte may leave for a backend server, then finished; or with not_dispatched.
/// The daemon answers the caller itself.
struct dispatch_action
{
    call_id id = 0;
    uuid key;
    uuid attempt;
};

/// What a caller is told.
enum class answer_kind
{
    stored,   ///< The outcome of an earlier run.
    unknown,  ///< It may or may not have run; it will not be run now.
    mismatch, ///< The key stands for another call.
    not_run   ///< This call was not run and never will be.
};

/// Answer a call that will not be dispatched.
struct answer_action
{
    call_id id = 0;
    answer_kind kind = answer_kind::not_run;
    refusal reason = refusal::none;
    shared_outcome result; ///< Set if stored.
};

/// What the daemon must do.
using action = std::variant<append_action, forward_action, read_action,
                            dispatch_action, answer_action>;

/// Actions in the order in which they were decided.
using actions = std::vector<action>;

} // namespace medlarstall::claim

#endif
