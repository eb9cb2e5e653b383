#include <medlarstall/http/message_parser.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace medlarstall::http {

namespace {

message_parser& self(http_parser* parser)
{
    return *static_cast<message_parser*>(parser->data);
}

/// The parser lets some names pass that other readers take otherwise.
bool is_token(std::string_view name)
{
    static constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::ranges::all_of(name, [](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
               others.find(letter) != std::string_view::npos;
    });
}

bool has_control(std::string_view value)
{
    return std::ranges::any_of(value, [](char letter) {
        auto const code = static_cast<unsigned char>(letter);
        constexpr unsigned char deletion = 127;
        return (code < ' ' && letter != '\t') || code == deletion;
    });
}

bool may_have_body(int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status / 100 != 1 && status != no_content && status != not_modified;
}

/// Of the status line; counted for answers that come before the final one.
constexpr std::size_t least_head_bytes = 16;

/// Return values of http_parser's callback at the end of a head.
constexpr int read_body = 0;
constexpr int skip_body = 1;
constexpr int stop_parsing = -1;

} // namespace

http_parser_settings const& message_parser::callbacks()
{
    static auto const table = [] {
        http_parser_settings made{};
        http_parser_settings_init(&made);
        made.on_url = [](http_parser* parser, char const* at, std::size_t n) {
            auto& owner = self(parser);
            return owner.on_text(owner.request_.target, at, n);
        };
        made.on_status = [](http_parser* parser, char const* at,
                            std::size_t n) {
            auto& owner = self(parser);
            return owner.on_text(owner.response_.reason, at, n);
        };
        made.on_header_field = [](http_parser* parser, char const* at,
                                  std::size_t n) {
            return self(parser).on_header_field(at, n);
        };
        made.on_header_value = [](http_parser* parser, char const* at,
                                  std::size_t n) {
            return self(parser).on_header_value(at, n);
        };
        made.on_headers_complete = [](http_parser* parser) {
            return self(parser).on_head();
        };
        made.on_body = [](http_parser* parser, char const* at, std::size_t n) {
            return self(parser).on_body(at, n);
        };
        made.on_message_complete = [](http_parser* parser) {
            return self(parser).on_complete();
        };
        return made;
    }();
    return table;
}

message_parser::message_parser(message_kind kind, parser_limits limits)
    : kind_{kind}
{
    reset(limits);
}

void message_parser::reset(parser_limits limits)
{
    http_parser_init(&parser_, kind_ == message_kind::request ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
    parser_.data = this;
    limits_ = limits;
    request_ = {};
    response_ = {};
    pending_ = {};
    body_.clear();
    head_bytes_ = 0;
    body_bytes_ = 0;
    framing_ = body_framing::none;
    failure_ = parse_failure::none;
    value_began_ = bodiless_ = started_ = false;
    has_head_ = complete_ = keeps_alive_ = false;
}

std::size_t message_parser::feed(std::string_view bytes)
{
    if (bytes.empty() || complete_ || failure_ != parse_failure::none) {
        return 0;
    }
    started_ = true;
    auto const used =
        http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    if (complete_) {
        return used;
    }
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
        fail(parse_failure::malformed);
    }
    if (!has_head_ &&
        pending_.name.size() + pending_.value.size() > limits_.head_bytes) {
        fail(parse_failure::head_too_large);
    }
    return used;
}

void message_parser::finish()
{
    if (complete_ || failure_ != parse_failure::none) {
        return;
    }
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    if (!complete_) {
        fail(parse_failure::malformed);
    }
}

std::string message_parser::take_body()
{
    return std::exchange(body_, {});
}

int message_parser::fail(parse_failure reason)
{
    if (failure_ == parse_failure::none) {
        failure_ = reason;
    }
    return stop_parsing;
}

header_list& message_parser::headers()
{
    return kind_ == message_kind::request ? request_.headers
                                          : response_.headers;
}

int message_parser::on_text(std::string& text, char const* at,
                            std::size_t length)
{
    text.append(at, length);
    return text.size() > limits_.head_bytes
               ? fail(parse_failure::head_too_large)
               : 0;
}

int message_parser::on_header_field(char const* at, std::size_t length)
{
    if (value_began_ && !store_header()) {
        return stop_parsing;
    }
    pending_.name.append(at, length);
    return 0;
}

int message_parser::on_header_value(char const* at, std::size_t length)
{
    value_began_ = true;
    pending_.value.append(at, length);
    return 0;
}

bool message_parser::store_header()
{
    constexpr std::size_t separators = 4; // ": " and the end of the line.
    head_bytes_ += pending_.name.size() + pending_.value.size() + separators;
    if (head_bytes_ > limits_.head_bytes) {
        fail(parse_failure::head_too_large);
        return false;
    }
    if (!is_token(pending_.name) || has_control(pending_.value)) {
        fail(parse_failure::malformed);
        return false;
    }
    headers().add(std::move(pending_.name), std::move(pending_.value));
    pending_ = {};
    value_began_ = false;
    return true;
}

int message_parser::on_head()
{
    if (has_head_) {
        return read_body;
    }
    if (!pending_.name.empty() && !store_header()) {
        return stop_parsing;
    }
    has_head_ = true;
    keeps_alive_ = http_should_keep_alive(&parser_) != 0;
    if (kind_ == message_kind::request) {
        request_.method =
            http_method_str(static_cast<http_method>(parser_.method));
        parser_.upgrade = 0;
    } else {
        response_.status = static_cast<int>(parser_.status_code);
        parser_.upgrade = 0;
    }
    auto const chunked = (parser_.flags & F_CHUNKED) != 0;
    auto const sized = (parser_.flags & F_CONTENTLENGTH) != 0;
    if (chunked) {
        framing_ = body_framing::chunked;
    } else if (sized) {
        framing_ = body_framing::length;
        if (parser_.content_length > limits_.body_bytes) {
            return fail(parse_failure::body_too_large);
        }
    } else if (kind_ == message_kind::response && !bodiless_ &&
               may_have_body(response_.status)) {
        framing_ = body_framing::until_close;
    }
    return bodiless_ ? skip_body : read_body;
}

int message_parser::on_body(char const* at, std::size_t length)
{
    body_bytes_ += length;
    if (body_bytes_ > limits_.body_bytes) {
        return fail(parse_failure::body_too_large);
    }
    body_.append(at, length);
    return 0;
}

int message_parser::on_complete()
{
    auto const interim =
        kind_ == message_kind::response && response_.status / 100 == 1;
    if (interim) {
        head_bytes_ += least_head_bytes;
        if (head_bytes_ > limits_.head_bytes) {
            return fail(parse_failure::head_too_large);
        }
        interim_.push_back(std::exchange(response_, {}));
        has_head_ = false;
        framing_ = body_framing::none;
        return 0;
    }
    complete_ = true;
    http_parser_pause(&parser_, 1);
    return 0;
}

} // namespace medlarstall::http
