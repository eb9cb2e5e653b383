#ifndef MEDLARSTALL_ANSWER_ANSWER_ASSEMBLER_HPP
#define MEDLARSTALL_ANSWER_ANSWER_ASSEMBLER_HPP

#include <medlarstall/support/uuid.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarstall::answer {

/// One event of a streamed answer, as it came from a backend server. The text
/// is not owned.
struct frame
{
    uuid attempt;            ///< Attempt that the backend server echoed.
    std::uint64_t index = 0; ///< Of the token; of a mark, tokens before it.
    std::string_view text;
    bool finish = false; ///< The finish mark of the answer.
};

/// What became of a frame.
enum class frame_result
{
    taken,      ///< Its text is pending, or the answer is whole now.
    duplicate,  ///< Its token was taken before; dropped.
    gap,        ///< Tokens before it are missing: resume at next_index().
    foreign,    ///< Belongs to another attempt; refused.
    conflict,   ///< A finish mark before the tokens taken, or a token after
                ///< the mark: not the same generation; refused.
    buffer_full ///< Not taken: the pending text has to be consumed first.
};

/// Frames that were not taken. Plain data.
struct frame_counts
{
    std::uint64_t duplicates = 0;
    std::uint64_t gaps = 0;
    std::uint64_t foreign = 0;
    std::uint64_t conflicts = 0;
};

/// Puts one answer together from the frames of one attempt, however they
/// arrive. Text is handed out in order and never taken back, so that once a
/// token was taken no other attempt can add to the answer.
class answer_assembler
{
public:
    /// \param max_pending bytes of text that may wait to be consumed; a single
    ///        larger frame is taken when nothing waits
    explicit answer_assembler(std::size_t max_pending);

    /// Makes an attempt the one whose frames are taken.
    /// \param attempt a new attempt
    /// \return false if tokens of another attempt were taken already
    [[nodiscard]] bool start(uuid const& attempt);

    /// Takes the next frame that arrived from any connection.
    /// \param value the frame
    /// \return what became of it
    [[nodiscard]] frame_result take(frame const& value);

    /// \return text that was taken and not consumed; valid until the next call
    ///         of take() or consume()
    [[nodiscard]] std::string_view pending() const;

    /// \param bytes of pending() that went to the caller
    void consume(std::size_t bytes);

    /// \return index of the next token, at which to resume after a gap or a
    ///         lost connection
    [[nodiscard]] std::uint64_t next_index() const { return next_; }

    /// \return true if the finish mark came right after the last token
    [[nodiscard]] bool whole() const { return whole_; }

    /// \return the attempt whose frames are taken
    [[nodiscard]] std::optional<uuid> attempt() const { return attempt_; }

    /// \return how many frames were not taken
    [[nodiscard]] frame_counts const& counts() const { return counts_; }

private:
    [[nodiscard]] frame_result refuse_index(frame const& value);
    [[nodiscard]] frame_result after_finish(frame const& value);
    [[nodiscard]] bool fits(std::size_t bytes) const;
    void append(std::string_view text);

    std::size_t max_pending_;
    std::optional<uuid> attempt_;
    std::uint64_t next_ = 0;
    bool whole_ = false;
    std::string text_;
    std::size_t consumed_ = 0; ///< Of text_, from its start.
    frame_counts counts_;
};

} // namespace medlarstall::answer

#endif
