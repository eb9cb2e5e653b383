#ifndef MEDLARSTALL_EMULATOR_PREFILL_COUNTER_HPP
#define MEDLARSTALL_EMULATOR_PREFILL_COUNTER_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace medlarstall::emulator {

/// Counts the prompt tokens that all backend servers together have computed
/// (prefill), and how many of them belong to prompt parts that some server had
/// computed or used within the last 10 seconds.
class prefill_counter
{
public:
    /// Counts a prompt part that a backend server computes.
    /// \param part id of the prompt part
    /// \param tokens number of tokens in the part
    /// \param now current virtual time
    void record_prefill(std::uint64_t part, std::uint32_t tokens,
                        time_point now)
    {
        total_ += tokens;
        auto const [place, added] = last_use_.try_emplace(part, now);
        if (!added && now - place->second < repetition_window) {
            repeated_ += tokens;
        }
        place->second = now;
    }

    /// Notes that a prompt part was served from the cache of a server.
    /// \param part id of the prompt part
    /// \param now current virtual time
    void record_cache_hit(std::uint64_t part, time_point now)
    {
        last_use_[part] = now;
    }

    /// \return number of prompt tokens computed so far
    [[nodiscard]] std::uint64_t total_tokens() const { return total_; }

    /// \return number of those tokens whose part was computed or used within
    ///         the repetition window before
    [[nodiscard]] std::uint64_t repeated_tokens() const { return repeated_; }

private:
    static constexpr std::chrono::seconds repetition_window{10};

    std::unordered_map<std::uint64_t, time_point> last_use_;
    std::uint64_t total_ = 0;
    std::uint64_t repeated_ = 0;
};

} // namespace medlarstall::emulator

#endif
