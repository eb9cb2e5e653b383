#include "peer_queries.hpp"

#include "node.hpp"

#include <medlarstall/peer/peer_stream.hpp>

#include <asio/steady_timer.hpp>

namespace medlarstall::daemon {

/// One question to many daemons.
struct peer_queries::round
{
    explicit round(asio::io_context& io) : timer{io} {}

    void finish()
    {
        timer.cancel();
        for (auto const& stream : streams) {
            stream->reset();
        }
        streams.clear();
        if (auto const handler = std::exchange(on_done, nullptr)) {
            handler(std::move(answers));
        }
    }

    void note_end()
    {
        if (open == 0) {
            return;
        }
        --open;
        if (open == 0) {
            finish();
        }
    }

    asio::steady_timer timer;
    collector on_done;
    std::map<std::string, nlohmann::json> answers;
    std::vector<std::shared_ptr<peer::peer_stream>> streams;
    std::size_t open = 0;
};

peer_queries::peer_queries(node& shared) : node_{shared} {}

peer_queries::~peer_queries()
{
    alive_.reset();
}

void peer_queries::answer(std::string kind, answerer give)
{
    answerers_.insert_or_assign(std::move(kind), std::move(give));
}

nlohmann::json peer_queries::answer_to(std::string const& kind,
                                       nlohmann::json const& question)
{
    auto const found = answerers_.find(kind);
    return found == answerers_.end() ? nlohmann::json{}
                                     : found->second(question);
}

void peer_queries::ask_all(std::string const& kind,
                           nlohmann::json const& question,
                           std::chrono::milliseconds timeout, collector on_done)
{
    auto const made = std::make_shared<round>(node_.io);
    made->on_done = std::move(on_done);
    made->answers[node_.settings.id] = answer_to(kind, question);
    for (auto const& [id, daemon] : node_.known.daemons) {
        if (id == node_.settings.id) {
            continue;
        }
        auto const stream = node_.peers.open(daemon.address, daemon.peer_port,
                                             std::string{query_path});
        ++made->open;
        made->streams.push_back(stream);
        stream->on_message([made, from = id](peer::message answer) {
            made->answers[from] = std::move(answer);
        });
        stream->on_end([made](peer::stream_end) { made->note_end(); });
        stream->send({{"kind", kind}, {"question", question}});
    }
    // Answers come from the event loop, also if nobody else is asked.
    made->timer.expires_after(made->open == 0 ? std::chrono::milliseconds{0}
                                              : timeout);
    made->timer.async_wait([made](auto const& failure) {
        if (!failure) {
            made->finish();
        }
    });
}

void peer_queries::accept(std::shared_ptr<peer::peer_stream> const& stream)
{
    stream->on_message(
        [this, alive = std::weak_ptr{alive_},
         weak = std::weak_ptr{stream}](peer::message const& content) {
            auto const open = weak.lock();
            if (alive.expired() || !open) {
                return;
            }
            if (!content.is_object() || !content.contains("kind") ||
                !content["kind"].is_string() || !content.contains("question")) {
                ++node_.figures.bad_messages;
                open->reset();
                return;
            }
            open->send(answer_to(content["kind"], content["question"]));
            open->end();
        });
}

} // namespace medlarstall::daemon
