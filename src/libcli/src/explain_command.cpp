#include "command.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace medlarstall::cli {

namespace {

/// A log line of a daemon that belongs to the attempt.
struct matching_line
{
    /// Unix time in milliseconds. All times have the same number of digits, so
    /// sorting the texts sorts the times.
    std::string time;
    std::string text;
};

/// Finds a field in a structured log line.
/// \return value of the field; empty if the line does not contain it
std::string_view find_field_value(std::string_view line, std::string_view name)
{
    auto const key = ' ' + std::string{name} + '=';
    auto const padded = ' ' + std::string{line};
    auto const at = padded.find(key);
    if (at == std::string::npos) {
        return {};
    }
    auto const begin = at + key.size() - 1;
    return line.substr(begin, line.find(' ', begin) - begin);
}

/// Appends the lines of a log that belong to an attempt.
void collect_matching_lines(std::istream& from, std::string_view attempt_id,
                            std::vector<matching_line>& lines)
{
    for (std::string text; std::getline(from, text);) {
        if (find_field_value(text, "id") == attempt_id) {
            lines.push_back({std::string{find_field_value(text, "t")}, text});
        }
    }
}

} // namespace

exit_code run_explain(command_context& context)
{
    std::string attempt_id;
    std::vector<std::string> files;
    settings::setting_set set{
        context.arguments.front(),
        "Prints the log lines of daemons about one attempt, in order of time.",
        MEDLARSTALL_VERSION};
    set.add_positional("id", "Id of the attempt", true, attempt_id);
    set.add_list("logs", "Log files of daemons; without them, standard input",
                 files);
    if (auto const early_exit = read_settings(context, set)) {
        return *early_exit;
    }
    std::vector<matching_line> lines;
    for (auto const& name : files) {
        std::ifstream file{name};
        if (!file) {
            context.log << name << ": cannot be opened\n";
            return exit_code::usage;
        }
        collect_matching_lines(file, attempt_id, lines);
    }
    if (files.empty()) {
        collect_matching_lines(std::cin, attempt_id, lines);
    }
    std::ranges::stable_sort(lines, {}, &matching_line::time);
    for (auto const& line : lines) {
        context.out << line.text << '\n';
    }
    if (lines.empty()) {
        context.log << "no log line belongs to attempt " << attempt_id << '\n';
        return exit_code::negative;
    }
    return exit_code::success;
}

} // namespace medlarstall::cli
