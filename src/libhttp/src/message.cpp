#include <medlarstall/http/message.hpp>

#include <medlarstall/support/split.hpp>

#include <http_parser.h>

#include <array>
#include <charconv>

namespace medlarstall::http {

namespace {

/// \return true if a byte stands for itself everywhere in a target
bool is_unreserved(unsigned char byte)
{
    constexpr std::string_view marks = "-._~";
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
           (byte >= 'A' && byte <= 'Z') ||
           marks.find(static_cast<char>(byte)) != std::string_view::npos;
}

/// \return true unless a byte would end the target of a request
bool is_in_target(unsigned char byte)
{
    constexpr unsigned char blank = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    return byte > blank && byte != delete_character;
}

/// Escapes the bytes of a text that a function does not accept.
template<class Accept>
std::string escape(std::string_view text, Accept const& accept)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned digit_bits = 4;
    constexpr unsigned digit_mask = 0xf;
    std::string escaped;
    escaped.reserve(text.size());
    for (auto const character : text) {
        auto const byte = static_cast<unsigned char>(character);
        if (accept(byte)) {
            escaped += character;
        } else {
            escaped += '%';
            escaped += digits[byte >> digit_bits];
            escaped += digits[byte & digit_mask];
        }
    }
    return escaped;
}

} // namespace

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view query_value(std::string_view target, std::string_view name)
{
    auto const question_mark = target.find('?');
    if (question_mark == std::string_view::npos) {
        return {};
    }
    for (auto const parameter : split(target.substr(question_mark + 1), '&')) {
        auto const equals = parameter.find('=');
        if (equals != std::string_view::npos &&
            parameter.substr(0, equals) == name) {
            return parameter.substr(equals + 1);
        }
    }
    return {};
}

std::string escape_query_value(std::string_view value)
{
    return escape(value, is_unreserved);
}

std::uint64_t query_number(std::string_view target, std::string_view name)
{
    auto const text = query_value(target, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string_view reason_phrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

std::string serialize_request(request_head const& head, std::string_view body)
{
    return serialize_request_head(head, body.size()).append(body);
}

std::string serialize_request_head(request_head const& head, std::size_t length)
{
    // A target may hold a value of another program, such as a path of the
    // configuration.
    std::string text =
        head.method + ' ' + escape(head.target, is_in_target) + " HTTP/1.1\r\n";
    head.headers.append_to(text);
    auto const body_optional = head.method == "GET" || head.method == "HEAD" ||
                               head.method == "DELETE";
    if (length > 0 || !body_optional) {
        text += "Content-Length: " + std::to_string(length) + "\r\n";
    }
    return text.append("\r\n");
}

std::string serialize_response_head(response_head const& head,
                                    body_framing framing, std::size_t length,
                                    bool close)
{
    auto text = "HTTP/1.1 " + std::to_string(head.status) + ' ' +
                (head.reason.empty() ? std::string{reason_phrase(head.status)}
                                     : head.reason) +
                "\r\n";
    head.headers.append_to(text);
    if (framing == body_framing::length) {
        text += "Content-Length: " + std::to_string(length) + "\r\n";
    }
    if (framing == body_framing::chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    if (close) {
        text += "Connection: close\r\n";
    }
    return text += "\r\n";
}

std::string encode_chunk(std::string_view bytes)
{
    std::array<char, 16> size{};
    auto const end = std::to_chars(size.begin(), size.end(), bytes.size(), 16);
    std::string text{size.data(), end.ptr};
    return text.append("\r\n").append(bytes).append("\r\n");
}

} // namespace medlarstall::http
