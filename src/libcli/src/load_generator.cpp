#include <medlarstall/cli/load_generator.hpp>

#include <medlarstall/backend/http_client.hpp>
#include <medlarstall/backend/sse_parser.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::cli {

namespace {

using std::chrono::nanoseconds;
using steady_clock = std::chrono::steady_clock;

constexpr std::chrono::seconds progress_interval{1};
constexpr int first_error_status = 300;
constexpr std::size_t max_message_bytes = 120;
constexpr std::chrono::milliseconds directory_timeout{2'000};
constexpr std::chrono::milliseconds directory_retry_interval{200};
constexpr std::size_t max_directory_bytes = std::size_t{1} << 20U;

/// A request that was sent and has no final result yet.
struct open_request
{
    load_record record;
    steady_clock::time_point planned_start;
    backend::sse_parser events;
    bool has_finish_reason = false;
    std::string error_body; ///< Error response, or error event of a stream.
    bool reported_not_run = false;
};

using open_request_ptr = std::shared_ptr<open_request>;

/// Creates the JSON body of a streamed chat completion.
std::string request_body(planned_request const& planned,
                         load_stream const& stream)
{
    nlohmann::json const body{
        {"model", stream.model},
        {"stream", true},
        {"max_tokens", planned.output_tokens},
        {"messages",
         {{{"role", "user"},
           {"content", make_prompt(planned, stream.prompt_bytes)}}}}};
    return body.dump();
}

/// Returns the code in an error response, or the start of any other body.
std::string extract_error_code(std::string const& body)
{
    auto const parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("error") ||
        !parsed["error"].is_object()) {
        return body.substr(0, max_message_bytes);
    }
    return parsed["error"].value("code", "no code");
}

} // namespace

struct load_generator::implementation
{
    implementation(load_generator_settings run_settings, load_plan request_plan)
        : settings{std::move(run_settings)}, plan{std::move(request_plan)},
          statistics{plan.streams()}, http{context, {}}, arrival_timer{context},
          progress_timer{context}, directory_timer{context}
    {}

    /// Starts the timer for the next planned request.
    void schedule_next();
    void request_directory();
    void handle_directory_response(backend::fetch_result const& outcome);
    void send(planned_request const& planned);
    void handle_response_head(open_request& request,
                              backend::response_head const& head);
    void handle_response_data(open_request& request,
                              std::string_view data) const;
    void finish_request(open_request_ptr const& request,
                        backend::transfer_failure const* failure);
    /// Records a request as failed because too many others are open.
    void record_unsent(planned_request const& planned);
    /// Calls on_progress at intervals until the last request has ended.
    void schedule_progress_report();

    load_generator_settings settings;
    load_plan plan;
    load_statistics statistics;
    asio::io_context context{1};
    backend::http_client http;
    asio::steady_timer arrival_timer;
    asio::steady_timer progress_timer;
    asio::steady_timer directory_timer;
    /// Selects the server of the next directory request, in turn.
    std::size_t directory_request_count = 0;
    steady_clock::time_point start;
    steady_clock::time_point last_event;
    std::function<void(load_progress const&)> on_progress;
    load_progress progress;
    bool all_planned = false; ///< The plan has no further requests.
};

void load_generator::implementation::schedule_next()
{
    planned_request planned;
    if (!plan.next(planned)) {
        all_planned = true;
        return;
    }
    arrival_timer.expires_at(start +
                             std::chrono::duration_cast<steady_clock::duration>(
                                 planned.start_offset));
    arrival_timer.async_wait([this, planned](asio::error_code failure) {
        if (failure) {
            return;
        }
        if (progress.open >= settings.max_open_requests) {
            record_unsent(planned);
        } else {
            send(planned);
        }
        schedule_next();
    });
}

void load_generator::implementation::send(planned_request const& planned)
{
    auto const& stream = plan.streams()[planned.stream_index];
    auto const request = std::make_shared<open_request>();
    request->planned_start =
        start + std::chrono::duration_cast<steady_clock::duration>(
                    planned.start_offset);
    request->record.stream_index = planned.stream_index;
    request->record.sequence_number = planned.sequence_number;
    request->record.is_straggler = planned.is_straggler;
    request->record.send_delay = steady_clock::now() - request->planned_start;
    auto const& server =
        settings.servers[planned.sequence_number % settings.servers.size()];
    backend::outgoing_request outgoing{
        .method = "POST",
        .url = "http://" + server + "/v1/chat/completions",
        .fields = {{"Content-Type", "application/json"}},
        .body = request_body(planned, stream),
        .repeatable = true,
        .total_timeout = settings.request_timeout};
    if (!stream.key.empty()) {
        outgoing.fields.emplace_back("Authorization", "Bearer " + stream.key);
    }
    if (!stream.service_class.empty()) {
        outgoing.fields.emplace_back("Medlarstall-Class", stream.service_class);
    }
    ++progress.sent;
    ++progress.open;
    http.start(std::move(outgoing),
               {.on_head =
                    [this, request](backend::response_head const& head) {
                        handle_response_head(*request, head);
                    },
                .on_data =
                    [this, request](std::string_view data) {
                        handle_response_data(*request, data);
                    },
                .on_done =
                    [this, request](backend::transfer_failure const* failure) {
                        finish_request(request, failure);
                    }});
}

void load_generator::implementation::handle_response_head(
    open_request& request, backend::response_head const& head)
{
    request.record.status = head.status;
    auto const daemon = backend::find_field(head.fields, "Medlarstall-Daemon");
    auto const server =
        backend::find_field(head.fields, "Medlarstall-Backend-Server");
    request.record.served_by = std::string{daemon};
    if (!server.empty()) {
        request.record.served_by += " " + std::string{server};
    }
    request.reported_not_run =
        backend::find_field(head.fields, "Medlarstall-Run") == "not-run";
}

void load_generator::implementation::handle_response_data(
    open_request& request, std::string_view data) const
{
    auto& record = request.record;
    if (record.status >= first_error_status) {
        request.error_body += data;
        return;
    }
    bool const is_valid =
        request.events.feed(data, [&](std::string_view event) {
            if (event == "[DONE]") {
                return true;
            }
            if (event.find(R"("error")") != std::string_view::npos) {
                request.error_body = event;
            } else if (event.find(R"("finish_reason":null)") ==
                       std::string_view::npos) {
                request.has_finish_reason = true;
            } else {
                if (record.output_tokens == 0) {
                    record.time_to_first_token =
                        steady_clock::now() - request.planned_start;
                }
                ++record.output_tokens;
            }
            return true;
        });
    request.has_finish_reason = request.has_finish_reason && is_valid;
}

void load_generator::implementation::finish_request(
    open_request_ptr const& request, backend::transfer_failure const* failure)
{
    auto& record = request->record;
    last_event = steady_clock::now();
    record.total_latency = last_event - request->planned_start;
    bool const success = record.status != 0 &&
                         record.status < first_error_status &&
                         failure == nullptr;
    if (success && request->has_finish_reason && request->error_body.empty()) {
        record.outcome = load_outcome::answered;
    } else if (request->reported_not_run) {
        record.outcome = load_outcome::not_run;
    } else if (record.output_tokens > 0) {
        record.outcome = load_outcome::truncated;
    }
    if (failure != nullptr) {
        record.error_message = failure->message;
    } else if (!request->error_body.empty()) {
        record.error_message = extract_error_code(request->error_body);
    }
    --progress.open;
    ++(record.outcome == load_outcome::answered ? progress.answered
                                                : progress.not_answered);
    statistics.add(std::move(record));
    if (all_planned && progress.open == 0) {
        progress_timer.cancel();
    }
}

void load_generator::implementation::record_unsent(
    planned_request const& planned)
{
    load_record record{.stream_index = planned.stream_index,
                       .sequence_number = planned.sequence_number,
                       .is_straggler = planned.is_straggler};
    record.error_message =
        "not sent: the limit of --max-open requests was reached";
    ++progress.sent;
    ++progress.not_answered;
    statistics.add(std::move(record));
}

void load_generator::implementation::request_directory()
{
    auto const& server =
        settings.servers[directory_request_count++ % settings.servers.size()];
    backend::outgoing_request request;
    request.url = "http://" + server + "/v1/entries";
    request.fields = {
        {"Authorization", "Bearer " + plan.streams().front().key}};
    request.total_timeout = directory_timeout;
    http.fetch(std::move(request), max_directory_bytes,
               [this](backend::fetch_result const& outcome) {
                   handle_directory_response(outcome);
               });
}

void load_generator::implementation::handle_directory_response(
    backend::fetch_result const& outcome)
{
    auto next_request_delay = directory_retry_interval;
    auto const* response = std::get_if<backend::fetched_response>(&outcome);
    auto const answer =
        response == nullptr
            ? nlohmann::json{}
            : nlohmann::json::parse(response->body, nullptr, false);
    if (answer.is_object() && answer.contains("entries") &&
        answer["entries"].is_array() && !answer["entries"].empty()) {
        settings.servers.clear();
        for (auto const& entry : answer["entries"]) {
            settings.servers.push_back(entry.value("address", "") + ":" +
                                       std::to_string(entry.value("port", 0)));
        }
        next_request_delay = std::chrono::milliseconds{
            answer.value("ttl_ms", directory_retry_interval.count())};
    }
    directory_timer.expires_after(next_request_delay);
    directory_timer.async_wait([this](asio::error_code failure) {
        if (!failure && !all_planned) {
            request_directory();
        }
    });
}

void load_generator::implementation::schedule_progress_report()
{
    progress_timer.expires_after(progress_interval);
    progress_timer.async_wait([this](asio::error_code failure) {
        if (failure || (all_planned && progress.open == 0)) {
            return;
        }
        progress.elapsed = steady_clock::now() - start;
        on_progress(progress);
        schedule_progress_report();
    });
}

load_generator::load_generator(load_generator_settings settings, load_plan plan)
    : implementation_{std::make_unique<implementation>(std::move(settings),
                                                       std::move(plan))}
{}

load_generator::~load_generator() = default;

void load_generator::run(std::function<void(load_progress const&)> on_progress)
{
    implementation_->on_progress = std::move(on_progress);
    implementation_->start = steady_clock::now();
    implementation_->last_event = implementation_->start;
    implementation_->schedule_next();
    if (implementation_->settings.follow_directory) {
        implementation_->request_directory();
    }
    implementation_->schedule_progress_report();
    while (!implementation_->all_planned ||
           implementation_->progress.open > 0) {
        implementation_->context.run_one();
    }
}

load_statistics const& load_generator::statistics() const
{
    return implementation_->statistics;
}

nanoseconds load_generator::elapsed() const
{
    return implementation_->last_event - implementation_->start;
}

} // namespace medlarstall::cli
