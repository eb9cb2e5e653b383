#include "transfer.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace medlarstall::backend {

namespace {

/// Size of the receive buffer that libcurl is asked to use per connection.
constexpr long receive_buffer_bytes = 16L * 1024;

int set_socket_options(void* tcp_user_timeout, curl_socket_t socket,
                       curlsocktype)
{
    auto const ms = static_cast<unsigned>(
        static_cast<std::chrono::milliseconds*>(tcp_user_timeout)->count());
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
    return CURL_SOCKOPT_OK;
}

std::string_view trimmed(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

} // namespace

transfer::transfer(CURL* handle, transfer_id id, outgoing_request request,
                   transfer_handlers handlers,
                   http_client_settings const& settings)
    : id_{id}, request_{std::move(request)},
      handlers_{std::make_shared<transfer_handlers const>(std::move(handlers))},
      handle_{handle}, last_receive_time_{monotonic_clock::now()}
{
    set_options(settings);
    set_method_and_body();
}

transfer::~transfer()
{
    if (handle_ != nullptr) {
        curl_easy_cleanup(handle_);
    }
    curl_slist_free_all(fields_);
}

void transfer::set_options(http_client_settings const& settings)
{
    auto const set = [this](CURLoption option, auto value) {
        curl_easy_setopt(handle_, option, value);
    };
    set(CURLOPT_URL, request_.url.c_str());
    set(CURLOPT_PRIVATE, this);
    set(CURLOPT_ERRORBUFFER, error_text_);
    set(CURLOPT_NOSIGNAL, 1L);
    set(CURLOPT_PROTOCOLS_STR, "http,https");
    set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    set(CURLOPT_PROXY, "");
    set(CURLOPT_TCP_NODELAY, 1L);
    set(CURLOPT_TCP_KEEPALIVE, 1L);
    set(CURLOPT_TCP_KEEPIDLE, 1L);
    set(CURLOPT_TCP_KEEPINTVL, 1L);
    set(CURLOPT_BUFFERSIZE, receive_buffer_bytes);
    set(CURLOPT_SOCKOPTFUNCTION, &set_socket_options);
    set(CURLOPT_SOCKOPTDATA, &settings.tcp_user_timeout);
    set(CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(request_.connect_timeout.count()));
    set(CURLOPT_TIMEOUT_MS, static_cast<long>(request_.total_timeout.count()));
    set(CURLOPT_MAXLIFETIME_CONN,
        static_cast<long>(settings.max_connection_age.count()));
    set(CURLOPT_HEADERFUNCTION, &transfer::header_callback);
    set(CURLOPT_HEADERDATA, this);
    set(CURLOPT_WRITEFUNCTION, &transfer::body_callback);
    set(CURLOPT_WRITEDATA, this);
    if (!request_.repeatable) {
        set(CURLOPT_FRESH_CONNECT, 1L);
        set(CURLOPT_FORBID_REUSE, 1L);
    }
}

void transfer::set_method_and_body()
{
    bool const sends_body = !request_.body.empty() ||
                            request_.method == "POST" ||
                            request_.method == "PUT";
    if (request_.method == "HEAD") {
        curl_easy_setopt(handle_, CURLOPT_NOBODY, 1L);
    } else if (sends_body) {
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request_.body.size()));
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, request_.body.data());
    }
    if (request_.method != "HEAD") {
        curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST,
                         request_.method.c_str());
    }
    // Prevents libcurl from waiting for "100 Continue", and from adding the
    // content type of a form.
    fields_ = curl_slist_append(fields_, "Expect:");
    if (find_field(request_.fields, "Content-Type").empty()) {
        fields_ = curl_slist_append(fields_, "Content-Type:");
    }
    for (auto const& [name, value] : request_.fields) {
        auto line = name;
        line += ": ";
        line += value;
        fields_ = curl_slist_append(fields_, line.c_str());
    }
    curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, fields_);
}

transfer_stage transfer::stage() const
{
    if (head_.status != 0) {
        return transfer_stage::receiving;
    }
    long sent = 0;
    curl_easy_getinfo(handle_, CURLINFO_REQUEST_SIZE, &sent);
    return sent > 0 ? transfer_stage::sent : transfer_stage::nothing_sent;
}

void transfer::finish(CURLcode code)
{
    auto const handlers = std::exchange(handlers_, nullptr);
    if (!handlers || !handlers->on_done) {
        return;
    }
    if (code == CURLE_OK) {
        if (!head_delivered_ && handlers->on_head) {
            handlers->on_head(head_);
        }
        handlers->on_done(nullptr);
        return;
    }
    transfer_failure const failure{
        .stage = stage(),
        .timed_out = code == CURLE_OPERATION_TIMEDOUT,
        .message =
            error_text_[0] != '\0' ? error_text_ : curl_easy_strerror(code)};
    handlers->on_done(&failure);
}

void transfer::set_paused(bool paused)
{
    paused_ = paused;
    last_receive_time_ = monotonic_clock::now();
    curl_easy_pause(handle_, paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

bool transfer::has_receive_timeout() const
{
    return request_.receive_timeout.count() > 0;
}

bool transfer::receive_timed_out(time_point now) const
{
    return has_receive_timeout() && !paused_ &&
           now - last_receive_time_ > request_.receive_timeout;
}

std::size_t transfer::receive_header(std::string_view line)
{
    last_receive_time_ = monotonic_clock::now();
    if (line.starts_with("HTTP/")) {
        long status = 0;
        curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
        head_ = {.status = static_cast<int>(status), .fields = {}};
        return line.size();
    }
    auto const colon = line.find(':');
    if (colon != std::string_view::npos) {
        head_.fields.emplace_back(trimmed(line.substr(0, colon)),
                                  trimmed(line.substr(colon + 1)));
    }
    return line.size();
}

std::size_t transfer::receive_body(std::string_view data)
{
    last_receive_time_ = monotonic_clock::now();
    if (paused_) {
        return CURL_WRITEFUNC_PAUSE;
    }
    if (!head_delivered_) {
        head_delivered_ = true;
        auto const handlers = handlers_;
        if (handlers && handlers->on_head) {
            handlers->on_head(head_);
        }
    }
    auto const handlers = handlers_;
    if (handlers && handlers->on_data) {
        handlers->on_data(data);
    }
    return data.size();
}

std::size_t transfer::header_callback(char* data, std::size_t size,
                                      std::size_t count, void* self)
{
    return static_cast<transfer*>(self)->receive_header({data, size * count});
}

std::size_t transfer::body_callback(char* data, std::size_t size,
                                    std::size_t count, void* self)
{
    return static_cast<transfer*>(self)->receive_body({data, size * count});
}

} // namespace medlarstall::backend
