#include "member_service.hpp"

#include "api_error.hpp"
#include "api_server.hpp"
#include "entry_service.hpp"
#include "node.hpp"
#include "owner_service.hpp"
#include "peer_queries.hpp"
#include "share_service.hpp"

#include <medlarstall/entry/exchange.hpp>

#include <algorithm>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds query_timeout{1'500};

/// Weight of a daemon in the directory: near ones count more, loaded ones
/// less.
double weight_of(daemon_info const& one, std::string const& near,
                 std::size_t open_requests)
{
    constexpr double near_weight = 4.0;
    constexpr double half_load = 64.0;
    double const distance = one.data_centre == near ? near_weight : 1.0;
    return distance * half_load /
           (half_load + static_cast<double>(open_requests));
}

/// Adds up what daemons say of the organisations.
json sum_usage(std::map<std::string, json> const& answers)
{
    auto sum = json::object();
    for (auto const& [daemon, answer] : answers) {
        if (!answer.is_array()) {
            continue;
        }
        for (auto const& one : answer) {
            auto& entry = sum[one.at("organisation").get<std::string>()]
                             [one.at("class").get<std::string>()];
            if (entry.is_null()) {
                entry = json::object();
            }
            for (auto const* key : {"served_tokens", "dispatched", "refused",
                                    "delayed", "running", "queued"}) {
                entry[key] = entry.value(key, std::uint64_t{0}) +
                             one.at(key).get<std::uint64_t>();
            }
        }
    }
    return sum;
}

std::uint64_t tokens_of(json const& classes)
{
    std::uint64_t sum = 0;
    for (auto const& [name, entry] : classes.items()) {
        sum += entry.at("served_tokens").get<std::uint64_t>();
    }
    return sum;
}

} // namespace

member_service::member_service(node& shared, entry_service const& entry,
                               peer_queries& queries,
                               share_service const& shares,
                               std::function<std::size_t()> open_requests)
    : node_{shared}, entry_{entry}, queries_{queries}, shares_{shares},
      open_requests_{std::move(open_requests)}
{
    queries_.answer("in-force", [this](json const&) {
        return json{{"offset", node_.catalogue.version},
                    {"digest", node_.catalogue.digest}};
    });
    queries_.answer("usage", [this](json const&) { return own_usage(); });
    queries_.answer("load", [this](json const&) { return own_load(); });
}

void member_service::for_members(
    api_server& api, std::string const& path,
    std::function<void(exchange_pointer const&)> handle) const
{
    api.add("GET", path,
            [this, handle = std::move(handle)](exchange_pointer const& caller) {
                auto const known =
                    entry_.authenticate_reader(caller->request());
                if (auto const* problem = std::get_if<api_error>(&known)) {
                    caller->respond(to_response(*problem));
                    return;
                }
                handle(caller);
            });
}

void member_service::add_endpoints(api_server& api)
{
    for_members(api, "/v1/entries",
                [this](auto const& caller) { show_entries(caller); });
    for_members(api, "/v1/in-force",
                [this](auto const& caller) { show_in_force(caller); });
    for_members(api, "/v1/shares",
                [this](auto const& caller) { show_shares(caller); });
}

json member_service::own_usage() const
{
    auto list = json::array();
    for (auto const& one : node_.owner->usage()) {
        list.push_back({{"organisation", one.organisation},
                        {"class", one.service_class},
                        {"served_tokens", one.served_tokens},
                        {"dispatched", one.dispatched},
                        {"refused", one.refused},
                        {"delayed", one.delayed},
                        {"running", one.running},
                        {"queued", one.queued}});
    }
    return list;
}

json member_service::own_load() const
{
    return {{"open_requests", open_requests_()}, {"draining", node_.draining}};
}

void member_service::show_entries(exchange_pointer const& caller) const
{
    queries_.ask_all(
        "load", json::object(), query_timeout,
        [this, caller](std::map<std::string, json> const& answers) {
            auto list = json::array();
            for (auto const& [id, one] : node_.known.daemons) {
                auto const answer = answers.find(id);
                if (one.leaving || answer == answers.end() ||
                    !answer->second.is_object() ||
                    answer->second.value("draining", true)) {
                    continue;
                }
                auto const open =
                    answer->second.value("open_requests", std::size_t{0});
                list.push_back(
                    {{"id", id},
                     {"address", one.address},
                     {"port", one.port},
                     {"data_centre", one.data_centre},
                     {"weight",
                      weight_of(one, node_.settings.data_centre, open)}});
            }
            std::sort(list.begin(), list.end(),
                      [](json const& left, json const& right) {
                          return left["weight"].get<double>() >
                                 right["weight"].get<double>();
                      });
            caller->respond(json_response(
                {{"entries", std::move(list)},
                 {"ttl_ms", node_.settings.directory_ttl.count()}}));
        });
}

void member_service::show_in_force(exchange_pointer const& caller) const
{
    queries_.ask_all(
        "in-force", json::object(), query_timeout,
        [this, caller](std::map<std::string, json> const& answers) {
            auto list = json::array();
            auto missing = json::array();
            bool agree = true;
            for (auto const& [id, one] : node_.known.listed_daemons) {
                auto const answer = answers.find(id);
                if (answer == answers.end() || !answer->second.is_object()) {
                    missing.push_back(id);
                    agree = false;
                    continue;
                }
                auto entry = answer->second;
                entry["id"] = id;
                agree = agree && entry["digest"] == node_.catalogue.digest;
                list.push_back(std::move(entry));
            }
            caller->respond(json_response({{"daemons", std::move(list)},
                                           {"missing", std::move(missing)},
                                           {"agree", agree}}));
        });
}

void member_service::show_shares(exchange_pointer const& caller) const
{
    queries_.ask_all(
        "usage", json::object(), query_timeout,
        [this, caller](std::map<std::string, json> const& answers) {
            auto const asked = answers.size();
            auto const sum = sum_usage(answers);
            std::uint64_t all_tokens = 0;
            for (auto const& [name, classes] : sum.items()) {
                all_tokens += tokens_of(classes);
            }
            double all_shares = 0;
            auto const& organisations = node_.catalogue.entries->organisations;
            for (auto const& [name, one] : organisations) {
                all_shares += one.value.share;
            }
            auto list = json::array();
            for (auto const& [name, one] : organisations) {
                auto const classes = sum.value(name, json::object());
                auto const tokens = tokens_of(classes);
                list.push_back(
                    {{"organisation", name},
                     {"entitlement", one.value.share / all_shares},
                     {"served_part", all_tokens == 0
                                         ? 0.0
                                         : static_cast<double>(tokens) /
                                               static_cast<double>(all_tokens)},
                     {"served_tokens", tokens},
                     {"classes", classes}});
            }
            caller->respond(
                json_response({{"organisations", std::move(list)},
                               {"last_window", shares_.last_window()},
                               {"daemons_asked", node_.known.daemons.size()},
                               {"daemons_answered", asked},
                               {"catalogue_offset", node_.catalogue.version},
                               {"catalogue_digest", node_.catalogue.digest}}));
        });
}

} // namespace medlarstall::daemon
