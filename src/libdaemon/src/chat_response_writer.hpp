#ifndef MEDLARSTALL_DAEMON_CHAT_RESPONSE_WRITER_HPP
#define MEDLARSTALL_DAEMON_CHAT_RESPONSE_WRITER_HPP

#include "api_error.hpp"
#include "work_event.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarstall::daemon {

/// Formats responses to chat completion requests as the OpenAI API does.
class chat_response_writer
{
public:
    /// \param id identifier of the completion, sent to the caller
    /// \param model name of the model in the caller's request
    /// \param created Unix time in seconds
    chat_response_writer(std::string id, std::string const& model,
                         std::int64_t created);

    /// \param text text of one or more tokens
    /// \return a server-sent event with this text
    [[nodiscard]] std::string chunk(std::string_view text) const;

    /// \param event end of the answer, with its token counts
    /// \return the events that end a complete stream: finish reason and usage,
    ///     then [DONE]
    [[nodiscard]] std::string last_chunk(work_finished const& event) const;

    /// \param problem why the answer is incomplete
    /// \return a server-sent error event; no [DONE] follows it
    [[nodiscard]] std::string error_chunk(api_error const& problem) const;

    /// \param text the complete text
    /// \param event end of the answer, with its token counts
    /// \return JSON body of a response that is not streamed
    [[nodiscard]] std::string full_response(std::string_view text,
                                            work_finished const& event) const;

private:
    std::string id_;
    std::string chunk_prefix_; ///< Start of each chunk's JSON object.
    std::string model_json_;
    std::int64_t created_;
};

} // namespace medlarstall::daemon

#endif
