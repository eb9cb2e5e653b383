#ifndef MEDLARSTALL_STANDINS_SWITCH_READER_HPP
#define MEDLARSTALL_STANDINS_SWITCH_READER_HPP

#include <medlarstall/support/result.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <set>
#include <string>

namespace medlarstall::standins {

/// Reads the members of one JSON object of switches and finds unknown ones.
class switch_reader
{
public:
    explicit switch_reader(nlohmann::json const& object) : object_{object} {}

    /// \param key name of the member
    /// \param value set if the member is present
    template<class Value>
    void read(std::string const& key, Value& value)
    {
        known_.insert(key);
        auto const found = object_.find(key);
        if (found == object_.end()) {
            return;
        }
        try {
            value = found->get<Value>();
        } catch (nlohmann::json::exception const& failure) {
            failure_ = {key, failure.what()};
        }
    }

    /// \param key name of the member, in milliseconds
    /// \param value set if the member is present
    void read_ms(std::string const& key, std::chrono::milliseconds& value)
    {
        auto count = value.count();
        read(key, count);
        value = std::chrono::milliseconds{count};
    }

    /// \return an error that names an unknown or ill-typed member
    [[nodiscard]] status finish() const
    {
        if (!object_.is_object()) {
            return error{"switches", "not a JSON object"};
        }
        for (auto const& [key, value] : object_.items()) {
            if (!known_.contains(key)) {
                return error{key, "unknown switch"};
            }
        }
        if (!failure_.field.empty()) {
            return failure_;
        }
        return success();
    }

private:
    nlohmann::json const& object_;
    std::set<std::string> known_;
    error failure_;
};

} // namespace medlarstall::standins

#endif
