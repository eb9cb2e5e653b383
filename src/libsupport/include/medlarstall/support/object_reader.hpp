#ifndef MEDLARSTALL_SUPPORT_OBJECT_READER_HPP
#define MEDLARSTALL_SUPPORT_OBJECT_READER_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall {

/// The smallest and the largest value that a field may have, both inclusive.
template<class T>
struct range
{
    T min;
    T max;
};

/// Formats that a text field can be required to have.
enum class text_format
{
    name,         ///< 1 to 128 ASCII letters, digits or ._:/-
    path_segment, ///< 1 to 64 ASCII letters, digits or ._-
    free_text,    ///< Any text of 0 to 256 bytes.
    sha256_hex    ///< 64 lower-case hexadecimal digits.
};

/// Checks text against a format.
/// \param text text to check
/// \param format format that the text must have
/// \return nullptr if the text has the format, otherwise a static text that
///     tells what is allowed
[[nodiscard]] char const* format_violation(std::string_view text,
                                           text_format format);

/// Reads the fields of one JSON object strictly: a field of the wrong type, a
/// value out of range or an unknown field is an error. Readers of nested
/// objects share one error variable, which keeps the first error of all of
/// them. A field that is absent or invalid leaves its target unchanged, except
/// that an invalid list leaves only its valid items in the target.
class object_reader
{
public:
    /// \param object value to read; an error is recorded if it is not an object
    /// \param path JSON path of the object, for errors
    /// \param first_error set to the first error; may be shared by readers
    object_reader(nlohmann::json const& object, std::string path,
                  std::optional<error>& first_error);

    /// Records an error if a field is absent.
    /// \param key name of the field that must be present
    void require(std::string_view key);

    /// Reads an optional field of the type of its target. Every overload
    /// records an error if the field is present and does not meet the
    /// requirements.
    /// \param key name of the field
    /// \param target set to the value if the field is present and valid
    /// \param format format that the text must have
    void read(std::string_view key, std::string& target, text_format format);
    void read(std::string_view key, bool& target);
    void read(std::string_view key, double& target, range<double> allowed);
    void read(std::string_view key, unsigned& target, range<unsigned> allowed);
    void read(std::string_view key, std::uint64_t& target);
    void read(std::string_view key, std::chrono::milliseconds& target,
              range<std::chrono::milliseconds> allowed);
    void read(std::string_view key, std::vector<std::string>& target,
              text_format format, std::size_t max_items);

    /// Reads an optional number into an optional target. If the field is
    /// present but invalid, the target is set to zero and an error is recorded.
    template<class T>
    void read(std::string_view key, std::optional<T>& target, range<T> allowed)
    {
        if (find_field(key) != nullptr) {
            T value{};
            read(key, value, allowed);
            target = value;
        }
    }

    /// Calls a function for each item of an array.
    /// \param key name of the field with the array
    /// \param max_items largest number of items; more are an error
    /// \param visitor called with the value and the JSON path of each item
    template<class Visitor>
    void for_each_item(std::string_view key, std::size_t max_items,
                       Visitor&& visitor)
    {
        auto const* items = find_array(key, max_items);
        for (std::size_t i = 0; items != nullptr && i < items->size(); ++i) {
            visitor((*items)[i], path_of(key) + "[" + std::to_string(i) + "]");
        }
    }

    /// Looks up a field and marks its name as known.
    /// \param key name of the field
    /// \return the value, or nullptr if the field is absent
    nlohmann::json const* find_field(std::string_view key);

    /// Returns the JSON path of a field, for errors.
    /// \param key name of the field
    /// \return the path of this object, a dot and \p key
    [[nodiscard]] std::string path_of(std::string_view key) const;

    /// Records an error unless an earlier one is already recorded.
    /// \param path JSON path of the invalid value
    /// \param message rejected value and what is allowed instead
    void record_error(std::string path, std::string message);

    /// Records an error for the first field of the object that was not looked
    /// up by any of the functions above. Must be called after all fields are
    /// read.
    void reject_unknown_fields();

private:
    nlohmann::json const* find_array(std::string_view key,
                                     std::size_t max_items);
    void reject(std::string_view key, nlohmann::json const& value,
                std::string const& allowed);

    nlohmann::json const& object_;
    std::string path_;
    std::optional<error>& first_error_;
    std::set<std::string, std::less<>> known_keys_;
    bool is_object_;
};

} // namespace medlarstall

#endif
