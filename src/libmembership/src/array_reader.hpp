#ifndef MEDLARSTALL_MEMBERSHIP_ARRAY_READER_HPP
#define MEDLARSTALL_MEMBERSHIP_ARRAY_READER_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Reads the items of a compact JSON array one after the other. Once an item
/// has the wrong type, everything read after it is empty.
class array_reader
{
public:
    /// \param value value that must be an array of \p size items
    /// \param size number of items
    array_reader(nlohmann::json const& value, std::size_t size);

    std::string text(std::size_t most = 256);
    std::uint64_t number();
    std::int64_t signed_number();
    bool boolean();
    std::vector<std::string> texts(std::size_t most);

    /// \return the next item as it is
    nlohmann::json const& item();

    /// Reads an array of items.
    /// \param most items allowed
    /// \param read callable with each item that gives result<Value>
    template<class Value, class Read>
    std::vector<Value> list(std::size_t most, Read&& read)
    {
        std::vector<Value> values;
        auto const& items = item();
        if (!items.is_array() || items.size() > most) {
            sound_ = false;
            return values;
        }
        for (auto const& one : items) {
            auto value = read(one);
            if (failed(value)) {
                sound_ = false;
                return values;
            }
            values.push_back(std::move(value_of(value)));
        }
        return values;
    }

    /// \return true as long as every item had its type
    [[nodiscard]] bool sound() const { return sound_; }

    /// \param what name of the message
    /// \return an error that says where reading failed
    [[nodiscard]] error failure(char const* what) const;

private:
    nlohmann::json const& value_;
    std::size_t next_ = 0;
    bool sound_;
};

} // namespace medlarstall::membership

#endif
