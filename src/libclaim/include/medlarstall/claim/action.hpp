#ifndef MEDLARSTALL_CLAIM_ACTION_HPP
#define MEDLARSTALL_CLAIM_ACTION_HPP

#include <medlarstall/claim/call.hpp>
#include <medlarstall/claim/group_writer.hpp>
#include <medlarstall/claim/record.hpp>
#include <medlarstall/claim/refusal_reason.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace medlarstall::claim {

/// Requests an append of a group of records to a stream. The daemon reports
/// the result with claim_engine::on_append_succeeded, on_append_failed or
/// on_append_unknown.
struct append_action
{
    std::size_t stream = 0;
    std::uint64_t sequence = 0; ///< Identifies the append for this writer.
    record_group records;
};

/// Requests that records are sent to the preferred writer of a stream, which
/// passes them to claim_engine::on_records_forwarded. Delivery is not
/// guaranteed, and no reply is expected.
struct forward_action
{
    std::size_t stream = 0;
    std::string daemon; ///< Identifier of the preferred writer.
    std::vector<record> records;
};

/// Requests a read of a stream. The daemon reports the result with
/// claim_engine::on_records_read or on_read_failed.
struct read_action
{
    std::size_t stream = 0;
    std::uint64_t from_offset = 0; ///< Offset of the first record to read.
    bool wait_for_records =
        false; ///< True for a long poll, which waits until there
               ///< are records; false to reply immediately.
};

/// Requests that a call is run, exactly once. The daemon reports
/// claim_engine::begin_dispatch before the first byte may be sent to a backend
/// server and on_finished afterwards, or else on_not_dispatched. The daemon
/// answers the caller itself.
struct dispatch_action
{
    call_id id = 0;
    uuid key;
    uuid attempt;
};

/// What the caller of a call that is not dispatched is told.
enum class answer_kind
{
    stored_outcome,  ///< The outcome of an earlier run with the same key.
    outcome_unknown, ///< The call may or may not have run; it will not be run
                     ///< now.
    key_mismatch,    ///< The key was used for a call with a different content.
    not_run          ///< This call was not run and never will be.
};

/// Requests an answer to a call that will not be dispatched.
struct answer_action
{
    call_id id = 0;
    answer_kind kind = answer_kind::not_run;
    refusal_reason reason = refusal_reason::none;
    shared_outcome result; ///< Set only for answer_kind::stored_outcome.
};

/// An operation that the engine requests from the daemon.
using action = std::variant<append_action, forward_action, read_action,
                            dispatch_action, answer_action>;

/// Actions in the order in which they have to be performed.
using actions = std::vector<action>;

} // namespace medlarstall::claim

#endif
