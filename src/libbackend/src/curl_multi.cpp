#include "curl_multi.hpp"

#include <asio/post.hpp>

namespace medlarstall::backend {

namespace {

/// How often transfers are checked for silence.
constexpr std::chrono::milliseconds silence_check_interval{50};

/// A discarded transfer that does not end within this time is cut off.
constexpr std::chrono::milliseconds discard_timeout{500};

/// Idle easy handles that are kept, about 10 KiB each.
constexpr std::size_t max_spare_handles = 256;

/// Makes libcurl's global state once for the process.
void init_library()
{
    [[maybe_unused]] static auto const done =
        curl_global_init(CURL_GLOBAL_DEFAULT);
}

} // namespace

struct curl_multi::watched_socket
{
    watched_socket(asio::io_context& io, curl_socket_t socket)
        : descriptor{io, socket}
    {}

    asio::posix::stream_descriptor descriptor;
    int wanted = 0;
    bool waits_read = false;
    bool waits_write = false;
    bool open = true;
};

curl_multi::curl_multi(asio::io_context& io, http_client_settings settings)
    : io_{io}, settings_{settings}, timer_{io}, silence_timer_{io}
{
    init_library();
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
    // What handlers hold may cancel other transfers when it is destroyed.
    auto closing = std::exchange(transfers_, {});
    for (auto const& [id, running] : closing) {
        running->forget_handlers();
        curl_multi_remove_handle(multi_, running->handle());
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
    silence_timer_.cancel();
}

transfer_id curl_multi::start(outgoing_request request,
                              transfer_handlers handlers)
{
    auto const id = next_id_++;
    auto made = std::make_unique<transfer>(
        take_handle(), id, std::move(request), std::move(handlers), settings_);
    bool const watches = made->watches_silence();
    transfers_.emplace(id, std::move(made));
    if (acting_) {
        // libcurl forbids adding a handle from within its callbacks.
        added_.push_back(id);
    } else {
        add(id);
    }
    if (watches) {
        watch_silence();
    }
    return id;
}

CURL* curl_multi::take_handle()
{
    if (spare_handles_.empty()) {
        return curl_easy_init();
    }
    auto* const handle = spare_handles_.back();
    spare_handles_.pop_back();
    return handle;
}

void curl_multi::keep_handle(transfer& from)
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
    resumed_.push_back(id);
    asio::post(io_, [weak = weak_from_this()] {
        auto const self = weak.lock();
        if (!self || self->multi_ == nullptr) {
            return;
        }
        auto const due = std::exchange(self->resumed_, {});
        self->acting_ = true;
        for (auto const one : due) {
            auto const found = self->transfers_.find(one);
            if (found != self->transfers_.end()) {
                found->second->set_paused(false);
            }
        }
        self->acting_ = false;
        self->collect_finished();
    });
}

void curl_multi::set_silence_timeout(transfer_id id,
                                     std::chrono::milliseconds timeout)
{
    auto const found = transfers_.find(id);
    if (found == transfers_.end()) {
        return;
    }
    found->second->set_silence_timeout(timeout);
    if (found->second->watches_silence()) {
        watch_silence();
    }
}

void curl_multi::discard(transfer_id id)
{
    auto const found = transfers_.find(id);
    if (found != transfers_.end()) {
        found->second->forget_handlers();
        set_silence_timeout(id, discard_timeout);
    }
}

void curl_multi::cancel(transfer_id id)
{
    auto const found = transfers_.find(id);
    if (found == transfers_.end()) {
        return;
    }
    found->second->forget_handlers();
    if (acting_) {
        // libcurl forbids removing a handle from within its callbacks.
        cancelled_.push_back(id);
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

int curl_multi::socket_callback(CURL*, curl_socket_t socket, int what,
                                void* self, void*)
{
    auto* const multi = static_cast<curl_multi*>(self);
    if (what == CURL_POLL_REMOVE) {
        multi->unwatch(socket);
    } else {
        multi->watch(socket, what);
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
            self->act(CURL_SOCKET_TIMEOUT, 0);
        }
    });
}

void curl_multi::watch(curl_socket_t socket, int what)
{
    auto& watched = sockets_[socket];
    if (!watched) {
        watched = std::make_shared<watched_socket>(io_, socket);
    }
    watched->wanted = what;
    wait_for(watched);
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

void curl_multi::wait_for(std::shared_ptr<watched_socket> const& watched)
{
    using descriptor = asio::posix::stream_descriptor;
    if ((watched->wanted & CURL_POLL_IN) != 0 && !watched->waits_read) {
        watched->waits_read = true;
        wait_for_event(watched, descriptor::wait_read, CURL_CSELECT_IN);
    }
    if ((watched->wanted & CURL_POLL_OUT) != 0 && !watched->waits_write) {
        watched->waits_write = true;
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
            (reads ? watched->waits_read : watched->waits_write) = false;
            auto const self = weak.lock();
            if (!self || !watched->open ||
                failure == asio::error::operation_aborted) {
                return;
            }
            auto const wanted_bit = reads ? CURL_POLL_IN : CURL_POLL_OUT;
            if ((watched->wanted & wanted_bit) == 0) {
                return;
            }
            self->act(watched->descriptor.native_handle(),
                      failure ? CURL_CSELECT_ERR : event);
            if (watched->open) {
                self->wait_for(watched);
            }
        });
}

void curl_multi::act(curl_socket_t socket, int events)
{
    if (multi_ == nullptr) {
        return;
    }
    int still_running = 0;
    acting_ = true;
    curl_multi_socket_action(multi_, socket, events, &still_running);
    acting_ = false;
    collect_finished();
}

void curl_multi::collect_finished()
{
    for (auto const id : std::exchange(cancelled_, {})) {
        remove(id);
    }
    for (auto const id : std::exchange(added_, {})) {
        add(id);
    }
    int left = 0;
    while (multi_ != nullptr) {
        auto const* const message = curl_multi_info_read(multi_, &left);
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
        keep_handle(*node.mapped());
    }
}

void curl_multi::watch_silence()
{
    if (silence_watched_) {
        return;
    }
    silence_watched_ = true;
    silence_timer_.expires_after(silence_check_interval);
    silence_timer_.async_wait([weak = weak_from_this()](auto const& failure) {
        auto const self = weak.lock();
        if (!failure && self) {
            self->silence_watched_ = false;
            self->check_silence();
        }
    });
}

void curl_multi::check_silence()
{
    auto const now = decision_clock::now();
    std::vector<transfer_id> silent;
    bool any_watched = false;
    for (auto const& [id, running] : transfers_) {
        any_watched = any_watched || running->watches_silence();
        if (running->silent_too_long(now)) {
            silent.push_back(id);
        }
    }
    if (any_watched) {
        watch_silence();
    }
    for (auto const id : silent) {
        auto const node = transfers_.extract(id);
        if (node.empty()) {
            continue;
        }
        curl_multi_remove_handle(multi_, node.mapped()->handle());
        node.mapped()->finish(CURLE_OPERATION_TIMEDOUT);
    }
}

} // namespace medlarstall::backend
