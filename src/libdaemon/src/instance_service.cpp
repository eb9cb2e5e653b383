#include "instance_service.hpp"

#include <medlarstall/support/log.hpp>

#include <asio/io_context.hpp>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds register_interval{2'000};
constexpr milliseconds list_interval{1'000};

} // namespace

instance_service::instance_service(asio::io_context& io,
                                   platform_connection& platform,
                                   instance_list_handler on_instance_list)
    : platform_{platform}, on_instance_list_{std::move(on_instance_list)},
      register_timer_{io}, list_timer_{io}
{}

instance_service::~instance_service()
{
    alive_.reset();
}

void instance_service::start(platform::instance self)
{
    self_ = std::move(self);
    register_self();
    read_list();
}

void instance_service::register_self()
{
    if (deregistered_) {
        return;
    }
    register_timer_.expires_after(register_interval);
    register_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                register_self();
            }
        });
    if (registration_in_progress_) {
        return;
    }
    registration_in_progress_ = true;
    platform_.put_instance(
        self_, std::nullopt,
        [this, alive = std::weak_ptr{alive_}](status const& outcome) {
            if (alive.expired()) {
                return;
            }
            registration_in_progress_ = false;
            if (failed(outcome)) {
                log_line{severity::warning, "register_failed"}.with(
                    "message", error_of(outcome).message);
            }
        });
}

void instance_service::read_list()
{
    platform_.list_instances(
        [this, alive = std::weak_ptr{alive_}](
            result<platform::instance_snapshot> const& outcome) {
            if (alive.expired()) {
                return;
            }
            if (failed(outcome)) {
                log_line{severity::warning, "instance_list_unavailable"}.with(
                    "message", error_of(outcome).message);
            } else {
                on_instance_list_(value_of(outcome));
            }
            list_timer_.expires_after(list_interval);
            list_timer_.async_wait([this, alive](auto const& failure) {
                if (!failure && !alive.expired()) {
                    read_list();
                }
            });
        });
}

void instance_service::register_as_leaving()
{
    self_.state = platform::instance_state::leaving;
    register_self();
}

void instance_service::deregister(std::function<void()> on_done)
{
    deregistered_ = true;
    register_timer_.cancel();
    platform_.remove_instance(
        self_.id, [on_done = std::move(on_done)](status const&) { on_done(); });
}

} // namespace medlarstall::daemon
