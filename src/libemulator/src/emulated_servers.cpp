#include "emulated_servers.hpp"

#include <utility>

namespace medlarstall::emulator {

emulated_servers::emulated_servers(event_queue& events, experiment const& from,
                                   model_server::listener const& on_event)
{
    for (auto const& service : from.services) {
        for (std::uint32_t number = 0; number < service.servers; ++number) {
            dispatch::backend_server_entry entry;
            entry.id = service.name + "-" + std::to_string(number);
            entry.service = service.name;
            entry.address = entry.id;
            entry.slots =
                service.model ? service.model->slots : service.plain.slots;
            entry.started_unix_ms = 1;
            entry.sequence = 1;
            server made;
            if (service.model) {
                made.model = std::make_unique<model_server>(
                    events, *service.model, readings_, on_event);
            } else {
                made.plain = std::make_unique<plain_server>(
                    events, service.plain, [on_event](std::uint64_t send) {
                        on_event(send, 1, true);
                    });
            }
            servers_[entry.id] = std::move(made);
            entries_.push_back(std::move(entry));
        }
    }
}

bool emulated_servers::submit(std::string const& server, send_work work)
{
    auto const& chosen = at(server);
    if (chosen.plain) {
        return chosen.plain->submit(work.send, work.work);
    }
    work.prompt.id = work.send;
    return chosen.model->submit(std::move(work.prompt));
}

void emulated_servers::cancel(std::string const& server, std::uint64_t send)
{
    if (auto const& chosen = at(server); chosen.model) {
        chosen.model->cancel(send);
    }
}

void emulated_servers::keep_copied(
    std::string const& server, std::vector<dispatch::prompt_part> const& parts)
{
    if (auto const& chosen = at(server); chosen.model) {
        chosen.model->keep_copied(parts);
    }
}

bool emulated_servers::is_up(std::string const& server) const
{
    auto const& chosen = at(server);
    return !(chosen.model ? chosen.model->down() : chosen.plain->down());
}

dispatch::reported_load
emulated_servers::load_of(std::string const& server) const
{
    dispatch::reported_load load;
    if (auto const& chosen = at(server); chosen.model) {
        load.running = static_cast<std::uint32_t>(chosen.model->running());
        load.waiting = static_cast<std::uint32_t>(chosen.model->waiting());
    }
    return load;
}

std::vector<std::uint64_t> emulated_servers::crash(std::string const& server)
{
    auto const& chosen = at(server);
    return chosen.model ? chosen.model->crash() : chosen.plain->crash();
}

void emulated_servers::restart(std::string const& server)
{
    auto const& chosen = at(server);
    if (chosen.model) {
        chosen.model->restart();
    } else {
        chosen.plain->restart();
    }
}

void emulated_servers::apply_slowness(server const& to)
{
    auto const factor = to.slowness * to.noise;
    if (to.model) {
        to.model->set_slowness(factor);
    } else {
        to.plain->set_slowness(factor);
    }
}

void emulated_servers::set_slowness(std::string const& server, double factor)
{
    auto& chosen = servers_.at(server);
    chosen.slowness = factor;
    apply_slowness(chosen);
}

void emulated_servers::set_noise(std::string const& server, double factor)
{
    auto& chosen = servers_.at(server);
    chosen.noise = factor;
    apply_slowness(chosen);
}

std::uint64_t emulated_servers::preemptions() const
{
    std::uint64_t sum = 0;
    for (auto const& [id, one] : servers_) {
        sum += one.model ? one.model->preemptions() : 0;
    }
    return sum;
}

} // namespace medlarstall::emulator
