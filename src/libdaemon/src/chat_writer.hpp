#ifndef MEDLARSTALL_DAEMON_CHAT_WRITER_HPP
#define MEDLARSTALL_DAEMON_CHAT_WRITER_HPP

#include "api_error.hpp"
#include "work_event.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarstall::daemon {

/// Writes the answers of chat completions in OpenAI's form.
class chat_writer
{
public:
    /// \param id identifier that the caller sees
    /// \param model model that was asked for
    /// \param created seconds since the epoch
    chat_writer(std::string id, std::string const& model, std::int64_t created);

    /// \param text text of one or more tokens
    /// \return a server-sent event
    [[nodiscard]] std::string chunk(std::string_view text) const;

    /// \param end how the answer ended
    /// \return the last events of a whole answer
    [[nodiscard]] std::string last_chunk(work_finished const& end) const;

    /// \param problem why the answer is not whole
    /// \return an event that says so; no end mark follows it
    [[nodiscard]] std::string error_chunk(api_error const& problem) const;

    /// \param text the whole text
    /// \param end how the answer ended
    /// \return JSON body of an answer that is not streamed
    [[nodiscard]] std::string whole(std::string_view text,
                                    work_finished const& end) const;

private:
    std::string id_;
    std::string head_; ///< Members that all objects share, as JSON text.
    std::string model_json_;
    std::int64_t created_;
};

} // namespace medlarstall::daemon

#endif
