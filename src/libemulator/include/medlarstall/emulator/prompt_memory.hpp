#ifndef MEDLARSTALL_EMULATOR_PROMPT_MEMORY_HPP
#define MEDLARSTALL_EMULATOR_PROMPT_MEMORY_HPP

#include <medlarstall/dispatch/prompt.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace medlarstall::emulator {

/// Memory of a backend server with a model: prompt parts, which stay until
/// their room is needed unless a running request uses them, and answers.
class prompt_memory
{
public:
    using parts = std::vector<dispatch::prompt_part>;

    /// \param capacity tokens that fit
    explicit prompt_memory(std::uint64_t capacity) : capacity_{capacity} {}

    /// Takes room for the prompt of a request that begins to run.
    /// \param prompt its parts
    /// \return false if there is no room beside the running requests
    [[nodiscard]] bool take(parts const& prompt);

    /// Gives up the use of a prompt; its parts stay as long as there is room.
    /// \param prompt its parts
    void release(parts const& prompt);

    /// Notes that a prompt has been read whole.
    /// \param prompt its parts
    void note_read(parts const& prompt);

    /// Takes room for one more token of an answer.
    /// \return false if there is none
    [[nodiscard]] bool take_token();

    /// Gives back the room of an answer.
    /// \param tokens its tokens
    void release_tokens(std::uint64_t tokens) { answers_ -= tokens; }

    /// \param prompt parts of a prompt
    /// \return tokens at its beginning that have been read
    [[nodiscard]] std::uint32_t kept_tokens(parts const& prompt) const;

    /// Forgets everything.
    void clear();

private:
    struct kept_part
    {
        std::uint32_t tokens = 0;
        std::uint32_t users = 0;
        std::uint64_t used = 0; ///< Grows with each use of any part.
        bool read = false;
    };

    bool make_room(std::uint64_t tokens);

    std::unordered_map<std::uint64_t, kept_part> parts_;
    std::uint64_t capacity_;
    std::uint64_t kept_ = 0;
    std::uint64_t answers_ = 0;
    std::uint64_t uses_ = 0;
};

} // namespace medlarstall::emulator

#endif
