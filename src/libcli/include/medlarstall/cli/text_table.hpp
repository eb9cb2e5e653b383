#ifndef MEDLARSTALL_CLI_TEXT_TABLE_HPP
#define MEDLARSTALL_CLI_TEXT_TABLE_HPP

#include <chrono>
#include <string>
#include <vector>

namespace medlarstall::cli {

/// A table for terminals: the first column is left-aligned, the others are
/// right-aligned, two spaces apart.
class text_table
{
public:
    using row = std::vector<std::string>;

    /// \param heads titles of the columns
    explicit text_table(row heads) : rows_{std::move(heads)} {}

    /// \param cells as many cells as there are columns
    void add(row cells) { rows_.push_back(std::move(cells)); }

    /// \return the table, each line ended by a line feed
    [[nodiscard]] std::string text() const;

private:
    std::vector<row> rows_;
};

/// \param value a number
/// \param digits digits after the point
/// \return its text
[[nodiscard]] std::string fixed(double value, int digits);

/// \param time a duration
/// \return milliseconds with one digit after the point
[[nodiscard]] std::string milliseconds_text(std::chrono::nanoseconds time);

} // namespace medlarstall::cli

#endif
