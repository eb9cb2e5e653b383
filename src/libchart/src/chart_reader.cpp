#include <medlarstall/chart/chart_reader.hpp>

#include "chart_checks.hpp"

#include <medlarstall/chart/chart_alphabet.hpp>

#include <pugixml.hpp>

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace medlarstall::chart {

namespace {

using names = std::span<std::string_view const>;
using allowed = std::initializer_list<std::string_view>;

/// Turns one parsed document into a chart and keeps the first fault.
class document_reader
{
public:
    document_reader(std::string const& file, chart_alphabet const& alphabet)
        : file_(file), alphabet_(alphabet), declared_(alphabet.states.size())
    {
        chart_.states.resize(alphabet.states.size());
        for (auto& state : chart_.states) {
            state.transitions.resize(alphabet.events.size());
        }
    }

    result<chart> read(pugi::xml_document const& document)
    {
        auto const root = document.document_element();
        expect_children(document, {"scxml"});
        expect_attributes(root, {"initial"}, {"xmlns", "version"});
        expect_children(root, {"state", "final"});
        if (root.next_sibling()) {
            refuse(root.next_sibling(), "only one <scxml> is allowed");
        }
        for (auto const node : root.children()) {
            read_state(node);
        }
        chart_.initial = index_of(root, "initial", alphabet_.states);
        expect_all_states();
        if (fault_) {
            return *fault_;
        }
        return std::move(chart_);
    }

private:
    void read_state(pugi::xml_node node)
    {
        bool const is_final = node.name() == std::string_view{"final"};
        expect_attributes(node, {"id"}, {});
        expect_children(node, is_final ? allowed{} : allowed{"transition"});
        auto const index = index_of(node, "id", alphabet_.states);
        if (fault_) {
            return;
        }
        if (declared_[index]) {
            return refuse(node, "the state is declared twice");
        }
        declared_[index] = true;
        chart_.states[index].is_final = is_final;
        for (auto const child : node.children()) {
            read_transition(child, chart_.states[index]);
        }
    }

    void read_transition(pugi::xml_node node, chart_state& state)
    {
        expect_attributes(node, {"event", "target"}, {});
        expect_children(node, {"send"});
        auto const event = index_of(node, "event", alphabet_.events);
        chart_transition taken;
        taken.target = index_of(node, "target", alphabet_.states);
        for (auto const child : node.children()) {
            expect_attributes(child, {"event"}, {});
            expect_children(child, {});
            taken.actions.push_back(
                index_of(child, "event", alphabet_.actions));
        }
        if (fault_) {
            return;
        }
        if (state.transitions[event]) {
            return refuse(node, "the state has two transitions for the event");
        }
        state.transitions[event] = std::move(taken);
    }

    void expect_children(pugi::xml_node node, allowed elements)
    {
        for (auto const child : node.children()) {
            if (child.type() != pugi::node_element) {
                refuse(node, "text is not allowed here");
            } else if (std::ranges::count(
                           elements, std::string_view{child.name()}) == 0) {
                refuse(child, "the element is not allowed here");
            }
        }
    }

    void expect_attributes(pugi::xml_node node, allowed required,
                           allowed optional)
    {
        std::vector<std::string_view> seen;
        for (auto const attribute : node.attributes()) {
            std::string_view const name = attribute.name();
            if (std::ranges::count(required, name) == 0 &&
                std::ranges::count(optional, name) == 0) {
                refuse(node, "unknown attribute " + std::string{name});
            }
            if (std::ranges::count(seen, name) != 0) {
                refuse(node, "attribute " + std::string{name} + " twice");
            }
            seen.push_back(name);
        }
        for (auto const name : required) {
            if (std::ranges::count(seen, name) == 0) {
                refuse(node, "attribute " + std::string{name} + " is missing");
            }
        }
    }

    void expect_all_states()
    {
        auto const missing = std::ranges::find(declared_, false);
        if (missing != declared_.end() && !fault_) {
            auto const index = missing - declared_.begin();
            fault_ = error{.field = file_ + ": <scxml>",
                           .message = "state " +
                                      std::string{alphabet_.states[index]} +
                                      " is not declared"};
        }
    }

    /// \return the position of an attribute's value in \p known, or 0 and a
    ///         fault
    chart_index index_of(pugi::xml_node node, char const* attribute,
                         names known)
    {
        std::string_view const name = node.attribute(attribute).value();
        auto const found = std::ranges::find(known, name);
        if (found == known.end()) {
            refuse(node, "the code knows no " + std::string{attribute} + " \"" +
                             std::string{name} + "\"");
            return 0;
        }
        return static_cast<chart_index>(found - known.begin());
    }

    void refuse(pugi::xml_node node, std::string message)
    {
        if (fault_) {
            return;
        }
        auto const first = node.first_attribute();
        auto element = file_ + ": <" + node.name();
        if (first) {
            element +=
                std::string{" "} + first.name() + "=\"" + first.value() + "\"";
        }
        fault_ = error{.field = element + ">", .message = std::move(message)};
    }

    std::string const& file_;
    chart_alphabet const& alphabet_;
    chart chart_;
    std::vector<bool> declared_;
    std::optional<error> fault_;
};

} // namespace

chart_reader::chart_reader(std::string file) : file_(std::move(file)) {}

result<chart> chart_reader::read(std::string_view text,
                                 chart_alphabet const& alphabet) const
{
    pugi::xml_document document;
    auto const parsed = document.load_buffer(text.data(), text.size());
    if (!parsed) {
        return error{.field = file_ + ": byte " + std::to_string(parsed.offset),
                     .message = parsed.description()};
    }
    auto outcome = document_reader{file_, alphabet}.read(document);
    if (failed(outcome)) {
        return outcome;
    }
    auto const checked = check_chart(value_of(outcome), alphabet, file_);
    if (failed(checked)) {
        return error_of(checked);
    }
    return outcome;
}

} // namespace medlarstall::chart
