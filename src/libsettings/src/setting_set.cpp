#include <medlarstall/settings/setting_set.hpp>

#include <medlarstall/support/split.hpp>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace medlarstall::settings {

namespace {

/// Joins texts with commas, for messages and help.
std::string join(std::vector<std::string> const& parts)
{
    std::string text;
    for (auto const& part : parts) {
        text += text.empty() ? part : ", " + part;
    }
    return text;
}

} // namespace

setting_set::setting_set(std::string program, std::string description,
                         std::string version)
    : program_{std::move(program)}, description_{std::move(description)},
      version_{std::move(version)}
{}

std::string setting_set::environment_variable_of(std::string const& name)
{
    std::string variable = "MEDLARSTALL_";
    for (char const character : name) {
        variable += character == '-'
                        ? '_'
                        : static_cast<char>(std::toupper(
                              static_cast<unsigned char>(character)));
    }
    return variable;
}

void setting_set::add_text(std::string name, std::string help,
                           std::string& target)
{
    settings_.push_back({std::move(name), std::move(help), "text", target,
                         setting_kind::text, false,
                         [&target](auto const& values) {
                             target = values.front();
                             return std::string{};
                         }});
}

void setting_set::add_choice(std::string name, std::string help,
                             std::vector<std::string> allowed,
                             std::string& target)
{
    auto const list = join(allowed);
    settings_.push_back(
        {std::move(name), std::move(help), list, target, setting_kind::text,
         false,
         [allowed = std::move(allowed), list, &target](auto const& values) {
             if (std::ranges::find(allowed, values.front()) == allowed.end()) {
                 return "must be one of " + list;
             }
             target = values.front();
             return std::string{};
         }});
}

void setting_set::add_list(std::string name, std::string help,
                           std::vector<std::string>& target)
{
    settings_.push_back({std::move(name), std::move(help), "text", join(target),
                         setting_kind::list, false,
                         [&target](auto const& values) {
                             target = values;
                             return std::string{};
                         }});
}

void setting_set::add_number(std::string name, std::string help,
                             std::uint64_t min, std::uint64_t max,
                             std::uint64_t& target)
{
    add_bounded_integer(std::move(name), std::move(help), min, max, target,
                        [&target](std::uint64_t value) { target = value; });
}

void setting_set::add_duration(std::string name, std::string help,
                               std::chrono::milliseconds min,
                               std::chrono::milliseconds max,
                               std::chrono::milliseconds& target)
{
    add_bounded_integer(std::move(name), std::move(help),
                        static_cast<std::uint64_t>(min.count()),
                        static_cast<std::uint64_t>(max.count()),
                        static_cast<std::uint64_t>(target.count()),
                        [&target](std::uint64_t value) {
                            target = std::chrono::milliseconds{value};
                        });
}

void setting_set::add_bounded_integer(std::string name, std::string help,
                                      std::uint64_t min, std::uint64_t max,
                                      std::uint64_t default_value,
                                      std::function<void(std::uint64_t)> store)
{
    auto const allowed_range =
        std::to_string(min) + " to " + std::to_string(max);
    settings_.push_back(
        {std::move(name), std::move(help), allowed_range,
         std::to_string(default_value), setting_kind::text, false,
         [min, max, allowed_range,
          store = std::move(store)](auto const& values) {
             std::uint64_t value = 0;
             auto const& text = values.front();
             auto const* const end = text.data() + text.size();
             auto const read = std::from_chars(text.data(), end, value);
             if (read.ec != std::errc{} || read.ptr != end || value < min ||
                 value > max) {
                 return "must be a whole number from " + allowed_range;
             }
             store(value);
             return std::string{};
         }});
}

void setting_set::add_switch(std::string name, std::string help, bool& target)
{
    settings_.push_back(
        {std::move(name), std::move(help), "", "", setting_kind::toggle, false,
         [&target](auto const& values) {
             auto const& text = values.front();
             if (text == "1" || text == "true") {
                 target = true;
                 return std::string{};
             }
             if (text == "0" || text == "false") {
                 target = false;
                 return std::string{};
             }
             return std::string{"must be one of 1, true, 0, false"};
         }});
}

void setting_set::add_positional(std::string name, std::string help,
                                 bool required, std::string& target)
{
    settings_.push_back({std::move(name), std::move(help), "text", target,
                         setting_kind::positional, required,
                         [&target](auto const& values) {
                             target = values.front();
                             return std::string{};
                         }});
}

status setting_set::store_values(setting const& definition,
                                 std::vector<std::string> const& values,
                                 std::string const& source) const
{
    auto const requirement = definition.store(values);
    if (requirement.empty()) {
        return success();
    }
    return error{source, "\"" + join(values) + "\" " + requirement};
}

result<startup_action> setting_set::read(std::vector<std::string> arguments,
                                         environment const& variables)
{
    TCLAP::CmdLine command_line{description_, ' ', version_};
    command_line.setExceptionHandling(false);
    std::vector<std::unique_ptr<TCLAP::Arg>> flags;
    for (auto const& current : settings_) {
        auto const help =
            current.kind == setting_kind::positional
                ? current.help
                : current.help + " [" + environment_variable_of(current.name) +
                      (current.default_value.empty()
                           ? ""
                           : "; default " + current.default_value) +
                      "]";
        switch (current.kind) {
        case setting_kind::text:
            flags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
                "", current.name, help, false, "", current.type));
            break;
        case setting_kind::list:
            flags.push_back(std::make_unique<TCLAP::MultiArg<std::string>>(
                "", current.name, help, false, current.type));
            break;
        case setting_kind::toggle:
            flags.push_back(
                std::make_unique<TCLAP::SwitchArg>("", current.name, help));
            break;
        case setting_kind::positional:
            flags.push_back(
                std::make_unique<TCLAP::UnlabeledValueArg<std::string>>(
                    current.name, help, current.required, "", current.type));
            break;
        }
        command_line.add(*flags.back());
    }
    try {
        command_line.parse(arguments);
    } catch (TCLAP::ExitException const&) {
        return startup_action::stop;
    } catch (TCLAP::ArgException const& exception) {
        return error{exception.argId(), exception.error()};
    }
    for (std::size_t i = 0; i < settings_.size(); ++i) {
        auto const& current = settings_[i];
        std::vector<std::string> values;
        std::string source = "--" + current.name;
        if (flags[i]->isSet()) {
            if (current.kind == setting_kind::toggle) {
                values = {"true"};
            } else if (current.kind == setting_kind::list) {
                values = dynamic_cast<TCLAP::MultiArg<std::string>&>(*flags[i])
                             .getValue();
            } else if (current.kind == setting_kind::positional) {
                values = {dynamic_cast<TCLAP::UnlabeledValueArg<std::string>&>(
                              *flags[i])
                              .getValue()};
            } else {
                values = {dynamic_cast<TCLAP::ValueArg<std::string>&>(*flags[i])
                              .getValue()};
            }
        } else if (current.kind != setting_kind::positional) {
            source = environment_variable_of(current.name);
            auto const* const variable = variables(source.c_str());
            if (variable == nullptr) {
                continue;
            }
            values = current.kind == setting_kind::list
                         ? split_non_empty(variable)
                         : std::vector<std::string>{variable};
        }
        if (values.empty()) {
            continue;
        }
        auto const stored = store_values(current, values, source);
        if (failed(stored)) {
            return error_of(stored);
        }
    }
    return startup_action::proceed;
}

} // namespace medlarstall::settings
