#ifndef MEDLARSTALL_MEMBERSHIP_ARRAY_READER_HPP
#define MEDLARSTALL_MEMBERSHIP_ARRAY_READER_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarstall::membership {

/// Reads the items of a compact JSON array one after the other. Once an
/// item is missing or has the wrong type, that item and all later ones are read
/// as empty values.
class array_reader
{
public:
    /// \param value value to read; it must outlive the reader
    /// \param size number of items that the array must have
    array_reader(nlohmann::json const& value, std::size_t size);

    /// \param max_size upper limit for the length of the text, in bytes
    std::string text(std::size_t max_size = 256);
    std::uint64_t number();
    std::int64_t signed_number();
    bool boolean();
    /// Reads an array of texts.
    /// \param max_items upper limit for the number of texts
    std::vector<std::string> text_list(std::size_t max_items);

    /// \return the next item without conversion; null if there is none
    nlohmann::json const& next_item();

    /// Reads an array of values.
    /// \param max_items upper limit for the number of values
    /// \param read function that converts one JSON value to a result<Value>
    template<class Value, class Read>
    std::vector<Value> list(std::size_t max_items, Read&& read)
    {
        std::vector<Value> values;
        auto const& items = next_item();
        if (!items.is_array() || items.size() > max_items) {
            ok_ = false;
            return values;
        }
        for (auto const& element : items) {
            auto value = read(element);
            if (failed(value)) {
                ok_ = false;
                return values;
            }
            values.push_back(std::move(value_of(value)));
        }
        return values;
    }

    /// \return true if all items read so far had the expected type
    [[nodiscard]] bool ok() const { return ok_; }

    /// \param message_name name of the message for the error text
    /// \return an error with the position of the item that could not be read
    [[nodiscard]] error make_error(char const* message_name) const;

private:
    nlohmann::json const& value_;
    std::size_t next_index_ = 0;
    bool ok_;
};

} // namespace medlarstall::membership

#endif
