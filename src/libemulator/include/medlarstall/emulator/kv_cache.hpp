#ifndef MEDLARSTALL_EMULATOR_KV_CACHE_HPP
#define MEDLARSTALL_EMULATOR_KV_CACHE_HPP

#include <medlarstall/dispatch/prompt.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace medlarstall::emulator {

/// Token memory of a backend server with a model. It holds prompt parts and
/// the tokens of running answers. A part that no running request uses stays
/// cached until its space is needed; the least recently used one is evicted
/// first.
class kv_cache
{
public:
    using prompt_parts = std::vector<dispatch::prompt_part>;

    /// \param capacity number of tokens that fit into the cache
    explicit kv_cache(std::uint64_t capacity) : capacity_{capacity} {}

    /// Reserves space for the prompt of a request that starts to run and keeps
    /// its parts from being evicted.
    /// \param prompt parts of the prompt
    /// \return false if the space is taken by running requests; nothing is
    ///         reserved then
    [[nodiscard]] bool try_acquire(prompt_parts const& prompt);

    /// Ends the use of a prompt by one request. Computed parts stay cached
    /// until they are evicted, others are removed.
    /// \param prompt parts of the prompt
    void release(prompt_parts const& prompt);

    /// Marks all parts of a prompt as computed, so that other requests can
    /// reuse them.
    /// \param prompt parts of the prompt
    void mark_computed(prompt_parts const& prompt);

    /// Reserves space for one more token of an answer.
    /// \return false if all space is taken by running requests
    [[nodiscard]] bool try_reserve_token();

    /// Frees the space of answer tokens.
    /// \param tokens number of tokens reserved before
    void release_answer_tokens(std::uint64_t tokens)
    {
        answer_tokens_ -= tokens;
    }

    /// \param prompt parts of a prompt
    /// \return number of tokens at the start of the prompt that are computed
    ///         and cached
    [[nodiscard]] std::uint32_t
    cached_prefix_tokens(prompt_parts const& prompt) const;

    /// Removes all prompt parts and answer tokens.
    void clear();

private:
    struct cached_part
    {
        std::uint32_t tokens = 0;
        std::uint32_t active_requests = 0;
        std::uint64_t last_use = 0; ///< Value of use_count_ at the last use.
        bool computed = false;
    };

    bool evict_until_fits(std::uint64_t tokens);

    std::unordered_map<std::uint64_t, cached_part> parts_;
    std::uint64_t capacity_;
    std::uint64_t prompt_tokens_ = 0;
    std::uint64_t answer_tokens_ = 0;
    std::uint64_t use_count_ = 0; ///< Uses of any part, as a logical clock.
};

} // namespace medlarstall::emulator

#endif
