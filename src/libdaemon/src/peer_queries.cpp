#include "peer_queries.hpp"

#include "daemon_context.hpp"

#include <medlarstall/peer/peer_stream.hpp>

#include <asio/steady_timer.hpp>

namespace medlarstall::daemon {

/// A question that was sent to many daemons, and the answers so far.
struct peer_queries::pending_query
{
    explicit pending_query(asio::io_context& io) : timer{io} {}

    void finish()
    {
        timer.cancel();
        for (auto const& stream : streams) {
            stream->reset();
        }
        streams.clear();
        if (auto const callback = std::exchange(on_done, nullptr)) {
            callback(std::move(answers));
        }
    }

    void on_stream_end()
    {
        if (open_streams == 0) {
            return;
        }
        --open_streams;
        if (open_streams == 0) {
            finish();
        }
    }

    asio::steady_timer timer;
    answers_callback on_done;
    std::map<std::string, nlohmann::json> answers;
    std::vector<std::shared_ptr<peer::peer_stream>> streams;
    std::size_t open_streams = 0;
};

peer_queries::peer_queries(daemon_context& context) : context_{context} {}

peer_queries::~peer_queries()
{
    alive_.reset();
}

void peer_queries::set_handler(std::string kind, query_handler handler)
{
    handlers_.insert_or_assign(std::move(kind), std::move(handler));
}

nlohmann::json peer_queries::answer_of(std::string const& kind,
                                       nlohmann::json const& question)
{
    auto const found = handlers_.find(kind);
    return found == handlers_.end() ? nlohmann::json{}
                                    : found->second(question);
}

void peer_queries::ask_all(std::string const& kind,
                           nlohmann::json const& question,
                           std::chrono::milliseconds timeout,
                           answers_callback on_done)
{
    auto const query = std::make_shared<pending_query>(context_.io);
    query->on_done = std::move(on_done);
    query->answers[context_.settings.id] = answer_of(kind, question);
    for (auto const& [id, daemon] : context_.known_fleet.daemons) {
        if (id == context_.settings.id) {
            continue;
        }
        auto const stream = context_.peers.open_stream(
            daemon.address, daemon.peer_port, std::string{query_path});
        ++query->open_streams;
        query->streams.push_back(stream);
        stream->on_message([query, from = id](peer::message answer) {
            query->answers[from] = std::move(answer);
        });
        stream->on_closed(
            [query](peer::stream_outcome) { query->on_stream_end(); });
        stream->send({{"kind", kind}, {"question", question}});
    }
    // on_done is always called from the event loop, also if there is no other
    // daemon to ask.
    query->timer.expires_after(
        query->open_streams == 0 ? std::chrono::milliseconds{0} : timeout);
    query->timer.async_wait([query](auto const& failure) {
        if (!failure) {
            query->finish();
        }
    });
}

void peer_queries::accept(std::shared_ptr<peer::peer_stream> const& stream)
{
    stream->on_message(
        [this, alive = std::weak_ptr{alive_},
         weak = std::weak_ptr{stream}](peer::message const& content) {
            auto const open_stream = weak.lock();
            if (alive.expired() || !open_stream) {
                return;
            }
            if (!content.is_object() || !content.contains("kind") ||
                !content["kind"].is_string() || !content.contains("question")) {
                ++context_.daemon_metrics.bad_peer_messages;
                open_stream->reset();
                return;
            }
            open_stream->send(answer_of(content["kind"], content["question"]));
            open_stream->half_close();
        });
}

} // namespace medlarstall::daemon
