#ifndef MEDLARSTALL_CLAIM_CLAIM_STREAM_HPP
#define MEDLARSTALL_CLAIM_CLAIM_STREAM_HPP

#include <medlarstall/claim/claim_settings.hpp>
#include <medlarstall/claim/claim_table.hpp>
#include <medlarstall/claim/group_writer.hpp>
#include <medlarstall/claim/record_forwarder.hpp>
#include <medlarstall/claim/stream_position.hpp>

#include <string>

namespace medlarstall::claim {

/// What an engine keeps of one claim stream. Plain data.
struct claim_stream
{
    /// \param index number of the stream
    /// \param settings settings of the engine
    claim_stream(std::size_t index, claim_settings const& settings);

    std::size_t index;
    claim_table table;
    stream_position position;
    group_writer writer;
    record_forwarder forwarder;
    bool append_failing = false; ///< The last append got no good reply.
    bool needs_review = true;    ///< Waiting calls were decided on old state.
};

} // namespace medlarstall::claim

#endif
