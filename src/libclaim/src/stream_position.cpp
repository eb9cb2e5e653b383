#include <medlarstall/claim/stream_position.hpp>

namespace medlarstall::claim {

bool stream_position::begin(std::uint64_t first_retained, std::uint64_t end)
{
    bool const lost = first_retained > next_;
    if (lost) {
        next_ = first_retained;
        lacks_first_ = true;
    }
    if (lost || !begun_) {
        target_ = end;
    }
    begun_ = true;
    return lost;
}

bool stream_position::advance(std::uint64_t offset)
{
    if (offset < next_) {
        return false;
    }
    next_ = offset + 1;
    return true;
}

bool stream_position::hole_before(std::uint64_t offset) const
{
    return offset > next_;
}

bool stream_position::caught_up() const
{
    return begun_ && !lacks_first_ && next_ >= target_;
}

} // namespace medlarstall::claim
