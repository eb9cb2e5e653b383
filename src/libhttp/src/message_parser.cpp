#include <medlarstall/http/message_parser.hpp>

#include <medlarstall/http/memory_account.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace medlarstall::http {

namespace {

/// \return the parser object that owns the state of http_parser
message_parser& owner_of(http_parser* parser)
{
    return *static_cast<message_parser*>(parser->data);
}

/// Checks a field name against the token rule of HTTP. http_parser accepts some
/// names that other HTTP implementations interpret differently.
bool is_token(std::string_view name)
{
    static constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::ranges::all_of(name, [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
               punctuation.find(character) != std::string_view::npos;
    });
}

bool has_control_character(std::string_view value)
{
    return std::ranges::any_of(value, [](char character) {
        auto const code = static_cast<unsigned char>(character);
        constexpr unsigned char delete_code = 127;
        return (code < ' ' && character != '\t') || code == delete_code;
    });
}

constexpr int no_content = 204;
constexpr int not_modified = 304;
constexpr int switching_protocols = 101;
constexpr int min_status = 100;
constexpr int max_status = 599;

bool may_have_body(int status)
{
    return status / 100 != 1 && status != no_content && status != not_modified;
}

/// Bytes counted against the head limit for the status line of each interim
/// response, so that their number is limited too.
constexpr std::size_t interim_status_line_bytes = 16;

/// Values that http_parser expects from the callback at the end of a head.
constexpr int read_body = 0;
constexpr int skip_body = 1;
constexpr int stop_parsing = -1;

} // namespace

http_parser_settings const& message_parser::callbacks()
{
    static auto const table = [] {
        http_parser_settings settings{};
        http_parser_settings_init(&settings);
        settings.on_url = [](http_parser* parser, char const* data,
                             std::size_t length) {
            auto& self = owner_of(parser);
            return self.on_start_line_text(self.request_.target, data, length);
        };
        settings.on_status = [](http_parser* parser, char const* data,
                                std::size_t length) {
            auto& self = owner_of(parser);
            return self.on_start_line_text(self.response_.reason, data, length);
        };
        settings.on_header_field = [](http_parser* parser, char const* data,
                                      std::size_t length) {
            return owner_of(parser).on_header_field(data, length);
        };
        settings.on_header_value = [](http_parser* parser, char const* data,
                                      std::size_t length) {
            return owner_of(parser).on_header_value(data, length);
        };
        settings.on_headers_complete = [](http_parser* parser) {
            return owner_of(parser).on_head();
        };
        settings.on_body = [](http_parser* parser, char const* data,
                              std::size_t length) {
            return owner_of(parser).on_body(data, length);
        };
        settings.on_chunk_header = [](http_parser* parser) {
            return owner_of(parser).on_chunk_size(parser->content_length);
        };
        settings.on_message_complete = [](http_parser* parser) {
            return owner_of(parser).on_complete();
        };
        return settings;
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
    release_text(request_.target);
    request_ = {};
    release_text(response_.reason);
    response_ = {};
    release_text(pending_header_.name);
    release_text(pending_header_.value);
    body_.clear();
    head_bytes_ = 0;
    body_bytes_ = 0;
    announced_bytes_ = 0;
    framing_ = body_framing::none;
    failure_ = parse_failure::none;
    value_started_ = no_body_ = started_ = false;
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
        pending_header_.name.size() + pending_header_.value.size() >
            limits_.max_head_bytes) {
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

int message_parser::on_start_line_text(std::string& text, char const* data,
                                       std::size_t length)
{
    text.append(data, length);
    return text.size() >
                   std::min(limits_.max_head_bytes, limits_.max_target_bytes)
               ? fail(parse_failure::head_too_large)
               : 0;
}

int message_parser::on_header_field(char const* data, std::size_t length)
{
    if (value_started_ && !store_header()) {
        return stop_parsing;
    }
    pending_header_.name.append(data, length);
    return 0;
}

int message_parser::on_header_value(char const* data, std::size_t length)
{
    value_started_ = true;
    pending_header_.value.append(data, length);
    return 0;
}

bool message_parser::store_header()
{
    // The colon and CRLF. Blanks need not be sent and are not counted.
    constexpr std::size_t separator_bytes = 3;
    head_bytes_ += pending_header_.name.size() + pending_header_.value.size() +
                   separator_bytes;
    if (head_bytes_ > limits_.max_head_bytes ||
        pending_header_.name.size() > limits_.max_field_bytes ||
        pending_header_.value.size() > limits_.max_field_bytes ||
        headers().entries().size() >= limits_.max_fields) {
        fail(parse_failure::head_too_large);
        return false;
    }
    if (!is_token(pending_header_.name) ||
        has_control_character(pending_header_.value)) {
        fail(parse_failure::malformed);
        return false;
    }
    headers().add(std::move(pending_header_.name),
                  std::move(pending_header_.value));
    pending_header_ = {};
    value_started_ = false;
    return true;
}

int message_parser::on_head()
{
    if (has_head_) {
        return read_body;
    }
    if (!pending_header_.name.empty() && !store_header()) {
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
        if (!is_valid_response()) {
            return fail(parse_failure::malformed);
        }
    }
    auto const chunked = (parser_.flags & F_CHUNKED) != 0;
    auto const has_length = (parser_.flags & F_CONTENTLENGTH) != 0;
    if (chunked) {
        framing_ = body_framing::chunked;
    } else if (has_length) {
        framing_ = body_framing::length;
        announced_bytes_ = parser_.content_length;
        if (parser_.content_length > limits_.max_body_bytes) {
            return fail(parse_failure::body_too_large);
        }
    } else if (kind_ == message_kind::response && !no_body_ &&
               may_have_body(response_.status)) {
        framing_ = body_framing::until_close;
    }
    // http_parser reads a body of the stated length after any status.
    auto const bodiless = kind_ == message_kind::response &&
                          response_.status / 100 != 1 &&
                          !may_have_body(response_.status);
    return no_body_ || bodiless ? skip_body : read_body;
}

/// Rejects a chunk at its size, as the announced length of a body is.
int message_parser::on_chunk_size(std::uint64_t length)
{
    auto const left =
        limits_.max_body_bytes - std::min(body_bytes_, limits_.max_body_bytes);
    return length > left ? fail(parse_failure::body_too_large) : 0;
}

int message_parser::on_body(char const* data, std::size_t length)
{
    body_bytes_ += length;
    if (body_bytes_ > limits_.max_body_bytes) {
        return fail(parse_failure::body_too_large);
    }
    grow_body(length);
    body_.append(data, length);
    return 0;
}

/// Doubles the buffer of the body when it is full, but never beyond what the
/// body may have. The announced length alone reserves nothing.
void message_parser::grow_body(std::size_t length)
{
    auto const needed = body_.size() + length;
    if (kind_ == message_kind::response || needed <= body_.capacity()) {
        return;
    }
    auto const doubled = std::max<std::uint64_t>(needed, 2 * body_.capacity());
    auto const capacity = std::max<std::uint64_t>(
        needed, std::min<std::uint64_t>(doubled, body_bound()));
    // std::string::reserve() would itself double the capacity.
    std::string grown;
    grown.reserve(capacity);
    grown.append(body_);
    body_ = std::move(grown);
}

std::uint64_t message_parser::body_bound() const
{
    return framing_ == body_framing::length ? announced_bytes_
                                            : limits_.max_body_bytes;
}

std::size_t message_parser::held_bytes() const
{
    return heap_bytes(body_) + heap_bytes(pending_header_.name) +
           heap_bytes(pending_header_.value) + heap_bytes(request_.target) +
           heap_bytes(response_.reason) + request_.headers.held_bytes() +
           response_.headers.held_bytes();
}

void message_parser::release()
{
    reset(limits_);
    release_text(body_);
    interim_responses_ = {};
}

/// \return false for a status that a server may not send here, and for framing
///     of a body that a response of its status does not have
bool message_parser::is_valid_response() const
{
    auto const status = response_.status;
    if (status < min_status || status > max_status ||
        status == switching_protocols) {
        return false;
    }
    auto const has_body =
        (parser_.flags & F_CHUNKED) != 0 ||
        parser_.uses_transfer_encoding != 0 ||
        ((parser_.flags & F_CONTENTLENGTH) != 0 && parser_.content_length > 0);
    // A 304 may state the length of the body that it leaves out.
    auto const needs_none = status / 100 == 1 || status == no_content;
    return !needs_none || !has_body;
}

bool message_parser::begins_final_response(std::string_view rest)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_at = version.size() + 2; // Digit and blank.
    if (!rest.starts_with(version.substr(0, rest.size()))) {
        return false;
    }
    return rest.size() <= status_at || rest[status_at] != '1';
}

int message_parser::on_complete()
{
    auto const interim =
        kind_ == message_kind::response && response_.status / 100 == 1;
    if (interim) {
        head_bytes_ += interim_status_line_bytes;
        if (head_bytes_ > limits_.max_head_bytes) {
            return fail(parse_failure::head_too_large);
        }
        interim_responses_.push_back(std::exchange(response_, {}));
        has_head_ = false;
        framing_ = body_framing::none;
        return 0;
    }
    complete_ = true;
    http_parser_pause(&parser_, 1);
    return 0;
}

} // namespace medlarstall::http
