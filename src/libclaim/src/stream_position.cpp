#include <medlarstall/claim/stream_position.hpp>

namespace medlarstall::claim {

bool stream_position::update_bounds(std::uint64_t first_retained,
                                    std::uint64_t end_offset)
{
    bool const lost = first_retained > next_offset_;
    if (lost) {
        next_offset_ = first_retained;
        needs_first_record_ = true;
    }
    if (lost || !bounds_known_) {
        catch_up_offset_ = end_offset;
    }
    bounds_known_ = true;
    return lost;
}

bool stream_position::advance(std::uint64_t offset)
{
    if (offset < next_offset_) {
        return false;
    }
    next_offset_ = offset + 1;
    return true;
}

bool stream_position::has_gap_before(std::uint64_t offset) const
{
    return offset > next_offset_;
}

bool stream_position::caught_up() const
{
    return bounds_known_ && !needs_first_record_ &&
           next_offset_ >= catch_up_offset_;
}

} // namespace medlarstall::claim
