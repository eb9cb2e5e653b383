#ifndef MEDLARSTALL_BENCH_FAKE_OWNER_HPP
#define MEDLARSTALL_BENCH_FAKE_OWNER_HPP

#include <medlarstall/scheduling/owner_scheduler.hpp>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarstall::bench {

/// One class of requests that arrive at random. Plain data.
struct demand
{
    unsigned tier = 0;
    double requests_per_second = 0;
    std::chrono::milliseconds deadline{0};
};

/// What is run. Plain data.
struct scenario
{
    std::string name;
    scheduling::scheduler_settings settings;
    std::vector<demand> demands;
    double long_part = 0;  ///< Part of the requests that is 20 times long.
    double flood_part = 0; ///< Part of the requests of one organisation.
    bool preemptible = true;
    bool slow_period = false; ///< One of two engines is 5 times slower once.
    double lowest_floor = 0;  ///< Floor of the lowest tier.
    std::chrono::seconds span{300};
};

/// What one tier got. Plain data.
struct tier_outcome
{
    unsigned sent = 0;
    unsigned met = 0; ///< First token and mean between tokens in time.
    unsigned refused = 0;
    unsigned small_sent = 0; ///< By organisations other than the flood's.
    unsigned small_refused = 0;
    std::vector<double> first_tokens; ///< Seconds, of those that began.
    double longest_gap = 0;           ///< Seconds without a dispatch.
};

/// What a run gave. Plain data.
struct outcome
{
    std::map<unsigned, tier_outcome> tiers;
    std::uint64_t tokens = 0;
    unsigned preemptions = 0;
    double repeated_prefill = 0; ///< Part of the time of the slots.
    std::map<std::string, std::uint64_t> by_organisation;
};

/// Two fake engines with 8 slots each under one owner, in virtual time.
class fake_owner
{
public:
    /// \param what what to run
    /// \param seed of the arrivals and lengths
    fake_owner(scenario what, std::uint32_t seed);

    /// \return what each tier got
    outcome run();

private:
    struct job
    {
        scheduling::request value;
        std::uint64_t length = 0;
        std::uint64_t done = 0;
        unsigned run = 0; ///< Grows with each dispatch; old events are void.
        std::string server;
        time_point first;
        bool began = false;
    };

    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        scheduling::request_id id = 0; ///< 0: an arrival or a tick.
        unsigned run = 0;
        std::size_t demand = 0;
        bool tick = false;

        bool operator>(event const& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void push(event value);
    void arrive(std::size_t which);
    void token(scheduling::request_id id);
    void act();
    void start(scheduling::dispatch const& action);
    duration between_tokens(std::string const& server) const;
    double slowness(std::string const& server) const;

    scenario what_;
    std::mt19937 random_;
    scheduling::owner_scheduler scheduler_;
    scheduling::action_list actions_;
    time_point begin_{std::chrono::hours{1}};
    time_point now_{begin_};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    scheduling::request_id last_id_ = 0;
    std::unordered_map<scheduling::request_id, job> jobs_;
    std::map<std::string, unsigned> running_;
    std::map<unsigned, time_point> last_dispatch_;
    outcome outcome_;
};

} // namespace medlarstall::bench

#endif
