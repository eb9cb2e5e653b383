#include <medlarstall/platform_standins/store_standin.hpp>

#include <platform/store_client.hpp>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

namespace medlarstall::platform_standins {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds read_poll{10};
constexpr std::size_t length_bytes = 4;

std::string to_base64(std::string const& bytes)
{
    namespace iterators = boost::archive::iterators;
    using encoder = iterators::base64_from_binary<
        iterators::transform_width<std::string::const_iterator, 6, 8>>;
    std::string text{encoder{bytes.begin()}, encoder{bytes.end()}};
    return text.append((4 - text.size() % 4) % 4, '=');
}

std::string big_endian(std::uint64_t value)
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes += static_cast<char>(value >> shift);
    }
    return bytes;
}

/// Decodes a value of a query as servers do: a plus sign is a blank, and a
/// percent sign begins the two hexadecimal digits of a byte.
std::string decode_query_value(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string bytes;
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned char byte = 0;
        std::string const digits{text.substr(at + 1, 2)};
        auto const is_escape =
            text[at] == '%' && digits.size() == 2 &&
            std::from_chars(digits.data(), digits.data() + 2, byte, hexadecimal)
                    .ptr == digits.data() + 2;
        bytes += is_escape         ? static_cast<char>(byte)
                 : text[at] == '+' ? ' '
                                   : text[at];
        at += is_escape ? 2 : 0;
    }
    return bytes;
}

http::response json_answer(int status, json const& value)
{
    http::response answer{{status, {}, {}}, value.dump()};
    answer.head.headers.add("Content-Type", "application/json");
    return answer;
}

} // namespace

store_standin::store_standin(asio::io_context& context,
                             asio::ip::tcp::endpoint const& address)
    : context_{context},
      listener_{
          context,
          {[this](auto caller) { on_request(std::move(caller), {}); }, {}},
          256}
{
    std::ignore = listener_.listen(address);
}

asio::ip::tcp::endpoint store_standin::add_address()
{
    auto const added = std::make_shared<entrance>();
    // The listener must not keep the entrance that owns it.
    std::weak_ptr<entrance const> const from = added;
    added->listener = std::make_unique<http::http_listener>(
        context_,
        http::server_events{[this, from](auto caller) {
                                on_request(std::move(caller), from.lock());
                            },
                            {}},
        256);
    std::ignore =
        added->listener->listen({asio::ip::make_address("127.0.0.1"), 0});
    entrances_.push_back(added);
    return added->listener->address();
}

void store_standin::silence(asio::ip::tcp::endpoint const& address)
{
    for (auto const& item : entrances_) {
        item->silent = item->silent || item->listener->address() == address;
    }
}

void store_standin::answer_again(asio::ip::tcp::endpoint const& address)
{
    for (auto const& item : entrances_) {
        item->silent = item->silent && item->listener->address() != address;
    }
}

asio::ip::tcp::endpoint store_standin::address() const
{
    return listener_.address();
}

void store_standin::put(std::string const& topic, std::string const& key,
                        std::optional<std::string> value)
{
    topics_[topic].records.push_back({key, std::move(value)});
}

std::map<std::string, std::size_t>
store_standin::newest_offsets(topic_log const& log) const
{
    std::map<std::string, std::size_t> newest;
    for (std::size_t at = 0; at < log.records.size(); ++at) {
        newest[log.records[at].key] = at;
    }
    return newest;
}

void store_standin::compact(std::string const& topic)
{
    auto& log = topics_[topic];
    log.first = log.records.size();
}

void store_standin::return_from_copy()
{
    topics_ = copy_;
    ++era_;
}

void store_standin::respond(http::exchange& caller, http::response answer) const
{
    answer.head.headers.add("Store-Era", std::to_string(era_));
    caller.respond(answer);
}

std::optional<std::string> store_standin::newest(std::string const& topic,
                                                 std::string const& key) const
{
    auto const found = topics_.find(topic);
    if (found == topics_.end()) {
        return std::nullopt;
    }
    auto const offsets = newest_offsets(found->second);
    auto const at = offsets.find(key);
    return at == offsets.end() ? std::nullopt
                               : found->second.records[at->second].value;
}

void store_standin::on_request(std::unique_ptr<http::exchange> caller,
                               std::shared_ptr<entrance const> const& from)
{
    ++calls_;
    if (mood_ == store_mood::silent || (from && from->silent)) {
        unanswered_.push_back(std::move(caller));
        return;
    }
    if (mood_ == store_mood::turning_away) {
        respond(*caller, json_answer(503, json::object()));
        return;
    }
    auto const target = caller->head().target;
    auto const path = http::path_of(target);
    auto const topic = std::string{http::query_value(target, "topic")};
    if (path == "/api/log-newest") {
        answer_newest(*caller, topics_[topic]);
    } else if (path == "/api/log-read") {
        auto const waits =
            http::query_number(target, "waitMs") / read_poll.count();
        answer_read(std::move(caller), from, topic, static_cast<int>(waits));
    } else if (path == "/api/log-append") {
        answer_append(*caller, topic);
    } else {
        respond(*caller, json_answer(404, json::object()));
    }
}

void store_standin::answer_newest(http::exchange& caller,
                                  topic_log const& log) const
{
    auto const after =
        decode_query_value(http::query_value(caller.head().target, "after"));
    auto items = json::array();
    auto truncated = false;
    for (auto const& [key, at] : newest_offsets(log)) {
        auto const& value = log.records[at].value;
        auto const is_before =
            !repeats_first_page_ && !after.empty() && key <= after;
        if (!value || is_before) {
            continue;
        }
        truncated = items.size() == page_size_;
        if (truncated) {
            break;
        }
        items.push_back(
            {{"key", key}, {"value", to_base64(*value)}, {"offset", at}});
    }
    respond(caller, json_answer(200, {{"items", items},
                                      {"truncated", truncated},
                                      {"endOffset", log.records.size()}}));
}

void store_standin::answer_read(std::shared_ptr<http::exchange> const& caller,
                                std::shared_ptr<entrance const> const& from,
                                std::string const& topic, int waits_left)
{
    if (from && from->silent) {
        unanswered_.push_back(caller);
        return;
    }
    auto const& log = topics_[topic];
    auto const begin = http::query_number(caller->head().target, "from");
    if (begin < log.first || begin > log.records.size()) {
        respond(*caller, json_answer(410, {{"firstOffset", log.first}}));
        return;
    }
    if (begin >= log.records.size() && waits_left > 0) {
        auto timer = std::make_shared<asio::steady_timer>(context_, read_poll);
        timer->async_wait([this, timer, caller, from, topic,
                           waits_left](std::error_code cancelled) {
            if (!cancelled) {
                answer_read(caller, from, topic, waits_left - 1);
            }
        });
        return;
    }
    auto body = big_endian(log.records.size()) + big_endian(log.first);
    for (auto at = begin; at < log.records.size(); ++at) {
        auto const& item = log.records[at];
        body += platform::encode_record({item.key, item.value, at});
    }
    respond(*caller, {{200, {}, {}}, body});
}

void store_standin::answer_append(http::exchange& caller,
                                  std::string const& topic)
{
    auto const expected = http::query_value(caller.head().target, "at");
    auto const end_before = topics_[topic].records.size();
    if (!expected.empty() && expected != std::to_string(end_before)) {
        respond(caller, json_answer(412, {{"endOffset", end_before}}));
        return;
    }
    auto const& body = caller.body();
    auto const key_length = static_cast<unsigned char>(body.at(length_bytes));
    auto const key = body.substr(length_bytes + 1, key_length);
    auto const value = body.substr(length_bytes + 1 + key_length);
    put(topic, key, value.empty() ? std::nullopt : std::optional{value});
    auto const end = topics_[topic].records.size();
    respond(caller,
            json_answer(200, {{"offset", end - 1}, {"endOffset", end}}));
}

} // namespace medlarstall::platform_standins
