#include "emulated_servers.hpp"

#include <utility>

namespace medlarstall::emulator {

emulated_servers::emulated_servers(event_queue& events, experiment const& spec,
                                   model_server::listener const& on_event)
{
    for (auto const& service : spec.services) {
        for (std::uint32_t index = 0; index < service.servers; ++index) {
            dispatch::backend_server_entry entry;
            entry.id = service.name + "-" + std::to_string(index);
            entry.service = service.name;
            entry.address = entry.id;
            entry.slots =
                service.model ? service.model->slots : service.plain.slots;
            entry.started_unix_ms = 1;
            entry.sequence = 1;
            server created;
            if (service.model) {
                created.model = std::make_unique<model_server>(
                    events, *service.model, prefills_, on_event);
            } else {
                created.plain = std::make_unique<plain_server>(
                    events, service.plain, [on_event](std::uint64_t send) {
                        on_event(send, 1, true);
                    });
            }
            servers_[entry.id] = std::move(created);
            entries_.push_back(std::move(entry));
        }
    }
}

bool emulated_servers::submit(std::string const& server, server_request request)
{
    auto const& chosen = at(server);
    if (chosen.plain) {
        return chosen.plain->submit(request.send, request.service_time);
    }
    request.model_work.id = request.send;
    return chosen.model->submit(std::move(request.model_work));
}

void emulated_servers::cancel(std::string const& server, std::uint64_t send)
{
    if (auto const& chosen = at(server); chosen.model) {
        chosen.model->cancel(send);
    }
}

void emulated_servers::insert_copied_parts(
    std::string const& server, std::vector<dispatch::prompt_part> const& parts)
{
    if (auto const& chosen = at(server); chosen.model) {
        chosen.model->insert_copied_parts(parts);
    }
}

bool emulated_servers::is_up(std::string const& server) const
{
    auto const& chosen = at(server);
    return !(chosen.model ? chosen.model->is_down() : chosen.plain->is_down());
}

dispatch::server_load_report
emulated_servers::load_of(std::string const& server) const
{
    dispatch::server_load_report load;
    if (auto const& chosen = at(server); chosen.model) {
        load.running =
            static_cast<std::uint32_t>(chosen.model->running_count());
        load.waiting =
            static_cast<std::uint32_t>(chosen.model->waiting_count());
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

void emulated_servers::apply_slowdown(server const& target)
{
    auto const factor = target.slowdown * target.noise;
    if (target.model) {
        target.model->set_slowdown(factor);
    } else {
        target.plain->set_slowdown(factor);
    }
}

void emulated_servers::set_slowdown(std::string const& server, double factor)
{
    auto& chosen = servers_.at(server);
    chosen.slowdown = factor;
    apply_slowdown(chosen);
}

void emulated_servers::set_noise(std::string const& server, double factor)
{
    auto& chosen = servers_.at(server);
    chosen.noise = factor;
    apply_slowdown(chosen);
}

std::uint64_t emulated_servers::preemptions() const
{
    std::uint64_t sum = 0;
    for (auto const& [id, entry] : servers_) {
        sum += entry.model ? entry.model->preemptions() : 0;
    }
    return sum;
}

} // namespace medlarstall::emulator
