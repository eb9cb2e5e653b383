#ifndef MEDLARSTALL_EMULATOR_READING_RECORD_HPP
#define MEDLARSTALL_EMULATOR_READING_RECORD_HPP

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace medlarstall::emulator {

/// Counts the prompt tokens that all backend servers together have read, and
/// those that one of them had read not long before.
class reading_record
{
public:
    /// Notes that a part was read.
    /// \param part id of the part
    /// \param tokens its tokens
    /// \param now virtual time
    void note(std::uint64_t part, std::uint32_t tokens, time_point now)
    {
        read_ += tokens;
        auto const [place, added] = last_.try_emplace(part, now);
        if (!added && now - place->second < window) {
            again_ += tokens;
        }
        place->second = now;
    }

    /// Notes that a part was used without reading it.
    /// \param part id of the part
    /// \param now virtual time
    void touch(std::uint64_t part, time_point now) { last_[part] = now; }

    /// \return prompt tokens read
    [[nodiscard]] std::uint64_t read() const { return read_; }

    /// \return those of them that were read again
    [[nodiscard]] std::uint64_t again() const { return again_; }

private:
    static constexpr std::chrono::seconds window{10};

    std::unordered_map<std::uint64_t, time_point> last_;
    std::uint64_t read_ = 0;
    std::uint64_t again_ = 0;
};

} // namespace medlarstall::emulator

#endif
