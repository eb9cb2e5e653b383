#ifndef MEDLARSTALL_CLI_TEXT_TABLE_HPP
#define MEDLARSTALL_CLI_TEXT_TABLE_HPP

#include <chrono>
#include <string>
#include <vector>

namespace medlarstall::cli {

/// A plain-text table. The first column is left-aligned, the others are
/// right-aligned, with two spaces between columns.
class text_table
{
public:
    using row = std::vector<std::string>;

    /// \param headers headers of the columns; at least one
    explicit text_table(row headers) : rows_{std::move(headers)} {}

    /// \param cells cells of the row; at most as many as there are headers
    void add_row(row cells) { rows_.push_back(std::move(cells)); }

    /// \return the table, each line ended by a line feed
    [[nodiscard]] std::string to_text() const;

private:
    std::vector<row> rows_;
};

/// Formats a number in fixed-point notation.
/// \param value number to format
/// \param digits number of digits after the decimal point
/// \return the number, rounded to \p digits
[[nodiscard]] std::string format_fixed(double value, int digits);

/// Formats a duration in milliseconds, without its unit.
/// \param time duration to format
/// \return the milliseconds with one digit after the decimal point
[[nodiscard]] std::string format_milliseconds(std::chrono::nanoseconds time);

} // namespace medlarstall::cli

#endif
