#ifndef MEDLARSTALL_TESTS_LIBCLAIM_MODEL_LOG_HPP
#define MEDLARSTALL_TESTS_LIBCLAIM_MODEL_LOG_HPP

#include <medlarstall/claim/record.hpp>

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::claim {

/// The platform's log as its interface promises it: records in the order of
/// their offsets, a repeated append without effect, expiry from the front.
class model_log
{
public:
    std::uint64_t append(std::string const& writer, std::uint64_t sequence,
                         std::vector<record> const& records, wall_time time)
    {
        auto const [known, fresh] =
            offsets_.try_emplace({writer, sequence}, end());
        if (!fresh) {
            return known->second;
        }
        for (auto const& value : records) {
            entries_.push_back({.offset = end(),
                                .time = time,
                                .writer = writer,
                                .sequence = sequence,
                                .value = value});
        }
        return known->second;
    }

    [[nodiscard]] read_batch read(std::size_t stream, std::uint64_t from,
                                  std::size_t limit) const
    {
        read_batch batch{
            .stream = stream, .first_retained = first_, .end = end()};
        for (auto const& entry : entries_) {
            if (entry.offset >= from && batch.entries.size() < limit) {
                batch.entries.push_back(entry);
            }
        }
        return batch;
    }

    void expire(wall_time before)
    {
        while (!entries_.empty() && entries_.front().time < before) {
            entries_.pop_front();
            ++first_;
        }
    }

    [[nodiscard]] std::uint64_t end() const { return first_ + entries_.size(); }

private:
    std::deque<log_entry> entries_;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> offsets_;
    std::uint64_t first_ = 0;
};

} // namespace medlarstall::claim

#endif
