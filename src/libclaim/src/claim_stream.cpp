#include <medlarstall/claim/claim_stream.hpp>

namespace medlarstall::claim {

namespace {

table_limits limits_of(claim_settings const& settings)
{
    return {.max_keys = settings.max_keys / settings.stream_count,
            .max_outcome_bytes =
                settings.max_outcome_bytes / settings.stream_count,
            .retention = settings.answer_window};
}

} // namespace

claim_stream::claim_stream(std::size_t number, claim_settings const& settings)
    : index{number}, table{limits_of(settings)}, writer{settings.group},
      forwarder{settings.forward_delay, settings.forward_timeout}
{}

} // namespace medlarstall::claim
