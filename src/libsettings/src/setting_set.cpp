#include <medlarstall/settings/setting_set.hpp>

#include <medlarstall/support/split.hpp>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace medlarstall::settings {

namespace {

std::string joined(std::vector<std::string> const& parts)
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

std::string setting_set::variable_of(std::string const& name)
{
    std::string variable = "MEDLARSTALL_";
    for (char const letter : name) {
        variable += letter == '-' ? '_'
                                  : static_cast<char>(std::toupper(
                                        static_cast<unsigned char>(letter)));
    }
    return variable;
}

void setting_set::add(std::string name, std::string help, std::string& target)
{
    settings_.push_back({std::move(name), std::move(help), "text", target,
                         form::text, false, [&target](auto const& values) {
                             target = values.front();
                             return std::string{};
                         }});
}

void setting_set::add_choice(std::string name, std::string help,
                             std::vector<std::string> allowed,
                             std::string& target)
{
    auto const list = joined(allowed);
    settings_.push_back(
        {std::move(name), std::move(help), list, target, form::text, false,
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
    settings_.push_back({std::move(name), std::move(help), "text",
                         joined(target), form::list, false,
                         [&target](auto const& values) {
                             target = values;
                             return std::string{};
                         }});
}

void setting_set::add_number(std::string name, std::string help,
                             std::uint64_t least, std::uint64_t most,
                             std::uint64_t& target)
{
    add_checked(std::move(name), std::move(help), least, most, target,
                [&target](std::uint64_t value) { target = value; });
}

void setting_set::add_span(std::string name, std::string help,
                           std::chrono::milliseconds least,
                           std::chrono::milliseconds most,
                           std::chrono::milliseconds& target)
{
    add_checked(std::move(name), std::move(help),
                static_cast<std::uint64_t>(least.count()),
                static_cast<std::uint64_t>(most.count()),
                static_cast<std::uint64_t>(target.count()),
                [&target](std::uint64_t value) {
                    target = std::chrono::milliseconds{value};
                });
}

void setting_set::add_checked(std::string name, std::string help,
                              std::uint64_t least, std::uint64_t most,
                              std::uint64_t fallback,
                              std::function<void(std::uint64_t)> store)
{
    auto const range = std::to_string(least) + " to " + std::to_string(most);
    settings_.push_back(
        {std::move(name), std::move(help), range, std::to_string(fallback),
         form::text, false,
         [least, most, range, store = std::move(store)](auto const& values) {
             std::uint64_t value = 0;
             auto const& text = values.front();
             auto const* const end = text.data() + text.size();
             auto const read = std::from_chars(text.data(), end, value);
             if (read.ec != std::errc{} || read.ptr != end || value < least ||
                 value > most) {
                 return "must be a whole number from " + range;
             }
             store(value);
             return std::string{};
         }});
}

void setting_set::add_switch(std::string name, std::string help, bool& target)
{
    settings_.push_back({std::move(name), std::move(help), "", "", form::toggle,
                         false, [&target](auto const& values) {
                             auto const& text = values.front();
                             if (text == "1" || text == "true") {
                                 target = true;
                                 return std::string{};
                             }
                             if (text == "0" || text == "false") {
                                 target = false;
                                 return std::string{};
                             }
                             return std::string{
                                 "must be one of 1, true, 0, false"};
                         }});
}

void setting_set::add_positional(std::string name, std::string help,
                                 bool required, std::string& target)
{
    settings_.push_back({std::move(name), std::move(help), "text", target,
                         form::positional, required,
                         [&target](auto const& values) {
                             target = values.front();
                             return std::string{};
                         }});
}

status setting_set::store(setting const& one,
                          std::vector<std::string> const& values,
                          std::string const& source) const
{
    auto const problem = one.store(values);
    if (problem.empty()) {
        return success();
    }
    return error{source, "\"" + joined(values) + "\" " + problem};
}

result<next> setting_set::read(std::vector<std::string> arguments,
                               environment const& variables)
{
    TCLAP::CmdLine line{description_, ' ', version_};
    line.setExceptionHandling(false);
    std::vector<std::unique_ptr<TCLAP::Arg>> flags;
    for (auto const& one : settings_) {
        auto const help =
            one.kind == form::positional
                ? one.help
                : one.help + " [" + variable_of(one.name) +
                      (one.fallback.empty() ? ""
                                            : "; default " + one.fallback) +
                      "]";
        switch (one.kind) {
        case form::text:
            flags.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
                "", one.name, help, false, "", one.type));
            break;
        case form::list:
            flags.push_back(std::make_unique<TCLAP::MultiArg<std::string>>(
                "", one.name, help, false, one.type));
            break;
        case form::toggle:
            flags.push_back(
                std::make_unique<TCLAP::SwitchArg>("", one.name, help));
            break;
        case form::positional:
            flags.push_back(
                std::make_unique<TCLAP::UnlabeledValueArg<std::string>>(
                    one.name, help, one.required, "", one.type));
            break;
        }
        line.add(*flags.back());
    }
    try {
        line.parse(arguments);
    } catch (TCLAP::ExitException const&) {
        return next::stop;
    } catch (TCLAP::ArgException const& failure) {
        return error{failure.argId(), failure.error()};
    }
    for (std::size_t i = 0; i < settings_.size(); ++i) {
        auto const& one = settings_[i];
        std::vector<std::string> values;
        std::string source = "--" + one.name;
        if (flags[i]->isSet()) {
            if (one.kind == form::toggle) {
                values = {"true"};
            } else if (one.kind == form::list) {
                values = dynamic_cast<TCLAP::MultiArg<std::string>&>(*flags[i])
                             .getValue();
            } else if (one.kind == form::positional) {
                values = {dynamic_cast<TCLAP::UnlabeledValueArg<std::string>&>(
                              *flags[i])
                              .getValue()};
            } else {
                values = {dynamic_cast<TCLAP::ValueArg<std::string>&>(*flags[i])
                              .getValue()};
            }
        } else if (one.kind != form::positional) {
            source = variable_of(one.name);
            auto const* const given = variables(source.c_str());
            if (given == nullptr) {
                continue;
            }
            values = one.kind == form::list ? list_items(given)
                                            : std::vector<std::string>{given};
        }
        if (values.empty()) {
            continue;
        }
        auto const stored = store(one, values, source);
        if (failed(stored)) {
            return error_of(stored);
        }
    }
    return next::go_on;
}

} // namespace medlarstall::settings
