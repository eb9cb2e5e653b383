#include <medlarstall/chart/chart_reader.hpp>

#include "chart_checks.hpp"

#include <medlarstall/chart/chart_vocabulary.hpp>

#include <pugixml.hpp>

#include <algorithm>
#include <initializer_list>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace medlarstall::chart {

namespace {

using name_span = std::span<std::string_view const>;
using name_list = std::initializer_list<std::string_view>;

/// Converts a parsed XML document to a chart. Only the first error is kept and
/// returned.
class document_parser
{
public:
    document_parser(std::string const& file, chart_vocabulary const& vocabulary)
        : file_(file), vocabulary_(vocabulary),
          declared_(vocabulary.states.size())
    {
        chart_.states.resize(vocabulary.states.size());
        for (auto& state : chart_.states) {
            state.transitions.resize(vocabulary.events.size());
        }
    }

    result<chart> read(pugi::xml_document const& document)
    {
        auto const root = document.document_element();
        expect_children(document, {"scxml"});
        expect_attributes(root, {"initial"}, {"xmlns", "version"});
        expect_children(root, {"state", "final"});
        if (root.next_sibling()) {
            report_error(root.next_sibling(), "only one <scxml> is allowed");
        }
        for (auto const node : root.children()) {
            parse_state(node);
        }
        chart_.initial = index_of(root, "initial", vocabulary_.states);
        expect_all_states_declared();
        if (error_) {
            return *error_;
        }
        return std::move(chart_);
    }

private:
    void parse_state(pugi::xml_node node)
    {
        bool const is_final = node.name() == std::string_view{"final"};
        expect_attributes(node, {"id"}, {});
        expect_children(node, is_final ? name_list{} : name_list{"transition"});
        auto const index = index_of(node, "id", vocabulary_.states);
        if (error_) {
            return;
        }
        if (declared_[index]) {
            return report_error(node, "the state is declared twice");
        }
        declared_[index] = true;
        chart_.states[index].is_final = is_final;
        for (auto const child : node.children()) {
            parse_transition(child, chart_.states[index]);
        }
    }

    void parse_transition(pugi::xml_node node, chart_state& state)
    {
        expect_attributes(node, {"event", "target"}, {});
        expect_children(node, {"send"});
        auto const event = index_of(node, "event", vocabulary_.events);
        chart_transition transition;
        transition.target = index_of(node, "target", vocabulary_.states);
        for (auto const child : node.children()) {
            expect_attributes(child, {"event"}, {});
            expect_children(child, {});
            transition.actions.push_back(
                index_of(child, "event", vocabulary_.actions));
        }
        if (error_) {
            return;
        }
        if (state.transitions[event]) {
            return report_error(node,
                                "the state has two transitions for the event");
        }
        state.transitions[event] = std::move(transition);
    }

    void expect_children(pugi::xml_node node, name_list elements)
    {
        for (auto const child : node.children()) {
            if (child.type() != pugi::node_element) {
                report_error(node, "text is not allowed here");
            } else if (std::ranges::count(
                           elements, std::string_view{child.name()}) == 0) {
                report_error(child, "the element is not allowed here");
            }
        }
    }

    void expect_attributes(pugi::xml_node node, name_list required,
                           name_list optional)
    {
        std::vector<std::string_view> found_names;
        for (auto const attribute : node.attributes()) {
            std::string_view const name = attribute.name();
            if (std::ranges::count(required, name) == 0 &&
                std::ranges::count(optional, name) == 0) {
                report_error(node, "unknown attribute " + std::string{name});
            }
            if (std::ranges::count(found_names, name) != 0) {
                report_error(node, "attribute " + std::string{name} +
                                       " is given twice");
            }
            found_names.push_back(name);
        }
        for (auto const name : required) {
            if (std::ranges::count(found_names, name) == 0) {
                report_error(node,
                             "attribute " + std::string{name} + " is missing");
            }
        }
    }

    void expect_all_states_declared()
    {
        auto const missing = std::ranges::find(declared_, false);
        if (missing != declared_.end() && !error_) {
            auto const index = missing - declared_.begin();
            error_ = error{.field = file_ + ": <scxml>",
                           .message = "state " +
                                      std::string{vocabulary_.states[index]} +
                                      " is not declared"};
        }
    }

    /// \return the position in \p known of the value of an attribute; if the
    ///         value is not found there, reports an error and returns 0
    chart_index index_of(pugi::xml_node node, char const* attribute,
                         name_span known)
    {
        std::string_view const name = node.attribute(attribute).value();
        auto const found = std::ranges::find(known, name);
        if (found == known.end()) {
            report_error(node, "unsupported " + std::string{attribute} + " \"" +
                                   std::string{name} + "\"");
            return 0;
        }
        return static_cast<chart_index>(found - known.begin());
    }

    void report_error(pugi::xml_node node, std::string message)
    {
        if (error_) {
            return;
        }
        auto const first = node.first_attribute();
        auto element = file_ + ": <" + node.name();
        if (first) {
            element +=
                std::string{" "} + first.name() + "=\"" + first.value() + "\"";
        }
        error_ = error{.field = element + ">", .message = std::move(message)};
    }

    std::string const& file_;
    chart_vocabulary const& vocabulary_;
    chart chart_;
    std::vector<bool> declared_;
    std::optional<error> error_;
};

} // namespace

chart_reader::chart_reader(std::string file) : file_(std::move(file)) {}

result<chart> chart_reader::read(std::string_view text,
                                 chart_vocabulary const& vocabulary) const
{
    pugi::xml_document document;
    auto const parsed = document.load_buffer(text.data(), text.size());
    if (!parsed) {
        return error{.field = file_ + ": byte " + std::to_string(parsed.offset),
                     .message = parsed.description()};
    }
    auto parsed_chart = document_parser{file_, vocabulary}.read(document);
    if (failed(parsed_chart)) {
        return parsed_chart;
    }
    auto const checked = check_chart(value_of(parsed_chart), vocabulary, file_);
    if (failed(checked)) {
        return error_of(checked);
    }
    return parsed_chart;
}

} // namespace medlarstall::chart
