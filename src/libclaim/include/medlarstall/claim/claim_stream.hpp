#ifndef MEDLARSTALL_CLAIM_CLAIM_STREAM_HPP
#define MEDLARSTALL_CLAIM_CLAIM_STREAM_HPP

#include <medlarstall/claim/claim_settings.hpp>
#include <medlarstall/claim/claim_table.hpp>
#include <medlarstall/claim/group_writer.hpp>
#include <medlarstall/claim/record_forwarder.hpp>
#include <medlarstall/claim/stream_position.hpp>

#include <string>

namespace medlarstall::claim {

/// The state that an engine keeps for one claim stream. Plain data.
struct claim_stream
{
    /// \param number index of the stream, counted from 0
    /// \param settings settings of the engine; its limits on keys and outcomes
    ///        are divided evenly among the streams
    claim_stream(std::size_t number, claim_settings const& settings);

    std::size_t index;
    claim_table table;
    stream_position position;
    group_writer writer;
    record_forwarder forwarder;
    bool last_append_failed = false; ///< The last append was not acknowledged.
    bool must_decide_all_calls = true; ///< The table was reset, so the waiting
                                       ///< calls have to be decided again.
};

} // namespace medlarstall::claim

#endif
