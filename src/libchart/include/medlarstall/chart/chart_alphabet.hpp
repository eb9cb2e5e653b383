#ifndef MEDLARSTALL_CHART_CHART_ALPHABET_HPP
#define MEDLARSTALL_CHART_CHART_ALPHABET_HPP

#include <span>
#include <string_view>

namespace medlarstall::chart {

/// The names that the code knows, which a chart file has to use all of and
/// nothing beside. Refers to names that outlive it. Plain data.
struct chart_alphabet
{
    std::span<std::string_view const> states;
    std::span<std::string_view const> events;
    std::span<std::string_view const> actions;
};

} // namespace medlarstall::chart

#endif
