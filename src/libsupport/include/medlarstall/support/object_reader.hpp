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

/// Smallest and largest value allowed.
template<class T>
struct range
{
    T least;
    T most;
};

/// Forms of text in fields.
enum class text_form
{
    name,      ///< 1 to 128 of letters, digits and ._:/-
    segment,   ///< 1 to 64 of letters, digits and ._-
    free,      ///< 0 to 256 characters.
    sha256_hex ///< 64 lower-case hexadecimal digits.
};

/// \param text text to check
/// \param form form that it must have
/// \return null if it has that form, otherwise what is allowed
[[nodiscard]] char const* form_violation(std::string_view text, text_form form);

/// Reads the fields of one JSON object strictly. The first failure of all
/// readers that share \p failure is kept; a field that is absent leaves its
/// target as it is.
class object_reader
{
public:
    /// \param object value that must be an object
    /// \param path JSON path of the object
    /// \param failure where the first failure is kept
    object_reader(nlohmann::json const& object, std::string path,
                  std::optional<error>& failure);

    /// Notes a failure if \p key is absent.
    void require(std::string_view key);

    void read(std::string_view key, std::string& target, text_form form);
    void read(std::string_view key, bool& target);
    void read(std::string_view key, double& target, range<double> allowed);
    void read(std::string_view key, unsigned& target, range<unsigned> allowed);
    void read(std::string_view key, std::uint64_t& target);
    void read(std::string_view key, std::chrono::milliseconds& target,
              range<std::chrono::milliseconds> allowed);
    void read(std::string_view key, std::vector<std::string>& target,
              text_form form, std::size_t most);

    /// Reads an optional number into an optional target.
    template<class T>
    void read(std::string_view key, std::optional<T>& target, range<T> allowed)
    {
        if (field(key) != nullptr) {
            T value{};
            read(key, value, allowed);
            target = value;
        }
    }

    /// Calls \p visitor with (value, path) for each item of an array.
    template<class Visitor>
    void each(std::string_view key, std::size_t most, Visitor&& visitor)
    {
        auto const* items = array(key, most);
        for (std::size_t i = 0; items != nullptr && i < items->size(); ++i) {
            visitor((*items)[i], path_of(key) + "[" + std::to_string(i) + "]");
        }
    }

    /// \param key name of a field, which counts as known from now on
    /// \return its value, or null if it is absent
    nlohmann::json const* field(std::string_view key);

    /// \param key name of a field
    /// \return its JSON path
    [[nodiscard]] std::string path_of(std::string_view key) const;

    /// Notes a failure.
    void fail(std::string path, std::string message);

    /// Notes a failure for the first field that was never asked for.
    void finish();

private:
    nlohmann::json const* array(std::string_view key, std::size_t most);
    void refuse(std::string_view key, nlohmann::json const& value,
                std::string const& allowed);

    nlohmann::json const& object_;
    std::string path_;
    std::optional<error>& failure_;
    std::set<std::string, std::less<>> known_;
    bool usable_;
};

} // namespace medlarstall

#endif
