#include <medlarstall/dispatch/caller_presence.hpp>

#include <algorithm>

namespace medlarstall::dispatch {

namespace {

using std::chrono::milliseconds;

/// \return the hearing of the run of the origin that forwarded the request;
///     null if it is not known or another run was heard last
daemon_hearing const* heard_origin(caller_view const& view)
{
    auto const same = view.origin && view.origin_incarnation &&
                      view.origin->incarnation == *view.origin_incarnation;
    return same ? &*view.origin : nullptr;
}

/// \return true if a later run of the origin was heard: the connection of the
///     caller has ended with the one that forwarded the request
bool has_restarted(caller_view const& view)
{
    return view.origin && view.origin_incarnation &&
           view.origin->incarnation > *view.origin_incarnation;
}

presence_decision departed(char const* reason, duration silence)
{
    return {caller_presence::departed, reason, silence};
}

} // namespace

caller_patience patience_of(routes::route const& route, milliseconds time_left)
{
    constexpr milliseconds max_unread{1000};
    constexpr int unread_divisor = 3;
    constexpr milliseconds min_gap{2000};
    constexpr int objectives = 4;
    constexpr int pauses = 8;
    return {std::min<duration>(max_unread, time_left / unread_divisor),
            std::max({duration{min_gap}, duration{route.objective * objectives},
                      duration{route.pause_objective * pauses}})};
}

presence_decision decide_send(caller_view const& view, time_point now,
                              presence_limits const& limits)
{
    if (view.has_left) {
        return departed("caller_left", {});
    }
    if (has_restarted(view)) {
        return departed("origin_restarted", {});
    }
    auto const* const origin = heard_origin(view);
    auto const is_forwarded = view.origin_incarnation && view.origin;
    auto const silence =
        origin != nullptr ? now - origin->last_heard : duration{0};
    auto const unheard =
        is_forwarded && (origin == nullptr || silence > limits.begin_silence ||
                         now - limits.settle_time < origin->heard_since);
    auto const is_stream = view.kind == routes::route_kind::stream;
    if (now > view.patient_until && (is_stream || unheard)) {
        return departed("patience_over", silence);
    }
    return unheard ? presence_decision{caller_presence::unheard,
                                       "origin_silent", silence}
                   : presence_decision{};
}

presence_decision decide_run(caller_view const& view, time_point now,
                             presence_limits const& limits)
{
    if (has_restarted(view)) {
        return departed("origin_restarted", {});
    }
    auto const* const origin = heard_origin(view);
    if (origin == nullptr || view.kind == routes::route_kind::at_most_once) {
        return {};
    }
    // Updates that arrived during a stall of this daemon are read soon.
    auto const silence = now - origin->last_heard;
    auto const listened = now - origin->listening_since;
    if (silence <= limits.run_silence || listened <= limits.settle_time) {
        return {};
    }
    return {caller_presence::unheard, "origin_silent", silence};
}

} // namespace medlarstall::dispatch
