#ifndef MEDLARSTALL_TESTS_FAULTS_FAULT_INJECTOR_HPP
#define MEDLARSTALL_TESTS_FAULTS_FAULT_INJECTOR_HPP

#include "fault_kind.hpp"

#include <medlarstall/support/time.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace medlarstall::tests {
class test_cluster;
}

namespace medlarstall::faults {

/// Injects faults into a cluster at random times, alone or several together,
/// and takes each back after a while.
class fault_injector
{
public:
    /// \param cluster cluster that gets the faults
    /// \param seed of every choice
    /// \param kinds kinds to inject
    fault_injector(tests::test_cluster& cluster, std::uint64_t seed,
                   std::vector<fault_kind> kinds);

    /// Injects and takes back what is due.
    /// \param now current time
    void step(time_point now);

    /// Takes every fault back.
    void stop();

    /// \return numbers of the daemons that callers may ask
    [[nodiscard]] std::vector<std::size_t> const& daemons() const
    {
        return daemons_;
    }

    /// \return faults injected so far, by kind
    [[nodiscard]] std::map<fault_kind, std::size_t> const& counts() const
    {
        return counts_;
    }

    /// \return how often several faults began together
    [[nodiscard]] std::size_t together() const { return together_; }

private:
    struct recovery
    {
        time_point due;
        std::function<void()> work;
    };

    void inject(fault_kind kind, time_point now);
    void recover_at(time_point due, std::function<void()> work);
    void drop_daemon(time_point now);
    void pause_daemon(time_point now);
    void disturb_log(fault_kind kind, time_point now);
    void kill_engine(time_point now);
    void kill_service(time_point now);
    void break_service(time_point now);
    void disturb_frames(time_point now);
    void slow_engine(time_point now);
    void silence_connections();
    [[nodiscard]] std::size_t below(std::size_t bound);
    [[nodiscard]] std::chrono::milliseconds span(int least, int most);

    tests::test_cluster& cluster_;
    std::mt19937_64 random_;
    std::vector<fault_kind> kinds_;
    std::vector<std::size_t> daemons_;
    std::size_t paused_ = 0;
    std::vector<recovery> recoveries_;
    time_point next_;
    std::map<fault_kind, std::size_t> counts_;
    std::size_t together_ = 0;
};

} // namespace medlarstall::faults

#endif
