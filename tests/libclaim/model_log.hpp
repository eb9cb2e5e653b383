#ifndef MEDLARSTALL_TESTS_LIBCLAIM_MODEL_LOG_HPP
#define MEDLARSTALL_TESTS_LIBCLAIM_MODEL_LOG_HPP

#include <medlarstall/claim/record.hpp>

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace medlarstall::claim {

/// Model of one stream of the platform's log, with the guarantees of its
/// interface: records are ordered by offset, an append that is repeated with
/// the same writer and sequence number has no effect, and the oldest records
/// expire first.
class model_log
{
public:
    /// \param writer process that appends the records
    /// \param sequence number of the append, unique for the writer
    /// \param records records to append
    /// \param time log time of the append
    /// \return offset of the first record; for a repeated append, that of the
    ///         original one
    std::uint64_t append(std::string const& writer, std::uint64_t sequence,
                         std::vector<record> const& records, wall_time time)
    {
        auto const [original, inserted] =
            offsets_.try_emplace({writer, sequence}, end());
        if (!inserted) {
            return original->second;
        }
        for (auto const& value : records) {
            entries_.push_back({.offset = end(),
                                .time = time,
                                .writer = writer,
                                .sequence = sequence,
                                .value = value});
        }
        return original->second;
    }

    /// \param stream index of the stream to put into the answer
    /// \param from offset of the first record to read
    /// \param limit greatest number of records to read
    /// \return the records that are still retained, and the bounds of
    ///         the stream
    [[nodiscard]] read_batch read(std::size_t stream, std::uint64_t from,
                                  std::size_t limit) const
    {
        read_batch batch{.stream = stream,
                         .first_retained_offset = first_retained_,
                         .end_offset = end()};
        for (auto const& entry : entries_) {
            if (entry.offset >= from && batch.entries.size() < limit) {
                batch.entries.push_back(entry);
            }
        }
        return batch;
    }

    /// Removes the records that were appended before a time.
    void expire(wall_time before)
    {
        while (!entries_.empty() && entries_.front().time < before) {
            entries_.pop_front();
            ++first_retained_;
        }
    }

    /// \return offset that the next record will get
    [[nodiscard]] std::uint64_t end() const
    {
        return first_retained_ + entries_.size();
    }

private:
    std::deque<log_entry> entries_;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> offsets_;
    std::uint64_t first_retained_ = 0;
};

} // namespace medlarstall::claim

#endif
