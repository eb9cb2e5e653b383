#ifndef MEDLARSTALL_BENCH_PROCESS_USAGE_HPP
#define MEDLARSTALL_BENCH_PROCESS_USAGE_HPP

#include <unistd.h>

#include <chrono>
#include <cstddef>
#include <fstream>
#include <sstream>
#include <string>

namespace medlarstall::bench {

/// Processor time and memory of another process, from /proc.
struct process_usage
{
    std::chrono::duration<double> processor{0};
    std::size_t resident_kib = 0;
};

/// \param pid process
/// \return what it has used so far; zeros if it does not exist
inline process_usage usage_of(int pid)
{
    process_usage usage;
    auto const folder = "/proc/" + std::to_string(pid);
    std::ifstream status{folder + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            std::istringstream{line.substr(6)} >> usage.resident_kib;
        }
    }
    std::ifstream stat{folder + "/stat"};
    std::string text;
    std::getline(stat, text);
    // The fields after the command's name: state is the third of all, user
    // and system time are the 14th and 15th.
    std::istringstream fields{text.substr(text.rfind(')') + 2)};
    std::string skipped;
    constexpr int before_times = 11;
    for (int field = 0; field < before_times; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.processor = std::chrono::duration<double>{
        (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK))};
    return usage;
}

} // namespace medlarstall::bench

#endif
