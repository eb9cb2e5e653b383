#include "curl_multi.hpp"

#include <asio/post.hpp>

namespace medlarstall::backend {

namespace {

/// How often receive timeouts are checked.
constexpr std::chrono::milliseconds timeout_check_interval{50};

/// Receive timeout of a discarded transfer, which is then cancelled.
constexpr std::chrono::milliseconds discard_timeout{500};

/// Maximum number of easy handles kept for reuse; each takes about 10 KiB.
constexpr std::size_t max_spare_handles = 256;

/// Initialises the global state of libcurl once per process.
void init_libcurl()
{
    [[maybe_unused]] static auto const done =
        curl_global_init(CURL_GLOBAL_DEFAULT);
}

} // namespace

/// A socket of libcurl and the events that libcurl waits for.
struct curl_multi::watched_socket
{
    watched_socket(asio::io_context& io, curl_socket_t socket)
        : descriptor{io, socket}
    {}

    asio::posix::stream_descriptor descriptor;
    int poll_events = 0;
    bool read_wait_pending = false;
    bool write_wait_pending = false;
    bool open = true;
};

curl_multi::curl_multi(asio::io_context& io, http_client_settings settings)
    : io_{io}, settings_{settings}, timer_{io}, timeout_check_timer_{io}
{
    init_libcurl();
}

curl_multi::~curl_multi()
{
    close();
}

void curl_multi::open()
{
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION,
                      &curl_multi::socket_callback);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION,
                      &curl_multi::timer_callback);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(settings_.max_idle_connections));
}

void curl_multi::close()
{
    if (multi_ == nullptr) {
        return;
    }
    // Destroying the handlers of one transfer may destroy objects that cancel
    // other transfers.
    auto closing = std::exchange(transfers_, {});
    for (auto const& [id, active_transfer] : closing) {
        active_transfer->clear_handlers();
        curl_multi_remove_handle(multi_, active_transfer->handle());
    }
    closing.clear();
    for (auto* const handle : std::exchange(spare_handles_, {})) {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(multi_);
    multi_ = nullptr;
    while (!sockets_.empty()) {
        unwatch(sockets_.begin()->first);
    }
    timer_.cancel();
    timeout_check_timer_.cancel();
}

transfer_id curl_multi::start(outgoing_request request,
                              transfer_handlers handlers)
{
    auto const id = next_id_++;
    auto new_transfer =
        std::make_unique<transfer>(acquire_handle(), id, std::move(request),
                                   std::move(handlers), settings_);
    bool const has_receive_timeout = new_transfer->has_receive_timeout();
    transfers_.emplace(id, std::move(new_transfer));
    if (in_libcurl_) {
        // libcurl forbids adding a handle from within its callbacks.
        pending_additions_.push_back(id);
    } else {
        add(id);
    }
    if (has_receive_timeout) {
        schedule_timeout_check();
    }
    return id;
}

CURL* curl_multi::acquire_handle()
{
    if (spare_handles_.empty()) {
        return curl_easy_init();
    }
    auto* const handle = spare_handles_.back();
    spare_handles_.pop_back();
    return handle;
}

void curl_multi::recycle_handle(transfer& from)
{
    // A handler may have closed the client.
    if (multi_ != nullptr && spare_handles_.size() < max_spare_handles) {
        auto* const handle = from.release();
        curl_easy_reset(handle);
        spare_handles_.push_back(handle);
    }
}

void curl_multi::add(transfer_id id)
{
    auto const found = transfers_.find(id);
    if (found != transfers_.end()) {
        curl_multi_add_handle(multi_, found->second->handle());
    }
}

void curl_multi::pause(transfer_id id)
{
    auto const found = transfers_.find(id);
    if (found != transfers_.end()) {
        found->second->set_paused(true);
    }
}

void curl_multi::resume(transfer_id id)
{
    // Resuming may deliver data at once, so it is done from the event loop.
    pending_resumes_.push_back(id);
    asio::post(io_, [weak = weak_from_this()] {
        auto const self = weak.lock();
        if (!self || self->multi_ == nullptr) {
            return;
        }
        auto const resumed = std::exchange(self->pending_resumes_, {});
        self->in_libcurl_ = true;
        for (auto const id_to_resume : resumed) {
            auto const found = self->transfers_.find(id_to_resume);
            if (found != self->transfers_.end()) {
                found->second->set_paused(false);
            }
        }
        self->in_libcurl_ = false;
        self->collect_finished();
    });
}

void curl_multi::set_receive_timeout(transfer_id id,
                                     std::chrono::milliseconds timeout)
{
    auto const found = transfers_.find(id);
    if (found == transfers_.end()) {
        return;
    }
    found->second->set_receive_timeout(timeout);
    if (found->second->has_receive_timeout()) {
        schedule_timeout_check();
    }
}

void curl_multi::discard(transfer_id id)
{
    auto const found = transfers_.find(id);
    if (found != transfers_.end()) {
        found->second->clear_handlers();
        set_receive_timeout(id, discard_timeout);
    }
}

void curl_multi::cancel(transfer_id id)
{
    auto const found = transfers_.find(id);
    if (found == transfers_.end()) {
        return;
    }
    found->second->clear_handlers();
    if (in_libcurl_) {
        // libcurl forbids removing a handle from within its callbacks.
        pending_removals_.push_back(id);
        return;
    }
    remove(id);
}

void curl_multi::remove(transfer_id id)
{
    auto const node = transfers_.extract(id);
    if (!node.empty()) {
        curl_multi_remove_handle(multi_, node.mapped()->handle());
    }
}

int curl_multi::socket_callback(CURL*, curl_socket_t socket, int poll_events,
                                void* self, void*)
{
    auto* const multi = static_cast<curl_multi*>(self);
    if (poll_events == CURL_POLL_REMOVE) {
        multi->unwatch(socket);
    } else {
        multi->watch(socket, poll_events);
    }
    return 0;
}

int curl_multi::timer_callback(CURLM*, long timeout_ms, void* self)
{
    auto* const multi = static_cast<curl_multi*>(self);
    if (timeout_ms < 0) {
        multi->timer_.cancel();
    } else {
        multi->set_timer(std::chrono::milliseconds{timeout_ms});
    }
    return 0;
}

void curl_multi::set_timer(std::chrono::milliseconds delay)
{
    timer_.expires_after(delay);
    timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (!failure && self) {
            self->process_socket_events(CURL_SOCKET_TIMEOUT, 0);
        }
    });
}

void curl_multi::watch(curl_socket_t socket, int poll_events)
{
    auto& watched = sockets_[socket];
    if (!watched) {
        watched = std::make_shared<watched_socket>(io_, socket);
    }
    watched->poll_events = poll_events;
    start_waits(watched);
}

void curl_multi::unwatch(curl_socket_t socket)
{
    auto const node = sockets_.extract(socket);
    if (node.empty()) {
        return;
    }
    node.mapped()->open = false;
    node.mapped()->descriptor.release();
}

void curl_multi::start_waits(std::shared_ptr<watched_socket> const& watched)
{
    using descriptor = asio::posix::stream_descriptor;
    if ((watched->poll_events & CURL_POLL_IN) != 0 &&
        !watched->read_wait_pending) {
        watched->read_wait_pending = true;
        wait_for_event(watched, descriptor::wait_read, CURL_CSELECT_IN);
    }
    if ((watched->poll_events & CURL_POLL_OUT) != 0 &&
        !watched->write_wait_pending) {
        watched->write_wait_pending = true;
        wait_for_event(watched, descriptor::wait_write, CURL_CSELECT_OUT);
    }
}

void curl_multi::wait_for_event(std::shared_ptr<watched_socket> const& watched,
                                asio::posix::stream_descriptor::wait_type type,
                                int event)
{
    watched->descriptor.async_wait(
        type, [weak = weak_from_this(), watched, event](auto const& failure) {
            bool const reads = event == CURL_CSELECT_IN;
            (reads ? watched->read_wait_pending : watched->write_wait_pending) =
                false;
            auto const self = weak.lock();
            if (!self || !watched->open ||
                failure == asio::error::operation_aborted) {
                return;
            }
            auto const poll_bit = reads ? CURL_POLL_IN : CURL_POLL_OUT;
            if ((watched->poll_events & poll_bit) == 0) {
                return;
            }
            self->process_socket_events(watched->descriptor.native_handle(),
                                        failure ? CURL_CSELECT_ERR : event);
            if (watched->open) {
                self->start_waits(watched);
            }
        });
}

void curl_multi::process_socket_events(curl_socket_t socket, int events)
{
    if (multi_ == nullptr) {
        return;
    }
    int still_running = 0;
    in_libcurl_ = true;
    curl_multi_socket_action(multi_, socket, events, &still_running);
    in_libcurl_ = false;
    collect_finished();
}

void curl_multi::collect_finished()
{
    for (auto const id : std::exchange(pending_removals_, {})) {
        remove(id);
    }
    for (auto const id : std::exchange(pending_additions_, {})) {
        add(id);
    }
    int messages_left = 0;
    while (multi_ != nullptr) {
        auto const* const message =
            curl_multi_info_read(multi_, &messages_left);
        if (message == nullptr) {
            break;
        }
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        auto const code = message->data.result;
        char* owner = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &owner);
        auto const id = reinterpret_cast<transfer*>(owner)->id();
        auto node = transfers_.extract(id);
        curl_multi_remove_handle(multi_, node.mapped()->handle());
        node.mapped()->finish(code);
        recycle_handle(*node.mapped());
    }
}

void curl_multi::schedule_timeout_check()
{
    if (timeout_check_scheduled_) {
        return;
    }
    timeout_check_scheduled_ = true;
    timeout_check_timer_.expires_after(timeout_check_interval);
    timeout_check_timer_.async_wait(
        [weak = weak_from_this()](auto const& failure) {
            auto const self = weak.lock();
            if (!failure && self) {
                self->timeout_check_scheduled_ = false;
                self->check_receive_timeouts();
            }
        });
}

void curl_multi::check_receive_timeouts()
{
    auto const now = monotonic_clock::now();
    std::vector<transfer_id> timed_out;
    bool any_has_timeout = false;
    for (auto const& [id, active_transfer] : transfers_) {
        any_has_timeout =
            any_has_timeout || active_transfer->has_receive_timeout();
        if (active_transfer->receive_timed_out(now)) {
            timed_out.push_back(id);
        }
    }
    if (any_has_timeout) {
        schedule_timeout_check();
    }
    for (auto const id : timed_out) {
        auto const node = transfers_.extract(id);
        if (node.empty()) {
            continue;
        }
        curl_multi_remove_handle(multi_, node.mapped()->handle());
        node.mapped()->finish(CURLE_OPERATION_TIMEDOUT);
    }
}

} // namespace medlarstall::backend
