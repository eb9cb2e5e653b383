#include "baseline.hpp"

#include <algorithm>

namespace medlarstall::bench {

baseline::baseline(event_queue& events, backend_pool& pool, recorder& record,
                   std::vector<arrival> const& arrivals, baseline_kind kind)
    : events_{events}, pool_{pool}, record_{record}, arrivals_{arrivals},
      kind_{kind}, queues_(pool.members.size())
{
    for (std::size_t server = 0; server < pool_.members.size(); ++server) {
        auto& engine = *pool_.members[server].engine;
        engine.on_token = [this, server](std::uint64_t call, std::uint32_t made,
                                         bool end) {
            record_.tokens(call, made, end);
            if (end) {
                --queues_[server].outstanding;
                server_of_.erase(call);
                start_next(server);
            }
        };
    }
}

std::size_t baseline::lane(std::size_t call) const
{
    return kind_ == baseline_kind::fifo_round_robin
               ? 0
               : arrivals_[call].service_class;
}

std::size_t baseline::place(std::size_t call)
{
    auto const* group = arrivals_[call].plain_service ? "services" : "engines";
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < pool_.members.size(); ++i) {
        if (pool_.members[i].group == group &&
            !pool_.members[i].engine->down()) {
            up.push_back(i);
        }
    }
    if (kind_ == baseline_kind::fifo_round_robin) {
        return up[next_[group]++ % up.size()];
    }
    return *std::ranges::min_element(up, {}, [&](std::size_t server) {
        return queues_[server].outstanding;
    });
}

void baseline::submit(std::size_t call)
{
    auto const server = place(call);
    server_of_[call] = server;
    ++queues_[server].outstanding;
    queues_[server].waiting[lane(call)].push_back(call);
    start_next(server);
}

void baseline::start_next(std::size_t server)
{
    auto& queue = queues_[server];
    for (auto& waiting : queue.waiting) {
        while (!waiting.empty()) {
            auto const call = waiting.front();
            auto const& what = arrivals_[call];
            engine_work const work{call,
                                   what.document,
                                   what.document_tokens,
                                   what.prompt_tokens,
                                   what.output_tokens,
                                   0,
                                   false,
                                   unsigned(lane(call))};
            if (!pool_.members[server].engine->start(work)) {
                return;
            }
            waiting.pop_front();
        }
    }
}

void baseline::abandon(std::size_t call)
{
    auto const found = server_of_.find(call);
    if (found == server_of_.end()) {
        return;
    }
    auto const server = found->second;
    std::erase(queues_[server].waiting[lane(call)], call);
    pool_.members[server].engine->cancel(call, false);
    --queues_[server].outstanding;
    server_of_.erase(found);
    record_.refused(call);
    start_next(server);
}

void baseline::crashed(std::size_t server,
                       std::vector<std::uint64_t> const& lost)
{
    auto queue = std::move(queues_[server]);
    queues_[server] = {};
    for (auto const call : lost) {
        server_of_.erase(call);
        bool const started = record_.outcomes()[call].first_token.has_value();
        if (started || arrivals_[call].plain_service) {
            record_.broken(call);
        } else {
            submit(call);
        }
    }
    for (auto const& waiting : queue.waiting) {
        for (auto const call : waiting) {
            submit(call);
        }
    }
}

void baseline::restarted(std::size_t server)
{
    start_next(server);
}

void baseline::lose_daemon(std::size_t) {}

void baseline::return_daemon(std::size_t) {}

} // namespace medlarstall::bench
