/// Measures membership in virtual time; see docs/design/membership.md.

#include "print.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace medlarstall::bench {

double processor_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) / 1e9;
}

void print_slope(std::string const& metric, series const& points,
                 char const* unit)
{
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (auto const& [x, y] : points) {
        n += 1;
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    auto const slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    auto const constant = (sy - slope * sx) / n;
    double residual = 0;
    for (auto const& [x, y] : points) {
        residual = std::max(residual, std::abs(y - constant - slope * x));
    }
    std::printf("fit metric=%s constant=%.4g slope=%.4g residual=%.4g "
                "unit=%s\n",
                metric.c_str(), constant, slope, residual, unit);
}

} // namespace medlarstall::bench

int main()
{
    medlarstall::bench::measure_assignments();
    medlarstall::bench::measure_upstreams();
    medlarstall::bench::measure_fleets();
    return 0;
}
