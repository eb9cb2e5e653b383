#ifndef MEDLARSTALL_HTTP_HEADER_LIST_HPP
#define MEDLARSTALL_HTTP_HEADER_LIST_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::http {

/// One header field, with name and value as received or to be sent.
struct header
{
    std::string name;
    std::string value;
};

/// Compares two texts such as field names or tokens, ignoring ASCII case.
/// \param left first text
/// \param right second text
/// \return true if they differ at most in case
[[nodiscard]] bool equals_ignoring_case(std::string_view left,
                                        std::string_view right);

/// The header fields of a message, in the order in which they are sent.
class header_list
{
public:
    /// \param name name of a field, in any case
    /// \return value of its first occurrence, or nullptr if it is absent
    [[nodiscard]] std::string const* find(std::string_view name) const;

    /// \param name name of a field, in any case
    /// \return true if the field occurs at least once
    [[nodiscard]] bool contains(std::string_view name) const
    {
        return find(name) != nullptr;
    }

    /// Appends a field; earlier fields of the same name stay.
    /// \param name name of the field
    /// \param value value without leading or trailing blanks
    void add(std::string name, std::string value);

    /// Replaces all occurrences of a field by one at the end of the list.
    /// \param name name of the field
    /// \param value value without leading or trailing blanks
    void set(std::string_view name, std::string value);

    /// Removes all occurrences of a field.
    /// \param name name of the field, in any case
    void remove(std::string_view name);

    /// Removes the hop-by-hop fields, which apply to one connection only, and
    /// the fields that Connection names.
    /// \param end_to_end names of fields that stay even if Connection names
    ///     them
    void remove_hop_by_hop(std::vector<std::string> const& end_to_end);

    /// Tells whether a field with a comma-separated list contains a token.
    /// \param name name of the field, in any case
    /// \param token token to look for, in any case
    /// \return true if any occurrence of the field lists the token
    [[nodiscard]] bool has_token(std::string_view name,
                                 std::string_view token) const;

    /// \return all fields in the order in which they are sent
    [[nodiscard]] std::vector<header> const& entries() const
    {
        return entries_;
    }

    /// \return bytes that the list holds on the heap
    [[nodiscard]] std::size_t held_bytes() const
    {
        return entries_.capacity() * sizeof(header) + text_bytes_;
    }

    /// Appends one line "Name: value" with CRLF for each field.
    /// \param text text to which the lines are appended
    void append_to(std::string& text) const;

private:
    void count_text();

    std::vector<header> entries_;
    std::size_t text_bytes_ = 0; ///< Heap memory of names and values.
};

} // namespace medlarstall::http

#endif
