#include <medlarstall/platform/memory_platform.hpp>

#include <medlarstall/platform/record_log.hpp>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <list>
#include <map>

namespace medlarstall::platform {

namespace {

wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

/// A read that waits for a record.
struct waiting_read
{
    read_request request;
    read_callback on_done;
    asio::steady_timer timer;
};

using waiting_read_ptr = std::shared_ptr<waiting_read>;

struct followed_log
{
    record_log records;
    std::list<waiting_read_ptr> waiting;
};

} // namespace

struct memory_platform::implementation
    : std::enable_shared_from_this<implementation>
{
    explicit implementation(asio::io_context& io) : context{io} {}

    template<class Action>
    void later(Action action)
    {
        asio::post(context, [weak = weak_from_this(),
                             action = std::move(action)]() mutable {
            if (auto const self = weak.lock()) {
                action();
            }
        });
    }

    void answer(std::string const& name, waiting_read const& waiting);
    void wake(std::string const& name);
    void wait(std::string const& name, read_request request,
              read_callback on_done);

    asio::io_context& context;
    std::map<std::string, followed_log> logs;
    std::map<std::string, instance> instances;
};

void memory_platform::implementation::answer(std::string const& name,
                                             waiting_read const& waiting)
{
    auto const& request = waiting.request;
    later([page = logs[name].records.read(request.from, request.limit),
           on_done = waiting.on_done] { on_done(page); });
}

void memory_platform::implementation::wake(std::string const& name)
{
    auto& log = logs[name];
    std::erase_if(log.waiting, [&](waiting_read_ptr const& waiting) {
        if (waiting->request.from >= log.records.end()) {
            return false;
        }
        waiting->timer.cancel();
        answer(name, *waiting);
        return true;
    });
}

void memory_platform::implementation::wait(std::string const& name,
                                           read_request request,
                                           read_callback on_done)
{
    auto const waiting = std::make_shared<waiting_read>(
        waiting_read{request, std::move(on_done), asio::steady_timer{context}});
    logs[name].waiting.push_back(waiting);
    waiting->timer.expires_after(request.wait);
    waiting->timer.async_wait(
        [weak = weak_from_this(), name, waiting](asio::error_code failure) {
            auto const self = weak.lock();
            if (!self || failure) {
                return;
            }
            self->logs[name].waiting.remove(waiting);
            self->answer(name, *waiting);
        });
}

memory_platform::memory_platform(asio::io_context& context)
    : parts_{std::make_shared<implementation>(context)}
{}

memory_platform::~memory_platform() = default;

void memory_platform::append(std::string const& log, append_request request,
                             std::chrono::milliseconds /*time_limit*/,
                             append_callback on_done)
{
    auto const outcome =
        parts_->logs[log].records.append(std::move(request), wall_now());
    parts_->wake(log);
    append_outcome told = append_failure{};
    if (failed(outcome)) {
        told = append_failure{false, error_of(outcome).message};
    } else {
        told = value_of(outcome);
    }
    parts_->later([told = std::move(told), on_done = std::move(on_done)] {
        on_done(told);
    });
}

void memory_platform::read(std::string const& log, read_request request,
                           read_callback on_done)
{
    auto const& records = parts_->logs[log].records;
    bool const waits = request.from >= records.end() &&
                       request.wait > std::chrono::milliseconds{0};
    if (waits) {
        parts_->wait(log, request, std::move(on_done));
        return;
    }
    parts_->later([page = records.read(request.from, request.limit),
                   on_done = std::move(on_done)] { on_done(page); });
}

void memory_platform::list_instances(list_callback on_done)
{
    instance_snapshot snapshot;
    for (auto const& [id, listed] : parts_->instances) {
        snapshot.instances.push_back(listed);
    }
    parts_->later([snapshot = std::move(snapshot),
                   on_done = std::move(on_done)] { on_done(snapshot); });
}

void memory_platform::put_instance(
    instance const& registered,
    std::optional<std::chrono::milliseconds> /*lease*/, change_callback on_done)
{
    parts_->instances[registered.id] = registered;
    parts_->later([on_done = std::move(on_done)] { on_done(success()); });
}

void memory_platform::remove_instance(std::string const& id,
                                      change_callback on_done)
{
    parts_->instances.erase(id);
    parts_->later([on_done = std::move(on_done)] { on_done(success()); });
}

void memory_platform::read_weights(std::string const& /*model*/,
                                   std::string const& /*version*/,
                                   weight_callback on_done)
{
    parts_->later([on_done = std::move(on_done)] { on_done(weight_info{}); });
}

} // namespace medlarstall::platform
