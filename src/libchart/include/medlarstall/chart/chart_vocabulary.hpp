#ifndef MEDLARSTALL_CHART_CHART_VOCABULARY_HPP
#define MEDLARSTALL_CHART_CHART_VOCABULARY_HPP

#include <span>
#include <string_view>

namespace medlarstall::chart {

/// Names of all states, events and actions that the code supports. A chart file
/// has to use each of them and no others. The names have to outlive this
/// object.
struct chart_vocabulary
{
    std::span<std::string_view const> states;
    std::span<std::string_view const> events;
    std::span<std::string_view const> actions;
};

} // namespace medlarstall::chart

#endif
