#ifndef MEDLARSTALL_TESTS_SCHEDULER_FIXTURE_HPP
#define MEDLARSTALL_TESTS_SCHEDULER_FIXTURE_HPP

#include <medlarstall/catalogue/catalogue.hpp>
#include <medlarstall/scheduling/owner_scheduler.hpp>

#include <string>
#include <vector>

namespace medlarstall::scheduling {

using std::chrono::milliseconds;

/// A scheduler with one group of backend servers, whose clock and events the
/// test controls.
struct scheduler_fixture
{
    catalogue::catalogue entries;
    owner_scheduler scheduler;
    time_point now{std::chrono::hours{1}};
    action_list actions;

    explicit scheduler_fixture(unsigned slots = 2, unsigned servers = 1,
                               scheduler_settings settings = {})
        : scheduler{[&] {
              settings.limiter.initial_fraction = 1.0;
              return settings;
          }()}
    {
        entries.groups["engines"].value.slots = slots;
        for (unsigned tier = 0; tier < 3; ++tier) {
            auto& entry = entries.classes["tier" + std::to_string(tier)].value;
            entry.tier = tier;
        }
        apply_catalogue();
        for (unsigned each = 0; each < servers; ++each) {
            scheduler.add_backend_server(
                {.id = "engine" + std::to_string(each), .group = "engines"},
                now, actions);
        }
    }

    void apply_catalogue() { scheduler.apply_catalogue(entries, now, actions); }

    request make_request(request_id id, unsigned tier,
                         std::string const& organisation = "coteau") const
    {
        request value;
        value.id = id;
        value.tier = tier;
        value.organisation = organisation;
        value.service_class = "tier" + std::to_string(tier);
        value.group = "engines";
        value.arrived = now;
        value.deadline = now + std::chrono::minutes{1};
        return value;
    }

    void enqueue(request const& value)
    {
        (void)scheduler.enqueue(value, now, actions);
    }

    void advance(duration span)
    {
        now += span;
        scheduler.tick(now, actions);
    }

    /// Removes the actions of one type from the list and returns them.
    template<class Action>
    std::vector<Action> take_actions()
    {
        std::vector<Action> found;
        std::erase_if(actions, [&](action const& each) {
            if (auto const* wanted = std::get_if<Action>(&each)) {
                found.push_back(*wanted);
                return true;
            }
            return false;
        });
        return found;
    }

    std::vector<request_id> take_dispatched()
    {
        std::vector<request_id> ids;
        for (auto const& each : take_actions<dispatch>()) {
            ids.push_back(each.id);
        }
        return ids;
    }
};

} // namespace medlarstall::scheduling

#endif
