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

/// Two owners with backend servers of their own, side by side.
struct owners
{
    time_point now{std::chrono::hours{1}};
    std::array<checked_owner, 2> all{checked_owner{"a", now},
                                     checked_owner{"b", now}};
    request_id last_id = 0;
    std::array<std::vector<request>, 2> shed;

    owners()
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

    /// What one owner shed is tried at the other one before it is refused.
    void bounce_shed()
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

    /// Backend servers cancel victims before time goes on.
    void confirm_preemptions()
    {
        for (auto& each : all) {
            while (each.count(item_state::preempting) > 0) {
                each.confirm_preemption(0, now);
                bounce_shed();
            }
        }
    }

    void advance(duration span)
    {
        auto const end = now + span;
        while (true) {
            confirm_preemptions();
            auto& first = all[1].wake() && (!all[0].wake() ||
                                            *all[1].wake() < *all[0].wake())
                              ? all[1]
                              : all[0];
            if (!first.wake() || *first.wake() > end) {
                break;
            }
            now = std::max(now, *first.wake());
            first.tick(now);
            bounce_shed();
        }
        now = end;
    }
};

/// The model knows only how many requests were sent.
struct model
{
    unsigned sent = 0;
};

using command = rc::state::Command<model, owners>;

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

    void run(model const&, owners& sut) const override
    {
        for (unsigned each = 0; each < copies; ++each) {
            request value;
            value.id = ++sut.last_id;
            value.tier = tier;
            value.organisation = organisation;
            value.service_class = "tier" + std::to_string(tier);
            value.group = "engines";
            value.preferred_backend_server =
                std::array{"", "x0", "y0", "x1"}[preferred];
            value.expected_output_tokens = is_long ? 10'000 : 20;
            value.arrived = sut.now;
            value.deadline = sut.now + milliseconds{deadline_ms};
            value.isolated = isolated;
            value.resumable = resumable;
            value.repeatable = repeatable;
            sut.all[owner].enqueue(value, sut.now);
            sut.bounce_shed();
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

    void run(model const&, owners& sut) const override
    {
        sut.advance(milliseconds{span_ms});
    }

    void show(std::ostream& out) const override
    {
        out << "advance " << span_ms << " ms";
    }
};

/// What happens to one of the running or queued requests of an owner.
struct event : command
{
    std::size_t owner = *rc::gen::inRange(0, 2);
    std::size_t pick = *rc::gen::inRange(0, 1000);
    std::string kind = *rc::gen::element<std::string>(
        "tokens", "tokens", "finish", "finish", "finish", "fail", "bounce",
        "cancel", "confirm", "confirm");

    void run(model const&, owners& sut) const override
    {
        auto& one = sut.all[owner];
        if (kind == "tokens") {
            one.tokens(pick, unsigned(1 + pick % 30), sut.now);
        } else if (kind == "finish") {
            one.finish(pick, sut.now);
        } else if (kind == "fail") {
            one.fail(pick, sut.now);
        } else if (kind == "bounce") {
            one.bounce(pick, sut.now);
        } else if (kind == "cancel") {
            one.cancel(pick, sut.now);
        } else {
            one.confirm_preemption(pick, sut.now);
        }
        sut.bounce_shed();
    }

    void show(std::ostream& out) const override
    {
        out << kind << " at " << owner << " (" << pick << ")";
    }
};

/// What happens to the backend servers or between the owners.
struct change : command
{
    std::size_t owner = *rc::gen::inRange(0, 2);
    std::size_t pick = *rc::gen::inRange(0, 100);
    std::string kind = *rc::gen::element<std::string>(
        "leave", "remove", "add", "add", "report", "share", "share", "drain");

    void run(model const&, owners& sut) const override
    {
        auto& one = sut.all[owner];
        auto const now = sut.now;
        if (kind == "leave" || kind == "remove") {
            one.leave_server(pick, kind == "remove", now);
        } else if (kind == "add") {
            one.add_server((pick % 2 == 0 ? "x" : "y") + std::to_string(owner),
                           now);
        } else if (kind == "report") {
            one.report(pick, unsigned(pick % 5), milliseconds{pick * 10}, now);
        } else if (kind == "share") {
            share(sut);
        } else if (pick == 0) {
            one.drain(now);
        }
        sut.bounce_shed();
    }

    void show(std::ostream& out) const override
    {
        out << kind << " at " << owner << " (" << pick << ")";
    }

private:
    void share(owners& sut) const
    {
        auto const& other = sut.all[1 - owner];
        for (char const* name : {"large", "small", "limited"}) {
            sut.all[owner].remote(name,
                                  {.running = other.running_of(name),
                                   .served_tokens = other.served_of(name),
                                   .owners = 1},
                                  sut.now);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(owner_scheduler_model_suite)

RC_BOOST_PROP(two_owners_keep_the_promises_in_every_state, ())
{
    owners sut;
    rc::state::check(
        model{}, sut,
        rc::state::gen::execOneOfWithArgs<send, send, advance, event, event,
                                          event, change>());
    for (auto& each : sut.all) {
        each.finish_all(sut.now);
    }
}

BOOST_AUTO_TEST_SUITE_END()
