#ifndef MEDLARSTALL_SETTINGS_SETTING_SET_HPP
#define MEDLARSTALL_SETTINGS_SETTING_SET_HPP

#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace medlarstall::settings {

/// Looks up an environment variable; null if it is not set.
using environment = std::function<char const*(char const*)>;

/// What to do after the settings were read.
enum class next
{
    go_on,
    stop ///< Help or the version was printed.
};

/// The settings of a program: each is a flag and an environment variable. A
/// flag goes before its variable, and that before the default. Each value is
/// checked, and an error names the setting, its value and what is allowed.
class setting_set
{
public:
    /// \param program name of the program
    /// \param description what it does, for --help
    /// \param version for --version
    setting_set(std::string program, std::string description,
                std::string version);

    /// Adds a text.
    /// \param name flag without the dashes; the variable is MEDLARSTALL_NAME
    /// \param help what it sets
    /// \param target default value, and where the value goes
    void add(std::string name, std::string help, std::string& target);

    /// Adds a text that must be one of a few.
    /// \param allowed values that are allowed
    void add_choice(std::string name, std::string help,
                    std::vector<std::string> allowed, std::string& target);

    /// Adds a list of texts; the flag may be repeated, the variable holds
    /// values separated by commas.
    void add_list(std::string name, std::string help,
                  std::vector<std::string>& target);

    /// Adds a whole number.
    /// \param least smallest value allowed
    /// \param most largest value allowed
    void add_number(std::string name, std::string help, std::uint64_t least,
                    std::uint64_t most, std::uint64_t& target);

    /// Adds a whole number that is stored in a smaller type.
    template<class Integer>
    void add_number(std::string name, std::string help, std::uint64_t least,
                    std::uint64_t most, Integer& target)
    {
        add_checked(std::move(name), std::move(help), least, most,
                    static_cast<std::uint64_t>(target),
                    [&target](std::uint64_t value) {
                        target = static_cast<Integer>(value);
                    });
    }

    /// Adds a time span in milliseconds; "-ms" is part of the name.
    void add_span(std::string name, std::string help,
                  std::chrono::milliseconds least,
                  std::chrono::milliseconds most,
                  std::chrono::milliseconds& target);

    /// Adds a switch, off unless it is given or its variable is 1 or true.
    void add_switch(std::string name, std::string help, bool& target);

    /// Adds a text without a flag name.
    /// \param name name for the help text
    /// \param required true if it must be given
    void add_positional(std::string name, std::string help, bool required,
                        std::string& target);

    /// Reads flags and variables into the targets.
    /// \param arguments command line with the program's name
    /// \param variables the environment
    /// \return what to do next, or an error with setting, value and range
    [[nodiscard]] result<next> read(std::vector<std::string> arguments,
                                    environment const& variables);

    /// \param name name of a flag
    /// \return the environment variable of the same setting
    [[nodiscard]] static std::string variable_of(std::string const& name);

private:
    enum class form
    {
        text,
        list,
        toggle,
        positional
    };

    struct setting
    {
        std::string name;
        std::string help;
        std::string type;
        std::string fallback;
        form kind = form::text;
        bool required = false;
        /// Checks and stores the values; an empty text means success.
        std::function<std::string(std::vector<std::string> const&)> store;
    };

    void add_checked(std::string name, std::string help, std::uint64_t least,
                     std::uint64_t most, std::uint64_t fallback,
                     std::function<void(std::uint64_t)> store);
    [[nodiscard]] status store(setting const& one,
                               std::vector<std::string> const& values,
                               std::string const& source) const;

    std::string program_;
    std::string description_;
    std::string version_;
    std::vector<setting> settings_;
};

} // namespace medlarstall::settings

#endif
