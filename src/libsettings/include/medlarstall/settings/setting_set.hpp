#ifndef MEDLARSTALL_SETTINGS_SETTING_SET_HPP
#define MEDLARSTALL_SETTINGS_SETTING_SET_HPP

#include <medlarstall/support/result.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace medlarstall::settings {

/// Function that returns the value of the environment variable of a name, or
/// nullptr if the variable is not set.
using environment = std::function<char const*(char const*)>;

/// What the program should do once its settings have been read.
enum class startup_action
{
    proceed,
    stop ///< Exit with success, because help or the version was printed.
};

/// The settings of a program. Each setting can be given as a command-line flag
/// or as an environment variable. A flag takes precedence over its variable,
/// and a variable over the default. Every value is validated, and an error
/// names the setting, the rejected value and what is allowed.
///
/// The targets passed to the add functions must outlive the set. Their values
/// at that time are the defaults, and read() overwrites them.
class setting_set
{
public:
    /// \param program name of the program
    /// \param description what the program does, printed by --help
    /// \param version version of the program, printed by --version
    setting_set(std::string program, std::string description,
                std::string version);

    /// Adds a setting that holds any text.
    /// \param name name of the flag without the leading dashes; the variable is
    ///     MEDLARSTALL_ and the name in upper case with underscores
    /// \param help what the setting means, printed by --help
    /// \param target default value; read() overwrites it with a given value
    void add_text(std::string name, std::string help, std::string& target);

    /// Adds a setting that holds one of several texts.
    /// \param allowed the texts that are allowed
    void add_choice(std::string name, std::string help,
                    std::vector<std::string> allowed, std::string& target);

    /// Adds a setting that holds a list of texts. The flag may be repeated, and
    /// the variable holds values separated by commas.
    void add_list(std::string name, std::string help,
                  std::vector<std::string>& target);

    /// Adds a setting that holds a whole number.
    /// \param min smallest value that is allowed
    /// \param max largest value that is allowed
    void add_number(std::string name, std::string help, std::uint64_t min,
                    std::uint64_t max, std::uint64_t& target);

    /// Adds a setting that holds a whole number of another type than uint64_t.
    /// Both bounds must be representable in that type.
    template<class Integer>
    void add_number(std::string name, std::string help, std::uint64_t min,
                    std::uint64_t max, Integer& target)
    {
        add_bounded_integer(std::move(name), std::move(help), min, max,
                            static_cast<std::uint64_t>(target),
                            [&target](std::uint64_t value) {
                                target = static_cast<Integer>(value);
                            });
    }

    /// Adds a setting that holds a duration in milliseconds. Its name must
    /// include the suffix "-ms".
    void add_duration(std::string name, std::string help,
                      std::chrono::milliseconds min,
                      std::chrono::milliseconds max,
                      std::chrono::milliseconds& target);

    /// Adds a Boolean setting. The flag has no value and sets it to true; the
    /// variable is 1, true, 0 or false.
    void add_switch(std::string name, std::string help, bool& target);

    /// Adds a positional argument, which has no environment variable.
    /// \param name name of the argument, printed by --help
    /// \param required whether read() fails if the argument is missing
    void add_positional(std::string name, std::string help, bool required,
                        std::string& target);

    /// Reads flags and environment variables into the targets.
    /// \param arguments command line, including the name of the program
    /// \param variables environment of the process
    /// \return what the program should do, or an error that names the setting,
    ///     the rejected value and what is allowed
    [[nodiscard]] result<startup_action>
    read(std::vector<std::string> arguments, environment const& variables);

    /// Returns the environment variable that belongs to a flag.
    /// \param name name of the flag without the leading dashes
    /// \return name of the variable, for example MEDLARSTALL_LOG_LEVEL
    [[nodiscard]] static std::string
    environment_variable_of(std::string const& name);

private:
    enum class setting_kind
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
        std::string default_value;
        setting_kind kind = setting_kind::text;
        bool required = false;
        /// Validates the values and stores them in the target. Returns an empty
        /// text, or what is allowed if a value is invalid.
        std::function<std::string(std::vector<std::string> const&)> store;
    };

    void add_bounded_integer(std::string name, std::string help,
                             std::uint64_t min, std::uint64_t max,
                             std::uint64_t default_value,
                             std::function<void(std::uint64_t)> store);
    /// Stores the values of one setting.
    /// \param source flag or variable that the values come from, for errors
    /// \return an error if a value is invalid
    [[nodiscard]] status store_values(setting const& definition,
                                      std::vector<std::string> const& values,
                                      std::string const& source) const;

    std::string program_;
    std::string description_;
    std::string version_;
    std::vector<setting> settings_;
};

} // namespace medlarstall::settings

#endif
