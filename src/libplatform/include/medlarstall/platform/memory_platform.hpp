#ifndef MEDLARSTALL_PLATFORM_MEMORY_PLATFORM_HPP
#define MEDLARSTALL_PLATFORM_MEMORY_PLATFORM_HPP

#include <medlarstall/platform/platform_client.hpp>

#include <memory>

namespace asio {
class io_context;
}

namespace medlarstall::platform {

/// The platform within one process, for a daemon that runs alone and for
/// tests. Used on the thread of its io_context; nothing is kept on disk.
class memory_platform
{
public:
    /// \param context context that runs the callbacks
    explicit memory_platform(asio::io_context& context);
    ~memory_platform();
    memory_platform(memory_platform const&) = delete;
    memory_platform& operator=(memory_platform const&) = delete;

    /// Appends to a log.
    /// \param log name of the log
    /// \param request writer, sequence and records
    /// \param time_limit has no effect here
    /// \param on_done called with the outcome
    void append(std::string const& log, append_request request,
                std::chrono::milliseconds time_limit, append_callback on_done);

    /// Reads from a log, waiting for a record if asked to.
    /// \param log name of the log
    /// \param request offset, limit and wait
    /// \param on_done called with the page
    void read(std::string const& log, read_request request,
              read_callback on_done);

    /// \param on_done called with the registered instances
    void list_instances(list_callback on_done);

    /// Registers or changes an instance.
    /// \param registered instance
    /// \param lease has no effect here: a registration does not lapse
    /// \param on_done called once it is registered
    void put_instance(instance const& registered,
                      std::optional<std::chrono::milliseconds> lease,
                      change_callback on_done);

    /// \param id instance to remove
    /// \param on_done called once it is removed
    void remove_instance(std::string const& id, change_callback on_done);

    /// Answers that every model's weights are there.
    /// \param model name of the model
    /// \param version version of the model
    /// \param on_done called with the size 0
    void read_weights(std::string const& model, std::string const& version,
                      weight_callback on_done);

private:
    struct implementation;
    std::shared_ptr<implementation> parts_;
};

} // namespace medlarstall::platform

#endif
