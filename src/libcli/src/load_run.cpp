#include <medlarstall/cli/load_run.hpp>

#include <medlarstall/backend/event_stream.hpp>
#include <medlarstall/backend/http_client.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

namespace medlarstall::cli {

namespace {

using std::chrono::nanoseconds;
using steady_clock = std::chrono::steady_clock;

constexpr std::chrono::seconds progress_interval{1};
constexpr int first_failure_status = 300;
constexpr std::size_t longest_message = 120;
constexpr std::chrono::milliseconds directory_timeout{2'000};
constexpr std::chrono::milliseconds directory_retry{200};
constexpr std::size_t max_directory_bytes = std::size_t{1} << 20U;

/// A request that was sent and has not ended.
struct open_request
{
    load_record record;
    steady_clock::time_point planned;
    backend::event_stream events;
    bool finished = false;
    std::string error_body;
    bool said_not_run = false;
};

using open_request_ptr = std::shared_ptr<open_request>;

std::string request_body(planned_request const& planned,
                         load_stream const& stream)
{
    nlohmann::json const body{
        {"model", stream.model},
        {"stream", true},
        {"max_tokens", planned.tokens},
        {"messages",
         {{{"role", "user"},
           {"content", make_prompt(planned, stream.prompt_bytes)}}}}};
    return body.dump();
}

std::string error_message(std::string const& body)
{
    auto const parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("error") ||
        !parsed["error"].is_object()) {
        return body.substr(0, longest_message);
    }
    return parsed["error"].value("code", "no code");
}

} // namespace

struct load_run::implementation
{
    implementation(load_run_settings from, load_plan planned)
        : settings{std::move(from)}, plan{std::move(planned)},
          statistics{plan.streams()}, http{context, {}}, arrivals{context},
          ticks{context}, directory{context}
    {}

    void schedule_next();
    void read_directory();
    void take_directory(backend::fetch_result const& outcome);
    void send(planned_request const& planned);
    void take_head(open_request& request, backend::response_head const& head);
    void take_data(open_request& request, std::string_view data) const;
    void end(open_request_ptr const& request,
             backend::transfer_failure const* failure);
    void refuse(planned_request const& planned);
    void tick();

    load_run_settings settings;
    load_plan plan;
    load_statistics statistics;
    asio::io_context context{1};
    backend::http_client http;
    asio::steady_timer arrivals;
    asio::steady_timer ticks;
    asio::steady_timer directory;
    std::size_t directory_turn = 0;
    steady_clock::time_point start;
    steady_clock::time_point last_event;
    std::function<void(load_progress const&)> on_progress;
    load_progress progress;
    bool planned_all = false;
};

void load_run::implementation::schedule_next()
{
    planned_request planned;
    if (!plan.next(planned)) {
        planned_all = true;
        return;
    }
    arrivals.expires_at(
        start + std::chrono::duration_cast<steady_clock::duration>(planned.at));
    arrivals.async_wait([this, planned](asio::error_code failure) {
        if (failure) {
            return;
        }
        if (progress.open >= settings.max_open) {
            refuse(planned);
        } else {
            send(planned);
        }
        schedule_next();
    });
}

void load_run::implementation::send(planned_request const& planned)
{
    auto const& stream = plan.streams()[planned.stream];
    auto const request = std::make_shared<open_request>();
    request->planned =
        start + std::chrono::duration_cast<steady_clock::duration>(planned.at);
    request->record.stream = planned.stream;
    request->record.number = planned.number;
    request->record.straggler = planned.straggler;
    request->record.late = steady_clock::now() - request->planned;
    auto const& server =
        settings.servers[planned.number % settings.servers.size()];
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
    http.start(
        std::move(outgoing),
        {.on_head =
             [this, request](backend::response_head const& head) {
                 take_head(*request, head);
             },
         .on_data = [this, request](
                        std::string_view data) { take_data(*request, data); },
         .on_done =
             [this, request](backend::transfer_failure const* failure) {
                 end(request, failure);
             }});
}

void load_run::implementation::take_head(open_request& request,
                                         backend::response_head const& head)
{
    request.record.status = head.status;
    auto const daemon = backend::find_field(head.fields, "Medlarstall-Daemon");
    auto const server =
        backend::find_field(head.fields, "Medlarstall-Backend-Server");
    request.record.served_by = std::string{daemon};
    if (!server.empty()) {
        request.record.served_by += " " + std::string{server};
    }
    request.said_not_run =
        backend::find_field(head.fields, "Medlarstall-Run") == "not-run";
}

void load_run::implementation::take_data(open_request& request,
                                         std::string_view data) const
{
    auto& record = request.record;
    if (record.status >= first_failure_status) {
        request.error_body += data;
        return;
    }
    bool const readable =
        request.events.feed(data, [&](std::string_view event) {
            if (event == "[DONE]") {
                return true;
            }
            if (event.find(R"("error")") != std::string_view::npos) {
                request.error_body = event;
            } else if (event.find(R"("finish_reason":null)") ==
                       std::string_view::npos) {
                request.finished = true;
            } else {
                if (record.tokens == 0) {
                    record.first_token = steady_clock::now() - request.planned;
                }
                ++record.tokens;
            }
            return true;
        });
    request.finished = request.finished && readable;
}

void load_run::implementation::end(open_request_ptr const& request,
                                   backend::transfer_failure const* failure)
{
    auto& record = request->record;
    last_event = steady_clock::now();
    record.total = last_event - request->planned;
    bool const success = record.status != 0 &&
                         record.status < first_failure_status &&
                         failure == nullptr;
    if (success && request->finished && request->error_body.empty()) {
        record.outcome = load_outcome::answered;
    } else if (request->said_not_run) {
        record.outcome = load_outcome::not_run;
    } else if (record.tokens > 0) {
        record.outcome = load_outcome::cut;
    }
    if (failure != nullptr) {
        record.message = failure->message;
    } else if (!request->error_body.empty()) {
        record.message = error_message(request->error_body);
    }
    --progress.open;
    ++(record.outcome == load_outcome::answered ? progress.answered
                                                : progress.not_answered);
    statistics.add(std::move(record));
    if (planned_all && progress.open == 0) {
        ticks.cancel();
    }
}

void load_run::implementation::refuse(planned_request const& planned)
{
    load_record record{.stream = planned.stream,
                       .number = planned.number,
                       .straggler = planned.straggler};
    record.message = "not sent: --max-open requests were open";
    ++progress.sent;
    ++progress.not_answered;
    statistics.add(std::move(record));
}

void load_run::implementation::read_directory()
{
    auto const& server =
        settings.servers[directory_turn++ % settings.servers.size()];
    backend::outgoing_request request;
    request.url = "http://" + server + "/v1/entries";
    request.fields = {
        {"Authorization", "Bearer " + plan.streams().front().key}};
    request.total_timeout = directory_timeout;
    http.fetch(std::move(request), max_directory_bytes,
               [this](backend::fetch_result const& outcome) {
                   take_directory(outcome);
               });
}

void load_run::implementation::take_directory(
    backend::fetch_result const& outcome)
{
    auto next = directory_retry;
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
        next = std::chrono::milliseconds{
            answer.value("ttl_ms", directory_retry.count())};
    }
    directory.expires_after(next);
    directory.async_wait([this](asio::error_code failure) {
        if (!failure && !planned_all) {
            read_directory();
        }
    });
}

void load_run::implementation::tick()
{
    ticks.expires_after(progress_interval);
    ticks.async_wait([this](asio::error_code failure) {
        if (failure || (planned_all && progress.open == 0)) {
            return;
        }
        progress.elapsed = steady_clock::now() - start;
        on_progress(progress);
        tick();
    });
}

load_run::load_run(load_run_settings settings, load_plan plan)
    : parts_{std::make_unique<implementation>(std::move(settings),
                                              std::move(plan))}
{}

load_run::~load_run() = default;

void load_run::run(std::function<void(load_progress const&)> on_progress)
{
    parts_->on_progress = std::move(on_progress);
    parts_->start = steady_clock::now();
    parts_->last_event = parts_->start;
    parts_->schedule_next();
    if (parts_->settings.follow_directory) {
        parts_->read_directory();
    }
    parts_->tick();
    while (!parts_->planned_all || parts_->progress.open > 0) {
        parts_->context.run_one();
    }
}

load_statistics const& load_run::statistics() const
{
    return parts_->statistics;
}

nanoseconds load_run::wall() const
{
    return parts_->last_event - parts_->start;
}

} // namespace medlarstall::cli
