#include <medlarstall/platform/record_log.hpp>

#include <algorithm>

namespace medlarstall::platform {

namespace {

// Appends of one writer that are recognised when they are sent again.
constexpr std::size_t remembered_appends = 4096;

} // namespace

result<append_receipt> record_log::append(append_request request, wall_time now)
{
    if (request.records.empty()) {
        return error{"records", "0 records; allowed: 1 or more"};
    }
    if (auto const earlier = earlier_receipt(request)) {
        return *earlier;
    }
    append_receipt const receipt{end(), request.records.size()};
    remember(request, receipt);
    for (auto& value : request.records) {
        records_.push_back({.offset = end(),
                            .time = now,
                            .writer = request.writer,
                            .sequence = request.sequence,
                            .value = std::move(value)});
    }
    return receipt;
}

log_page record_log::read(log_offset from, std::size_t limit) const
{
    log_page page{.first = first_, .end = end(), .records = {}};
    auto const start = std::max(from, first_);
    if (start >= page.end) {
        return page;
    }
    auto const skipped = static_cast<std::ptrdiff_t>(start - first_);
    auto const count = static_cast<std::ptrdiff_t>(
        std::min<std::uint64_t>(limit, page.end - start));
    auto const begin = records_.begin() + skipped;
    page.records.assign(begin, begin + count);
    return page;
}

std::size_t record_log::expire_before(wall_time oldest)
{
    std::size_t dropped = 0;
    while (!records_.empty() && records_.front().time < oldest) {
        records_.pop_front();
        ++first_;
        ++dropped;
    }
    return dropped;
}

std::size_t record_log::expire_below(log_offset first)
{
    std::size_t dropped = 0;
    while (!records_.empty() && first_ < first) {
        records_.pop_front();
        ++first_;
        ++dropped;
    }
    return dropped;
}

bool record_log::overwrite(log_offset offset, nlohmann::json value)
{
    if (offset < first_ || offset >= end()) {
        return false;
    }
    records_[offset - first_].value = std::move(value);
    return true;
}

std::optional<append_receipt>
record_log::earlier_receipt(append_request const& request) const
{
    auto const writer = receipts_.find(request.writer);
    if (writer == receipts_.end()) {
        return std::nullopt;
    }
    auto const found = writer->second.find(request.sequence);
    if (found == writer->second.end()) {
        return std::nullopt;
    }
    return found->second;
}

void record_log::remember(append_request const& request, append_receipt receipt)
{
    auto& known = receipts_[request.writer];
    known.emplace(request.sequence, receipt);
    if (known.size() > remembered_appends) {
        known.erase(known.begin());
    }
}

} // namespace medlarstall::platform
