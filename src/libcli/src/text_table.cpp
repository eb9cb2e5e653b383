#include <medlarstall/cli/text_table.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace medlarstall::cli {

std::string text_table::to_text() const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (auto const& cells : rows_) {
        for (std::size_t column = 0; column < cells.size(); ++column) {
            widths[column] = std::max(widths[column], cells[column].size());
        }
    }
    std::string text;
    for (auto const& cells : rows_) {
        for (std::size_t column = 0; column < cells.size(); ++column) {
            auto const& cell = cells[column];
            std::string const padding(widths[column] - cell.size(), ' ');
            if (column == 0) {
                text.append(cell).append(padding);
            } else {
                text.append("  ").append(padding).append(cell);
            }
        }
        text.erase(text.find_last_not_of(' ') + 1);
        text += '\n';
    }
    return text;
}

std::string format_fixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

std::string format_milliseconds(std::chrono::nanoseconds time)
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    return format_fixed(milliseconds{time}.count(), 1);
}

} // namespace medlarstall::cli
