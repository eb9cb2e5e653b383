#include "claim_service.hpp"

#include "daemon_context.hpp"

#include <medlarstall/claim/record_codec.hpp>
#include <medlarstall/peer/peer_stream.hpp>
#include <medlarstall/support/digest.hpp>
#include <medlarstall/support/log.hpp>

#include <asio/post.hpp>

namespace medlarstall::daemon {

namespace {

using std::chrono::milliseconds;

/// An append that takes longer has an unknown effect on the log.
constexpr milliseconds append_time_limit{3'000};

/// How long the platform may hold back a read that waits for new records.
constexpr milliseconds read_wait{5'000};

/// Most records that one read returns.
constexpr std::size_t read_limit = 1'000;

constexpr milliseconds read_retry_delay{250};

claim::event_time current_event_time()
{
    return {monotonic_clock::now(), std::chrono::time_point_cast<milliseconds>(
                                        std::chrono::system_clock::now())};
}

std::string log_name_of(std::size_t stream)
{
    return "claims-" + std::to_string(stream);
}

claim::claim_settings settings_of(daemon_context& context, std::string writer)
{
    claim::claim_settings settings;
    settings.writer_id = std::move(writer);
    settings.stream_count = context.settings.claim_stream_count;
    settings.seed = context.random();
    return settings;
}

} // namespace

claim_service::claim_service(daemon_context& context,
                             platform_connection& platform)
    : context_{context}, platform_{platform},
      stream_count_{context.settings.claim_stream_count},
      writer_id_{context.settings.id + "/" + to_string(context.new_uuid())},
      engine_{settings_of(context, writer_id_)}, tick_timer_{context.io}
{}

claim_service::~claim_service()
{
    alive_.reset();
}

void claim_service::start()
{
    perform_actions(engine_.start(current_event_time()));
}

claim::call_id claim_service::submit_call(std::string key,
                                          claim::call_digest const& digest,
                                          time_point deadline,
                                          claim_handlers handlers)
{
    auto const id = next_call_id_++;
    calls_.emplace(id, std::move(handlers));
    asio::post(context_.io, [this, alive = std::weak_ptr{alive_}, id,
                             key = std::move(key), digest, deadline] {
        if (alive.expired() || !calls_.contains(id)) {
            return;
        }
        perform_actions(engine_.submit_call(
            {.id = id, .key = key, .digest = digest, .deadline = deadline},
            current_event_time()));
    });
    return id;
}

void claim_service::cancel_call(claim::call_id id)
{
    if (calls_.erase(id) > 0) {
        perform_actions(engine_.cancel_call(id, current_event_time()));
    }
}

bool claim_service::begin_dispatch(uuid const& attempt)
{
    return engine_.begin_dispatch(attempt);
}

void claim_service::on_not_dispatched(uuid const& attempt)
{
    perform_actions(engine_.on_not_dispatched(attempt, current_event_time()));
}

void claim_service::on_not_executed(uuid const& attempt)
{
    perform_actions(engine_.on_not_executed(attempt, current_event_time()));
}

void claim_service::on_finished(uuid const& attempt, claim::outcome outcome)
{
    perform_actions(
        engine_.on_finished(attempt, std::move(outcome), current_event_time()));
}

void claim_service::perform_actions(claim::actions const& actions)
{
    for (auto const& action : actions) {
        std::visit(
            [this](auto const& concrete_action) { perform(concrete_action); },
            action);
    }
    schedule_tick();
}

void claim_service::schedule_tick()
{
    auto const next = engine_.next_tick_time();
    if (!next) {
        tick_timer_.cancel();
        return;
    }
    tick_timer_.expires_at(*next);
    tick_timer_.async_wait(
        [this, alive = std::weak_ptr{alive_}](auto const& failure) {
            if (!failure && !alive.expired()) {
                perform_actions(engine_.tick(current_event_time()));
            }
        });
}

void claim_service::perform(claim::append_action const& action)
{
    platform::append_request request{.writer = writer_id_,
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
            perform_actions(engine_.on_append_succeeded(stream, sequence,
                                                        current_event_time()));
        } else if (failure->may_take_effect) {
            perform_actions(engine_.on_append_unknown(stream, sequence,
                                                      current_event_time()));
        } else {
            perform_actions(engine_.on_append_failed(stream, sequence,
                                                     current_event_time()));
        }
    };
    platform_.append(log_name_of(action.stream), std::move(request),
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
                on_read_failed(stream);
            } else {
                on_page_read(stream, value_of(outcome));
            }
        };
    platform_.read(
        log_name_of(action.stream),
        {.from = action.from_offset,
         .limit = read_limit,
         .wait = action.wait_for_records ? read_wait : milliseconds{0}},
        std::move(on_done));
}

void claim_service::on_read_failed(std::size_t stream)
{
    auto const timer =
        std::make_shared<asio::steady_timer>(context_.io, read_retry_delay);
    timer->async_wait(
        [this, alive = std::weak_ptr{alive_}, stream, timer](auto const&) {
            if (!alive.expired()) {
                perform_actions(
                    engine_.on_read_failed(stream, current_event_time()));
            }
        });
}

void claim_service::on_page_read(std::size_t stream,
                                 platform::log_page const& page)
{
    claim::read_batch batch{.stream = stream,
                            .first_retained_offset = page.first,
                            .end_offset = page.end};
    for (auto const& record : page.records) {
        batch.entries.push_back(
            {.offset = record.offset,
             .time = record.time,
             .writer = record.writer,
             .sequence = record.sequence,
             .value = claim::parse_record_or_mark(record.value)});
    }
    perform_actions(engine_.on_records_read(batch, current_event_time()));
}

void claim_service::perform(claim::forward_action const& action)
{
    auto const found = context_.known_fleet.daemons.find(action.daemon);
    if (found == context_.known_fleet.daemons.end()) {
        return;
    }
    auto records = nlohmann::json::array();
    for (auto const& record : action.records) {
        records.push_back(claim::to_json(record));
    }
    auto const stream = context_.peers.open_stream(found->second.address,
                                                   found->second.peer_port,
                                                   std::string{claim_path});
    stream->send({{"stream", action.stream}, {"records", std::move(records)}});
    stream->half_close();
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
            std::size_t stream_number = stream_count_;
            if (content.is_object() && content.contains("stream") &&
                content["stream"].is_number_unsigned() &&
                content.contains("records") && content["records"].is_array()) {
                stream_number = content["stream"].get<std::size_t>();
                for (auto const& encoded : content["records"]) {
                    auto const record = claim::parse_record(encoded);
                    if (!failed(record)) {
                        records.push_back(value_of(record));
                    }
                }
            }
            if (stream_number >= stream_count_ || records.empty()) {
                ++context_.daemon_metrics.bad_peer_messages;
            } else {
                perform_actions(engine_.on_records_forwarded(
                    stream_number, records, current_event_time()));
            }
            if (auto const open_stream = weak.lock()) {
                open_stream->half_close();
            }
        });
}

void claim_service::set_preferred_writers(
    std::vector<std::string> const& daemon_ids)
{
    for (std::size_t stream = 0; stream < stream_count_; ++stream) {
        std::string preferred = context_.settings.id;
        std::uint64_t preferred_score = 0;
        for (auto const& daemon : daemon_ids) {
            auto const score = hash64(daemon, stream + 1);
            if (score > preferred_score) {
                preferred_score = score;
                preferred = daemon;
            }
        }
        engine_.set_preferred_writer(
            stream, preferred == context_.settings.id ? "" : preferred);
    }
}

void claim_service::perform(claim::dispatch_action const& action)
{
    ++context_.daemon_metrics.claims_won;
    auto const call = calls_.extract(action.id);
    if (call.empty()) {
        perform_actions(
            engine_.on_not_dispatched(action.attempt, current_event_time()));
        return;
    }
    log_line{severity::info, "claim"}
        .with("key", to_string(action.key))
        .with("attempt", to_string(action.attempt))
        .with("result", "won");
    call.mapped().on_claim_won(action.attempt);
}

void claim_service::perform(claim::answer_action const& action)
{
    auto const call = calls_.extract(action.id);
    if (call.empty()) {
        return;
    }
    ++context_.daemon_metrics.claims_answered;
    log_line{severity::info, "claim"}
        .with("call", action.id)
        .with("result", "answered")
        .with("reason", claim::code_of(action.reason));
    call.mapped().on_answer(action);
}

} // namespace medlarstall::daemon
