#include "checked_owner.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

#include <array>
#include <memory>

using namespace medlarstall;
using namespace medlarstall::scheduling;
using std::chrono::milliseconds;

namespace {

/// The system under test: two owners, each with its own backend servers.
struct owner_pair
{
    time_point now{std::chrono::hours{1}};
    std::array<checked_owner, 2> all{checked_owner{"a", now},
                                     checked_owner{"b", now}};
    request_id last_id = 0;
    std::array<std::vector<request>, 2> shed;

    owner_pair()
    {
        for (std::size_t each = 0; each < all.size(); ++each) {
            all[each].on_shed = [this, each](request const& value) {
                shed[each].push_back(value);
            };
            for (char const* name : {"x", "y"}) {
                all[each].add_server(name + std::to_string(each), now);
            }
        }
    }

    /// Sends the requests that one owner shed to the other one, once each.
    void forward_shed()
    {
        for (std::size_t from = 0; from < all.size(); ++from) {
            for (auto value : std::exchange(shed[from], {})) {
                if (value.model == "retried") {
                    continue;
                }
                value.id = ++last_id;
                value.model = "retried";
                all[1 - from].enqueue(value, now);
            }
        }
    }

    /// Confirms all preemptions, since backend servers cancel victims before
    /// time advances.
    void confirm_preemptions()
    {
        for (auto& each : all) {
            while (each.count(oracle_request_state::preempting) > 0) {
                each.confirm_preemption(0, now);
                forward_shed();
            }
        }
    }

    void advance(duration span)
    {
        auto const end = now + span;
        while (true) {
            confirm_preemptions();
            auto& first = all[1].next_wake_up() && (!all[0].next_wake_up() ||
                                                    *all[1].next_wake_up() <
                                                        *all[0].next_wake_up())
                              ? all[1]
                              : all[0];
            if (!first.next_wake_up() || *first.next_wake_up() > end) {
                break;
            }
            now = std::max(now, *first.next_wake_up());
            first.tick(now);
            forward_shed();
        }
        now = end;
    }
};

/// The model for RapidCheck only counts the requests that were sent.
struct model
{
    unsigned sent = 0;
};

using command = rc::state::Command<model, owner_pair>;

struct send : command
{
    std::size_t owner = *rc::gen::inRange(0, 2);
    unsigned tier = *rc::gen::inRange(0U, 4U);
    unsigned copies = *rc::gen::inRange(1U, 6U);
    std::string organisation = *rc::gen::element<std::string>(
        "large", "large", "small", "limited", "rated");
    int deadline_ms = *rc::gen::element(200, 3000, 20'000);
    bool is_long = *rc::gen::inRange(0, 8) == 0;
    bool isolated = *rc::gen::inRange(0, 12) == 0;
    bool resumable = *rc::gen::inRange(0, 3) > 0;
    bool repeatable = *rc::gen::arbitrary<bool>();
    int preferred = *rc::gen::inRange(0, 4);

    void apply(model& state) const override { state.sent += copies; }

    void run(model const&, owner_pair& system) const override
    {
        for (unsigned each = 0; each < copies; ++each) {
            request value;
            value.id = ++system.last_id;
            value.tier = tier;
            value.organisation = organisation;
            value.service_class = "tier" + std::to_string(tier);
            value.group = "engines";
            value.preferred_backend_server =
                std::array{"", "x0", "y0", "x1"}[preferred];
            value.expected_output_tokens = is_long ? 10'000 : 20;
            value.arrived = system.now;
            value.deadline = system.now + milliseconds{deadline_ms};
            value.isolated = isolated;
            value.resumable = resumable;
            value.repeatable = repeatable;
            system.all[owner].enqueue(value, system.now);
            system.forward_shed();
        }
    }

    void show(std::ostream& out) const override
    {
        out << "send " << copies << " of tier " << tier << " by "
            << organisation << " to " << owner << " within " << deadline_ms
            << " ms" << (is_long ? " long" : "")
            << (isolated ? " isolated" : "") << (resumable ? " resumable" : "")
            << (repeatable ? " repeatable" : "");
    }
};

struct advance : command
{
    int span_ms = *rc::gen::element(1, 20, 150, 700, 2000, 5000);

    void run(model const&, owner_pair& system) const override
    {
        system.advance(milliseconds{span_ms});
    }

    void show(std::ostream& out) const override
    {
        out << "advance " << span_ms << " ms";
    }
};

/// An event of one running or queued request at an owner.
struct event : command
{
    std::size_t owner = *rc::gen::inRange(0, 2);
    std::size_t pick = *rc::gen::inRange(0, 1000);
    std::string kind = *rc::gen::element<std::string>(
        "tokens", "tokens", "finish", "finish", "finish", "fail", "bounce",
        "cancel", "confirm", "confirm");

    void run(model const&, owner_pair& system) const override
    {
        auto& target = system.all[owner];
        if (kind == "tokens") {
            target.tokens(pick, unsigned(1 + pick % 30), system.now);
        } else if (kind == "finish") {
            target.finish(pick, system.now);
        } else if (kind == "fail") {
            target.fail(pick, system.now);
        } else if (kind == "bounce") {
            target.reject_as_busy(pick, system.now);
        } else if (kind == "cancel") {
            target.cancel(pick, system.now);
        } else {
            target.confirm_preemption(pick, system.now);
        }
        system.forward_shed();
    }

    void show(std::ostream& out) const override
    {
        out << kind << " at " << owner << " (" << pick << ")";
    }
};

/// A change of the backend servers, or an exchange between the owners.
struct change : command
{
    std::size_t owner = *rc::gen::inRange(0, 2);
    std::size_t pick = *rc::gen::inRange(0, 100);
    std::string kind = *rc::gen::element<std::string>(
        "leave", "remove", "add", "add", "report", "share", "share", "drain");

    void run(model const&, owner_pair& system) const override
    {
        auto& target = system.all[owner];
        auto const now = system.now;
        if (kind == "leave" || kind == "remove") {
            target.retire_server(pick, kind == "remove", now);
        } else if (kind == "add") {
            target.add_server(
                (pick % 2 == 0 ? "x" : "y") + std::to_string(owner), now);
        } else if (kind == "report") {
            target.report(pick, unsigned(pick % 5), milliseconds{pick * 10},
                          now);
        } else if (kind == "share") {
            share(system);
        } else if (pick == 0) {
            target.drain(now);
        }
        system.forward_shed();
    }

    void show(std::ostream& out) const override
    {
        out << kind << " at " << owner << " (" << pick << ")";
    }

private:
    void share(owner_pair& system) const
    {
        auto const& other = system.all[1 - owner];
        for (char const* name : {"large", "small", "limited"}) {
            system.all[owner].set_remote_usage(
                name,
                {.running = other.running_of(name),
                 .served_tokens = other.served_of(name),
                 .owners = 1},
                system.now);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(owner_scheduler_model_suite)

RC_BOOST_PROP(two_owners_keep_all_guarantees_in_every_state, ())
{
    owner_pair system;
    rc::state::check(
        model{}, system,
        rc::state::gen::execOneOfWithArgs<send, send, advance, event, event,
                                          event, change>());
    for (auto& each : system.all) {
        each.finish_all(system.now);
    }
}

BOOST_AUTO_TEST_SUITE_END()
