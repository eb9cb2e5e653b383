#ifndef MEDLARSTALL_HTTP_MEMORY_ACCOUNT_HPP
#define MEDLARSTALL_HTTP_MEMORY_ACCOUNT_HPP

#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <utility>

namespace medlarstall::http {

/// \param text a string
/// \return bytes that it holds on the heap; 0 if it holds its text in itself
[[nodiscard]] inline std::size_t heap_bytes(std::string const& text)
{
    auto const inline_capacity = std::string{}.capacity();
    return text.capacity() > inline_capacity ? text.capacity() + 1 : 0;
}

/// Empties a string and frees its memory, which an assignment would keep.
/// \param text the string
inline void release_text(std::string& text)
{
    std::string{}.swap(text);
}

/// Counts what the connections of a process hold together for unfinished
/// requests and answers, and the budget for it.
class memory_account
{
public:
    /// \param limit budget in bytes
    explicit memory_account(
        std::size_t limit = std::numeric_limits<std::size_t>::max())
        : limit_{limit}
    {}

    /// \return bytes held now
    [[nodiscard]] std::size_t held() const { return held_; }

    /// \return budget in bytes
    [[nodiscard]] std::size_t limit() const { return limit_; }

    /// \param limit new budget in bytes
    void set_limit(std::size_t limit) { limit_ = limit; }

    /// \return true if large requests should wait, as three quarters of the
    ///     budget are held
    [[nodiscard]] bool under_pressure() const
    {
        return held_ >= limit_ - limit_ / 4;
    }

    /// \return true if more than the budget is held
    [[nodiscard]] bool exceeded() const { return held_ > limit_; }

    /// Notes that the budget was exceeded and that a decision about it is due,
    /// or that it was made. Until then nothing is read, as many connections may
    /// be served in one turn of the event loop.
    /// \param due true if the decision is due
    void set_decision_due(bool due) { decision_due_ = due; }

    /// \return true if a decision is due
    [[nodiscard]] bool decision_due() const { return decision_due_; }

    /// Tells whether a request may be answered. What is held for it then can be
    /// freed only by the end of its answer.
    /// \param bytes what the request holds
    /// \return true if the requests being answered keep the budget with it
    [[nodiscard]] bool may_answer(std::size_t bytes) const
    {
        return answering_ + bytes <= limit_;
    }

    /// Counts what is held for a request that is being answered.
    /// \param before bytes that were counted for it so far
    /// \param after bytes that it holds now
    void change_answering(std::size_t before, std::size_t after)
    {
        answering_ += after - before;
    }

private:
    friend class held_memory;

    std::size_t limit_;
    std::size_t held_ = 0;
    std::size_t answering_ = 0; ///< Of these, for requests being answered.
    bool decision_due_ = false;
};

/// The share of one holder in an account. It is returned on destruction.
class held_memory
{
public:
    /// \param account account of the process
    explicit held_memory(std::shared_ptr<memory_account> account)
        : account_{std::move(account)}
    {}
    ~held_memory() { set(0); }
    held_memory(held_memory const&) = delete;
    held_memory& operator=(held_memory const&) = delete;

    /// \param bytes what the holder holds now
    void set(std::size_t bytes)
    {
        account_->held_ += bytes - bytes_;
        bytes_ = bytes;
    }

    /// \return what the holder was last said to hold
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

    /// \return the account of the process
    [[nodiscard]] memory_account& account() const { return *account_; }

private:
    std::shared_ptr<memory_account> account_;
    std::size_t bytes_ = 0;
};

} // namespace medlarstall::http

#endif
