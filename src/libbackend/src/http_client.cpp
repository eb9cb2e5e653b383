#include <medlarstall/backend/http_client.hpp>

#include "curl_multi.hpp"
#include "transfer.hpp"

#include <algorithm>
#include <cctype>

namespace medlarstall::backend {

std::string_view find_field(header_fields const& fields, std::string_view name)
{
    auto const equal_ignoring_case = [](unsigned char left,
                                        unsigned char right) {
        return std::tolower(left) == std::tolower(right);
    };
    for (auto const& [field, value] : fields) {
        if (std::ranges::equal(field, name, equal_ignoring_case)) {
            return value;
        }
    }
    return {};
}

class http_client::implementation : public curl_multi
{
public:
    using curl_multi::curl_multi;
};

http_client::http_client(asio::io_context& io, http_client_settings settings)
    : implementation_{std::make_shared<implementation>(io, settings)}
{
    implementation_->open();
}

http_client::~http_client()
{
    implementation_->close();
}

transfer_id http_client::start(outgoing_request request,
                               transfer_handlers handlers)
{
    return implementation_->start(std::move(request), std::move(handlers));
}

transfer_id http_client::fetch(outgoing_request request,
                               std::size_t max_body_bytes,
                               std::function<void(fetch_result)> on_done)
{
    struct response_buffer
    {
        fetched_response response;
        bool too_large = false;
    };
    auto const buffered = std::make_shared<response_buffer>();
    transfer_handlers handlers;
    handlers.on_head = [buffered](response_head const& head) {
        buffered->response.status = head.status;
        buffered->response.fields = head.fields;
    };
    handlers.on_data = [buffered, max_body_bytes](std::string_view data) {
        if (buffered->response.body.size() + data.size() > max_body_bytes) {
            buffered->too_large = true;
            return;
        }
        buffered->response.body += data;
    };
    handlers.on_done = [buffered, max_body_bytes, on_done = std::move(on_done)](
                           transfer_failure const* failure) {
        if (failure != nullptr) {
            on_done(*failure);
        } else if (buffered->too_large) {
            on_done(transfer_failure{transfer_stage::receiving, false,
                                     "the body is larger than " +
                                         std::to_string(max_body_bytes) +
                                         " bytes"});
        } else {
            on_done(std::move(buffered->response));
        }
    };
    return start(std::move(request), std::move(handlers));
}

void http_client::pause(transfer_id id)
{
    implementation_->pause(id);
}

void http_client::resume(transfer_id id)
{
    implementation_->resume(id);
}

void http_client::set_receive_timeout(transfer_id id,
                                      std::chrono::milliseconds timeout)
{
    implementation_->set_receive_timeout(id, timeout);
}

void http_client::discard(transfer_id id)
{
    implementation_->discard(id);
}

void http_client::cancel(transfer_id id)
{
    implementation_->cancel(id);
}

std::size_t http_client::running_transfers() const
{
    return implementation_->running_transfers();
}

} // namespace medlarstall::backend
