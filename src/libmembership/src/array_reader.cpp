#include "array_reader.hpp"

namespace medlarstall::membership {

using nlohmann::json;

namespace {

json const null_value;

bool is_unsigned(json const& value)
{
    return value.is_number_unsigned() ||
           (value.is_number_integer() && value.get<std::int64_t>() >= 0);
}

} // namespace

array_reader::array_reader(json const& value, std::size_t size)
    : value_{value}, ok_{value.is_array() && value.size() == size}
{}

json const& array_reader::next_item()
{
    if (!ok_ || next_index_ >= value_.size()) {
        ok_ = false;
        return null_value;
    }
    return value_[next_index_++];
}

std::string array_reader::text(std::size_t max_size)
{
    auto const& value = next_item();
    ok_ = ok_ && value.is_string() &&
          value.get_ref<std::string const&>().size() <= max_size;
    return ok_ ? value.get<std::string>() : std::string{};
}

std::uint64_t array_reader::number()
{
    auto const& value = next_item();
    ok_ = ok_ && is_unsigned(value);
    return ok_ ? value.get<std::uint64_t>() : 0;
}

std::int64_t array_reader::signed_number()
{
    auto const& value = next_item();
    ok_ = ok_ && value.is_number_integer();
    return ok_ ? value.get<std::int64_t>() : 0;
}

bool array_reader::boolean()
{
    auto const& value = next_item();
    ok_ = ok_ && value.is_boolean();
    return ok_ && value.get<bool>();
}

std::vector<std::string> array_reader::text_list(std::size_t max_items)
{
    return list<std::string>(max_items, [](json const& value) {
        return value.is_string()
                   ? result<std::string>{value.get<std::string>()}
                   : result<std::string>{error{"text", "must be a string"}};
    });
}

error array_reader::make_error(char const* message_name) const
{
    return {message_name, "item " + std::to_string(next_index_) +
                              " is missing or has the wrong type"};
}

} // namespace medlarstall::membership
