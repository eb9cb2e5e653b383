#ifndef MEDLARSTALL_PLACEMENT_PLACEMENT_PLANNER_HPP
#define MEDLARSTALL_PLACEMENT_PLACEMENT_PLANNER_HPP

#include <medlarstall/placement/fence_table.hpp>
#include <medlarstall/placement/placement_types.hpp>
#include <medlarstall/placement/weight_budget.hpp>
#include <medlarstall/support/time.hpp>
#include <medlarstall/support/uuid.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarstall::placement {

/// Settings of a placement_planner.
struct planner_settings
{
    std::string daemon;   ///< Id of this daemon.
    std::string instance; ///< Differs at each start of the daemon.
    std::chrono::milliseconds settle{5000}; ///< Time for which an item must be
                                            ///< missing before it is ordered.
    std::chrono::milliseconds append_retry{5000};
    std::chrono::milliseconds order_retry{120'000}; ///< Without a read-back.
    lease_settings leases;
    weight_settings weights;
};

/// A backend server that this daemon owns. Plain data.
struct owned_engine
{
    std::string id;
    bool checks_fencing = true;
    std::set<placement_item> wanted;

    bool operator==(owned_engine const&) const = default;
};

/// What placement_planner::tick() asks for, in this order.
struct planner_actions
{
    std::vector<placement_record> appends;
    std::vector<engine_order> orders;
    std::vector<placement_decision> decisions; ///< One log line each.
};

/// Brings the engines that a daemon owns to what they should have. It takes a
/// fencing number from the log before it orders, waits for a turn at the
/// weight store, and orders until the engine's report shows the item. An order
/// that was overtaken by another daemon is seen in the report and repeated.
class placement_planner
{
public:
    /// \param settings settings of this daemon
    explicit placement_planner(planner_settings settings);

    /// Sets the engines that this daemon owns, with what they should have.
    void set_engines(std::vector<owned_engine> engines, time_point now);

    /// Applies a record of the placement log, in the order of the offsets.
    void on_record(std::uint64_t offset, placement_record const& record,
                   wall_time written, time_point now);

    /// Takes the report of an engine that it gave after \p asked.
    void on_report(std::string const& backend_server,
                   engine_report const& report, time_point asked);

    /// Notes that an engine refused an order for its old fencing number.
    void on_refused(std::string const& backend_server);

    /// \param now current time
    /// \return what to do now
    planner_actions tick(time_point now);

private:
    /// An item that an engine should have and does not report.
    struct missing_item
    {
        time_point since;
        std::string ticket; ///< Empty until it was asked for.
        time_point ticket_sent;
        std::string order_id;
        time_point ordered; ///< When the order was sent last.
        bool was_ordered = false;
    };

    struct engine
    {
        owned_engine owned;
        std::map<placement_item, missing_item> missing;
        std::set<placement_item> placed; ///< Ordered, where reports are silent.
        time_point fence_sent;
        bool fence_was_sent = false;
        bool refused = false;
        std::string last_wait; ///< Reason of the last wait that was told.
    };

    [[nodiscard]] std::string holder() const;
    void add_fences(time_point now, planner_actions& actions);
    void add_orders(engine& one, time_point now, planner_actions& actions);
    bool has_turn(engine& one, placement_item const& item, missing_item& state,
                  time_point now, planner_actions& actions);
    void tell_wait(engine& one, placement_item const& item,
                   std::string const& reason, planner_actions& actions);
    [[nodiscard]] static bool shows(engine_report const& report,
                                    placement_item const& item);
    [[nodiscard]] static bool is_silent(engine_report const& report,
                                        placement_item const& item);

    planner_settings settings_;
    fence_table fences_;
    weight_budget budget_;
    std::map<std::string, engine> engines_;
    std::uint64_t next_id_ = 0;
};

} // namespace medlarstall::placement

#endif
