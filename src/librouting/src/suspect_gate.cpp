#include <medlarstall/routing/suspect_gate.hpp>

namespace medlarstall::routing {

bool suspect_gate::enter(request_fingerprint fingerprint,
                         scheduling::request_id id)
{
    auto& copies = copies_[fingerprint];
    copies.push_back(id);
    return copies.size() == 1;
}

std::optional<scheduling::request_id>
suspect_gate::leave(request_fingerprint fingerprint, scheduling::request_id id)
{
    auto const found = copies_.find(fingerprint);
    if (found == copies_.end()) {
        return std::nullopt;
    }
    auto& copies = found->second;
    bool const was_first = copies.front() == id;
    std::erase(copies, id);
    if (copies.empty()) {
        copies_.erase(found);
        return std::nullopt;
    }
    return was_first ? std::optional{copies.front()} : std::nullopt;
}

} // namespace medlarstall::routing
