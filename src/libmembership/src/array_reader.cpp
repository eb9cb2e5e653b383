#include "array_reader.hpp"

namespace medlarstall::membership {

using nlohmann::json;

namespace {

json const nothing;

bool is_whole(json const& value)
{
    return value.is_number_unsigned() ||
           (value.is_number_integer() && value.get<std::int64_t>() >= 0);
}

} // namespace

array_reader::array_reader(json const& value, std::size_t size)
    : value_{value}, sound_{value.is_array() && value.size() == size}
{}

json const& array_reader::item()
{
    if (!sound_ || next_ >= value_.size()) {
        sound_ = false;
        return nothing;
    }
    return value_[next_++];
}

std::string array_reader::text(std::size_t most)
{
    auto const& value = item();
    sound_ = sound_ && value.is_string() &&
             value.get_ref<std::string const&>().size() <= most;
    return sound_ ? value.get<std::string>() : std::string{};
}

std::uint64_t array_reader::number()
{
    auto const& value = item();
    sound_ = sound_ && is_whole(value);
    return sound_ ? value.get<std::uint64_t>() : 0;
}

std::int64_t array_reader::signed_number()
{
    auto const& value = item();
    sound_ = sound_ && value.is_number_integer();
    return sound_ ? value.get<std::int64_t>() : 0;
}

bool array_reader::boolean()
{
    auto const& value = item();
    sound_ = sound_ && value.is_boolean();
    return sound_ && value.get<bool>();
}

std::vector<std::string> array_reader::texts(std::size_t most)
{
    return list<std::string>(most, [](json const& value) {
        return value.is_string()
                   ? result<std::string>{value.get<std::string>()}
                   : result<std::string>{error{"text", "must be a string"}};
    });
}

error array_reader::failure(char const* what) const
{
    return {what, "item " + std::to_string(next_) +
                      " is missing or has the wrong type"};
}

} // namespace medlarstall::membership
