#ifndef MEDLARSTALL_SUPPORT_RESULT_HPP
#define MEDLARSTALL_SUPPORT_RESULT_HPP

#include <string>
#include <utility>
#include <variant>

namespace medlarstall {

/// Names the input that was rejected or the operation that failed, and why.
struct error
{
    std::string field;   ///< Setting, JSON path or operation that failed.
    std::string message; ///< Rejected value and what is allowed instead.
};

/// The value that an operation returns, or the error with which it failed.
template<class T>
using result = std::variant<T, error>;

/// Tests whether an operation failed.
/// \param outcome result of the operation
/// \return true if \p outcome holds an error instead of a value
template<class T>
[[nodiscard]] bool failed(result<T> const& outcome)
{
    return std::holds_alternative<error>(outcome);
}

/// Returns the value of an operation that succeeded.
/// \param outcome result for which failed() returns false
/// \return a reference to the value inside \p outcome
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

/// Returns the error of an operation that failed.
/// \param outcome result for which failed() returns true
/// \return a reference to the error inside \p outcome
template<class T>
[[nodiscard]] error const& error_of(result<T> const& outcome)
{
    return std::get<error>(outcome);
}

/// The result of an operation that returns no value.
using status = result<std::monostate>;

/// \return a status without an error
inline status success()
{
    return std::monostate{};
}

} // namespace medlarstall

#endif
