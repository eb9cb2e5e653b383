#include "claim_service.hpp"

#include "node.hpp"

#include <medlarstall/claim/record_codec.hpp>
#include <medlarstall/peer/peer_stream.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/log.hpp>

#include <asio/post.hpp>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

/// Until an append counts as one whose effect is unknown.
constexpr milliseconds append_time_limit{3'000};

constexpr milliseconds read_wait{5'000};
constexpr std::size_t read_limit = 1'000;
constexpr milliseconds read_retry_delay{250};

claim::moment now_moment()
{
    return {decision_clock::now(), std::chrono::time_point_cast<milliseconds>(
                                       std::chrono::system_clock::now())};
}

std::string log_of(std::size_t stream)
{
    return "claims-" + std::to_string(stream);
}

claim::claim_settings settings_for(node& shared, std::string writer)
{
    claim::claim_settings settings;
    settings.writer = std::move(writer);
    settings.streams = shared.settings.claim_streams;
    settings.seed = shared.random();
    return settings;
}

} // namespace

claim_service::claim_service(node& shared, platform_connection& platform)
    : node_{shared}, platform_{platform},
      streams_{shared.settings.claim_streams},
      writer_{shared.settings.id + "/" + to_string(shared.new_uuid())},
      engine_{settings_for(shared, writer_)}, timer_{shared.io}
{}

claim_service::~claim_service()
{
    alive_.reset();
}

void claim_service::start()
{
    apply(engine_.start(now_moment()));
}

claim::call_id claim_service::request(std::string key,
                                      claim::body_digest const& digest,
                                      time_point deadline,
                                      claim_handlers handlers)
{
    auto const id = next_call_++;
    calls_.emplace(id, std::move(handlers));
    asio::post(node_.io, [this, alive = std::weak_ptr{alive_}, id,
                          key = std::move(key), digest, deadline] {
        if (alive.expired() || !calls_.contains(id)) {
            return;
        }
        apply(engine_.request(
            {.id = id, .key = key, .digest = digest, .deadline = deadline},
            now_moment()));
    });
    return id;
}

void claim_service::cancel(claim::call_id id)
{
    if (calls_.erase(id) > 0) {
        apply(engine_.cancel(id, now_moment()));
    }
}

bool claim_service::dispatched(uuid const& attempt)
{
    return engine_.dispatched(attempt);
}

void claim_service::not_dispatched(uuid const& attempt)
{
    apply(engine_.not_dispatched(attempt, now_moment()));
}

void claim_service::withdrawn(uuid const& attempt)
{
    apply(engine_.withdrawn(attempt, now_moment()));
}

void claim_service::finished(uuid const& attempt, claim::outcome result)
{
    apply(engine_.finished(attempt, std::move(result), now_moment()));
}

void claim_service::apply(claim::actions const& due)
{
    for (auto const& action : due) {
        std::visit([this](auto const& one) { perform(one); }, action);
    }
    arm_timer();
}

void claim_service::arm_timer()
{
    auto const next = engine_.next_time();
    if (!next) {
        timer_.cancel();
        return;
    }
    timer_.expires_at(*next);
    timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                apply(engine_.tick(now_moment()));
            }
        });
}

void claim_service::perform(claim::append_action const& action)
{
    platform::append_request request{.writer = writer_,
                                     .sequence = action.sequence};
    for (auto const& record : *action.records) {
        request.records.push_back(claim::to_json(record));
    }
    auto on_done = [this, alive = std::weak_ptr{alive_}, stream = action.stream,
                    sequence = action.sequence](
                       platform::append_outcome const& outcome) {
        if (alive.expired()) {
            return;
        }
        auto const* failure = std::get_if<platform::append_failure>(&outcome);
        if (failure == nullptr) {
            apply(engine_.append_done(stream, sequence, now_moment()));
        } else if (failure->may_take_effect) {
            apply(engine_.append_unknown(stream, sequence, now_moment()));
        } else {
            apply(engine_.append_failed(stream, sequence, now_moment()));
        }
    };
    platform_.append(log_of(action.stream), std::move(request),
                     append_time_limit, std::move(on_done));
}

void claim_service::perform(claim::read_action const& action)
{
    auto on_done =
        [this, alive = std::weak_ptr{alive_},
         stream = action.stream](result<platform::log_page> const& outcome) {
            if (alive.expired()) {
                return;
            }
            if (failed(outcome)) {
                read_failed(stream);
            } else {
                take_page(stream, value_of(outcome));
            }
        };
    platform_.read(log_of(action.stream),
                   {.from = action.from,
                    .limit = read_limit,
                    .wait = action.waits ? read_wait : milliseconds{0}},
                   std::move(on_done));
}

void claim_service::read_failed(std::size_t stream)
{
    auto const timer =
        std::make_shared<asio::steady_timer>(node_.io, read_retry_delay);
    timer->async_wait(
        [this, alive = std::weak_ptr{alive_}, stream, timer](auto const&) {
            if (!alive.expired()) {
                apply(engine_.read_failed(stream, now_moment()));
            }
        });
}

void claim_service::take_page(std::size_t stream,
                              platform::log_page const& page)
{
    claim::read_batch batch{
        .stream = stream, .first_retained = page.first, .end = page.end};
    for (auto const& record : page.records) {
        batch.entries.push_back({.offset = record.offset,
                                 .time = record.time,
                                 .writer = record.writer,
                                 .sequence = record.sequence,
                                 .value = claim::record_or_mark(record.value)});
    }
    apply(engine_.records(batch, now_moment()));
}

void claim_service::perform(claim::forward_action const& action)
{
    auto const found = node_.known.daemons.find(action.daemon);
    if (found == node_.known.daemons.end()) {
        return;
    }
    auto records = nlohmann::json::array();
    for (auto const& record : action.records) {
        records.push_back(claim::to_json(record));
    }
    auto const stream =
        node_.peers.open(found->second.address, found->second.peer_port,
                         std::string{claim_path});
    stream->send({{"stream", action.stream}, {"records", std::move(records)}});
    stream->end();
}

void claim_service::accept(std::shared_ptr<peer::peer_stream> const& stream)
{
    stream->on_message(
        [this, alive = std::weak_ptr{alive_},
         weak = std::weak_ptr{stream}](peer::message const& content) {
            if (alive.expired()) {
                return;
            }
            std::vector<claim::record> records;
            std::size_t number = streams_;
            if (content.is_object() && content.contains("stream") &&
                content["stream"].is_number_unsigned() &&
                content.contains("records") && content["records"].is_array()) {
                number = content["stream"].get<std::size_t>();
                for (auto const& one : content["records"]) {
                    auto const record = claim::parse_record(one);
                    if (!failed(record)) {
                        records.push_back(value_of(record));
                    }
                }
            }
            if (number >= streams_ || records.empty()) {
                ++node_.figures.bad_messages;
            } else {
                apply(engine_.forwarded(number, records, now_moment()));
            }
            if (auto const open = weak.lock()) {
                open->end();
            }
        });
}

void claim_service::prefer_writers(std::vector<std::string> const& daemons)
{
    for (std::size_t stream = 0; stream < streams_; ++stream) {
        std::string best = node_.settings.id;
        std::uint64_t best_score = 0;
        for (auto const& daemon : daemons) {
            auto const score = hash64(daemon, stream + 1);
            if (score > best_score) {
                best_score = score;
                best = daemon;
            }
        }
        engine_.prefer(stream, best == node_.settings.id ? "" : best);
    }
}

void claim_service::perform(claim::dispatch_action const& action)
{
    ++node_.figures.claims_won;
    auto const call = calls_.extract(action.id);
    if (call.empty()) {
        apply(engine_.not_dispatched(action.attempt, now_moment()));
        return;
    }
    log_line{severity::info, "claim"}
        .with("key", to_string(action.key))
        .with("attempt", to_string(action.attempt))
        .with("result", "won");
    call.mapped().on_run(action.attempt);
}

void claim_service::perform(claim::answer_action const& action)
{
    auto const call = calls_.extract(action.id);
    if (call.empty()) {
        return;
    }
    ++node_.figures.claims_answered;
    log_line{severity::info, "claim"}
        .with("call", action.id)
        .with("result", "answered")
        .with("reason", claim::code_of(action.reason));
    call.mapped().on_answer(action);
}

} // namespace medlarstall::daemon
