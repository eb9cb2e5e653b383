#include "member_service.hpp"

#include "api_error.hpp"
#include "api_server.hpp"
#include "daemon_context.hpp"
#include "entry_service.hpp"
#include "owner_service.hpp"
#include "peer_queries.hpp"
#include "share_service.hpp"

#include <medlarstall/entry/exchange.hpp>

#include <algorithm>

namespace medlarstall::daemon {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Longest wait for the answers of the other daemons.
constexpr milliseconds query_timeout{1'500};

/// Weight of a daemon in the list that callers choose from. Daemons in the
/// local data centre weigh four times as much; the weight falls to half at 64
/// open requests.
double weight_of(daemon_info const& daemon,
                 std::string const& local_data_centre,
                 std::size_t open_requests)
{
    constexpr double local_weight = 4.0;
    constexpr double open_requests_at_half_weight = 64.0;
    double const locality_weight =
        daemon.data_centre == local_data_centre ? local_weight : 1.0;
    return locality_weight * open_requests_at_half_weight /
           (open_requests_at_half_weight + static_cast<double>(open_requests));
}

/// Sums the usage that the daemons report, by organisation and class.
json sum_usage(std::map<std::string, json> const& answers)
{
    auto sum = json::object();
    for (auto const& [daemon, answer] : answers) {
        if (!answer.is_array()) {
            continue;
        }
        for (auto const& row : answer) {
            auto& entry = sum[row.at("organisation").get<std::string>()]
                             [row.at("class").get<std::string>()];
            if (entry.is_null()) {
                entry = json::object();
            }
            for (auto const* key : {"served_tokens", "dispatched", "refused",
                                    "delayed", "running", "queued"}) {
                entry[key] = entry.value(key, std::uint64_t{0}) +
                             row.at(key).get<std::uint64_t>();
            }
        }
    }
    return sum;
}

std::uint64_t served_tokens_of(json const& classes)
{
    std::uint64_t sum = 0;
    for (auto const& [name, entry] : classes.items()) {
        sum += entry.at("served_tokens").get<std::uint64_t>();
    }
    return sum;
}

} // namespace

member_service::member_service(daemon_context& context,
                               entry_service const& entry,
                               peer_queries& queries,
                               share_service const& shares,
                               std::function<std::size_t()> open_requests)
    : context_{context}, entry_service_{entry}, peer_queries_{queries},
      share_service_{shares}, open_requests_{std::move(open_requests)}
{
    peer_queries_.set_handler("in-force", [this](json const&) {
        return json{{"offset", context_.catalogue.version},
                    {"digest", context_.catalogue.digest}};
    });
    peer_queries_.set_handler("usage",
                              [this](json const&) { return own_usage(); });
    peer_queries_.set_handler("load",
                              [this](json const&) { return own_load(); });
}

void member_service::add_member_endpoint(
    api_server& api, std::string const& path,
    std::function<void(exchange_pointer const&)> handle) const
{
    api.add(
        "GET", path,
        [this, handle = std::move(handle)](exchange_pointer const& exchange) {
            auto const authenticated =
                entry_service_.authorize_read(exchange->request());
            if (auto const* problem = std::get_if<api_error>(&authenticated)) {
                exchange->respond(to_response(*problem));
                return;
            }
            handle(exchange);
        });
}

void member_service::add_endpoints(api_server& api)
{
    add_member_endpoint(api, "/v1/entries", [this](auto const& exchange) {
        show_daemon_list(exchange);
    });
    add_member_endpoint(api, "/v1/in-force", [this](auto const& exchange) {
        show_catalogue_versions(exchange);
    });
    add_member_endpoint(api, "/v1/shares", [this](auto const& exchange) {
        show_shares(exchange);
    });
}

json member_service::own_usage() const
{
    auto list = json::array();
    for (auto const& usage : context_.owner->usage()) {
        list.push_back({{"organisation", usage.organisation},
                        {"class", usage.service_class},
                        {"served_tokens", usage.served_tokens},
                        {"dispatched", usage.dispatched},
                        {"refused", usage.refused},
                        {"delayed", usage.delayed},
                        {"running", usage.running},
                        {"queued", usage.queued}});
    }
    return list;
}

json member_service::own_load() const
{
    return {{"open_requests", open_requests_()},
            {"draining", context_.draining}};
}

void member_service::show_daemon_list(exchange_pointer const& exchange) const
{
    peer_queries_.ask_all(
        "load", json::object(), query_timeout,
        [this, exchange](std::map<std::string, json> const& answers) {
            auto list = json::array();
            for (auto const& [id, daemon] : context_.known_fleet.daemons) {
                auto const answer = answers.find(id);
                if (daemon.leaving || answer == answers.end() ||
                    !answer->second.is_object() ||
                    answer->second.value("draining", true)) {
                    continue;
                }
                auto const open =
                    answer->second.value("open_requests", std::size_t{0});
                list.push_back(
                    {{"id", id},
                     {"address", daemon.address},
                     {"port", daemon.port},
                     {"data_centre", daemon.data_centre},
                     {"weight",
                      weight_of(daemon, context_.settings.data_centre, open)}});
            }
            std::sort(list.begin(), list.end(),
                      [](json const& left, json const& right) {
                          return left["weight"].get<double>() >
                                 right["weight"].get<double>();
                      });
            exchange->respond(json_response(
                {{"entries", std::move(list)},
                 {"ttl_ms", context_.settings.directory_ttl.count()}}));
        });
}

void member_service::show_catalogue_versions(
    exchange_pointer const& exchange) const
{
    peer_queries_.ask_all(
        "in-force", json::object(), query_timeout,
        [this, exchange](std::map<std::string, json> const& answers) {
            auto list = json::array();
            auto missing = json::array();
            bool agree = true;
            for (auto const& [id, daemon] :
                 context_.known_fleet.listed_daemons) {
                auto const answer = answers.find(id);
                if (answer == answers.end() || !answer->second.is_object()) {
                    missing.push_back(id);
                    agree = false;
                    continue;
                }
                auto entry = answer->second;
                entry["id"] = id;
                agree = agree && entry["digest"] == context_.catalogue.digest;
                list.push_back(std::move(entry));
            }
            exchange->respond(json_response({{"daemons", std::move(list)},
                                             {"missing", std::move(missing)},
                                             {"agree", agree}}));
        });
}

void member_service::show_shares(exchange_pointer const& exchange) const
{
    peer_queries_.ask_all(
        "usage", json::object(), query_timeout,
        [this, exchange](std::map<std::string, json> const& answers) {
            auto const daemons_answered = answers.size();
            auto const sum = sum_usage(answers);
            std::uint64_t total_tokens = 0;
            for (auto const& [name, classes] : sum.items()) {
                total_tokens += served_tokens_of(classes);
            }
            double total_share = 0;
            auto const& organisations =
                context_.catalogue.entries->organisations;
            for (auto const& [name, organisation] : organisations) {
                total_share += organisation.value.share;
            }
            auto list = json::array();
            for (auto const& [name, organisation] : organisations) {
                auto const classes = sum.value(name, json::object());
                auto const tokens = served_tokens_of(classes);
                list.push_back(
                    {{"organisation", name},
                     {"entitlement", organisation.value.share / total_share},
                     {"served_part",
                      total_tokens == 0
                          ? 0.0
                          : static_cast<double>(tokens) /
                                static_cast<double>(total_tokens)},
                     {"served_tokens", tokens},
                     {"classes", classes}});
            }
            exchange->respond(json_response(
                {{"organisations", std::move(list)},
                 {"last_window", share_service_.last_window()},
                 {"daemons_asked", context_.known_fleet.daemons.size()},
                 {"daemons_answered", daemons_answered},
                 {"catalogue_offset", context_.catalogue.version},
                 {"catalogue_digest", context_.catalogue.digest}}));
        });
}

} // namespace medlarstall::daemon
