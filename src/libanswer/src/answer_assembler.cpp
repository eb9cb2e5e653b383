#include <medlarstall/answer/answer_assembler.hpp>

#include <algorithm>

namespace medlarstall::answer {

answer_assembler::answer_assembler(std::size_t max_pending)
    : max_pending_{max_pending}
{}

bool answer_assembler::start(uuid const& attempt)
{
    if (next_ > 0 || whole_) {
        return attempt_ == attempt;
    }
    attempt_ = attempt;
    return true;
}

frame_result answer_assembler::take(frame const& value)
{
    if (attempt_ != value.attempt) {
        ++counts_.foreign;
        return frame_result::foreign;
    }
    if (value.index > next_ || (value.finish && value.index < next_)) {
        return refuse_index(value);
    }
    if (value.index < next_) {
        ++counts_.duplicates;
        return frame_result::duplicate;
    }
    if (whole_) {
        return after_finish(value);
    }
    if (!fits(value.text.size())) {
        return frame_result::buffer_full;
    }
    append(value.text);
    next_ += value.finish && value.text.empty() ? 0 : 1;
    whole_ = value.finish;
    return frame_result::taken;
}

frame_result answer_assembler::refuse_index(frame const& value)
{
    if (value.index > next_ && !whole_) {
        ++counts_.gaps;
        return frame_result::gap;
    }
    ++counts_.conflicts;
    return frame_result::conflict;
}

frame_result answer_assembler::after_finish(frame const& value)
{
    if (value.finish) {
        ++counts_.duplicates;
        return frame_result::duplicate;
    }
    ++counts_.conflicts;
    return frame_result::conflict;
}

std::string_view answer_assembler::pending() const
{
    return std::string_view{text_}.substr(consumed_);
}

void answer_assembler::consume(std::size_t bytes)
{
    consumed_ += std::min(bytes, text_.size() - consumed_);
    if (consumed_ == text_.size()) {
        text_.clear();
        consumed_ = 0;
    }
}

bool answer_assembler::fits(std::size_t bytes) const
{
    auto const waiting = pending().size();
    return waiting == 0 || waiting + bytes <= max_pending_;
}

void answer_assembler::append(std::string_view text)
{
    bool const crowded = consumed_ > text_.size() / 2;
    if (crowded && text_.size() + text.size() > text_.capacity()) {
        text_.erase(0, consumed_);
        consumed_ = 0;
    }
    text_ += text;
}

} // namespace medlarstall::answer
