#ifndef MEDLARSTALL_SUPPORT_RESULT_HPP
#define MEDLARSTALL_SUPPORT_RESULT_HPP

#include <string>
#include <utility>
#include <variant>

namespace medlarstall {

/// Says which input was refused, or which operation failed, and why.
struct error
{
    std::string field;   ///< Setting, JSON path or operation at fault.
    std::string message; ///< Value seen and what is allowed instead.
};

/// The value of an operation, or the reason why there is none.
template<class T>
using result = std::variant<T, error>;

/// Tells whether \p outcome holds an error.
/// \param outcome the result to look at
/// \return true if there is no value
template<class T>
[[nodiscard]] bool failed(result<T> const& outcome)
{
    return std::holds_alternative<error>(outcome);
}

/// Gives the value of a result that did not fail.
/// \param outcome a result for which failed() is false
/// \return the value
template<class T>
[[nodiscard]] T& value_of(result<T>& outcome)
{
    return std::get<T>(outcome);
}

/// \copydoc value_of
template<class T>
[[nodiscard]] T const& value_of(result<T> const& outcome)
{
    return std::get<T>(outcome);
}

/// Gives the error of a result that failed.
/// \param outcome a result for which failed() is true
/// \return the error
template<class T>
[[nodiscard]] error const& error_of(result<T> const& outcome)
{
    return std::get<error>(outcome);
}

/// The result of an operation that gives no value.
using status = result<std::monostate>;

/// \return a status without an error
inline status success()
{
    return std::monostate{};
}

} // namespace medlarstall

#endif
