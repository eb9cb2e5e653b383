#include <medlarstall/routing/suspect_gate.hpp>

namespace medlarstall::routing {

bool suspect_gate::enter(request_fingerprint fingerprint,
                         scheduling::request_id id)
{
    auto& requests = requests_by_fingerprint_[fingerprint];
    requests.push_back(id);
    return requests.size() == 1;
}

std::optional<scheduling::request_id>
suspect_gate::leave(request_fingerprint fingerprint, scheduling::request_id id)
{
    auto const found = requests_by_fingerprint_.find(fingerprint);
    if (found == requests_by_fingerprint_.end()) {
        return std::nullopt;
    }
    auto& requests = found->second;
    bool const was_first = requests.front() == id;
    std::erase(requests, id);
    if (requests.empty()) {
        requests_by_fingerprint_.erase(found);
        return std::nullopt;
    }
    return was_first ? std::optional{requests.front()} : std::nullopt;
}

} // namespace medlarstall::routing
