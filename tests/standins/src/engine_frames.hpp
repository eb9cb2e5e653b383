#ifndef MEDLARSTALL_STANDINS_ENGINE_FRAMES_HPP
#define MEDLARSTALL_STANDINS_ENGINE_FRAMES_HPP

#include <medlarstall/standins/engine_model.hpp>

#include <string>

namespace medlarstall::standins {

/// Appends the event of one token.
/// \param out text to append to
/// \param attempt identifier of the attempt
/// \param plan answer of the attempt
/// \param index number of the token
void append_token_frame(std::string& out, std::string const& attempt,
                        answer_plan const& plan, std::uint64_t index);

/// Appends the finish mark and the end of the event stream.
/// \param out text to append to
/// \param stream finished stream
void append_finish_frames(std::string& out, engine_stream const& stream);

/// \param stream finished stream
/// \return the whole answer as one JSON object
[[nodiscard]] std::string whole_answer(engine_stream const& stream);

} // namespace medlarstall::standins

#endif
