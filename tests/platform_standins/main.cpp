// Runs a stand-in of the platform as a process of its own, for the soak:
// the store, or a backend server that answers well, badly or not at all.

#include <medlarstall/platform_standins/store_standin.hpp>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>

using namespace medlarstall;

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t stream_events = 20;
constexpr milliseconds event_interval{10};

asio::ip::tcp::endpoint loopback(char const* port)
{
    return {asio::ip::make_address("127.0.0.1"),
            static_cast<std::uint16_t>(std::strtoul(port, nullptr, 10))};
}

/// Requests per second of a backend server that limits its rate.
constexpr char const* rate_limit = "3";

/// A backend server whose behaviour is drawn at random. Prints the id of each
/// attempt that arrives, with the time, and of each that it runs. SIGUSR1 makes
/// it limit its rate, and the next one ends that.
class random_server
{
public:
    random_server(asio::io_context& context, std::string id, unsigned seed)
        : context_{context}, id_{std::move(id)}, random_{seed},
          listener_{
              context,
              {[this](auto caller) { on_request(std::move(caller)); }, {}},
              512},
          limit_signals_{context, SIGUSR1}
    {
        await_limit_signal();
    }

    [[nodiscard]] status listen(asio::ip::tcp::endpoint const& address)
    {
        return listener_.listen(address);
    }

private:
    using caller_ptr = std::shared_ptr<http::exchange>;

    void await_limit_signal()
    {
        limit_signals_.async_wait([this](std::error_code cancelled, int) {
            if (!cancelled) {
                limited_ = !limited_;
                print_event(limited_ ? "limited" : "unlimited", id_);
                await_limit_signal();
            }
        });
    }

    static void print_event(char const* event, std::string const& subject)
    {
        auto const now = std::chrono::steady_clock::now().time_since_epoch();
        std::printf("%s %s %.6f\n", event, subject.c_str(),
                    std::chrono::duration<double>{now}.count());
        std::fflush(stdout);
    }

    int draw(int most)
    {
        return std::uniform_int_distribution{0, most}(random_);
    }

    http::response_head head_for(http::exchange& caller, int code) const
    {
        http::response_head head{code, {}, {}};
        auto const* const attempt = caller.head().headers.find("X-Attempt-Id");
        head.headers.add("X-Attempt-Id", attempt != nullptr ? *attempt : "");
        head.headers.add("X-Response-Seal", "seal");
        head.headers.add("X-Instance-Id", id_);
        if (limited_) {
            head.headers.add("Server-Limit", rate_limit);
        }
        return head;
    }

    void on_request(std::unique_ptr<http::exchange> caller)
    {
        auto const& headers = caller->head().headers;
        auto const* const expected = headers.find("X-Expect-Instance");
        auto const* const attempt = headers.find("X-Attempt-Id");
        print_event("arrived", attempt != nullptr ? *attempt : "-");
        if (caller->head().target == "/healthz") {
            caller->respond({head_for(*caller, 200), ""});
        } else if (expected == nullptr || *expected != id_) {
            caller->respond({head_for(*caller, 421), ""});
        } else if (draw(99) < 4) {
            auto head = head_for(*caller, 503);
            head.headers.add("X-Not-Executed", "1");
            caller->respond({head, ""});
        } else {
            run(std::move(caller));
        }
    }

    void run(caller_ptr const& caller)
    {
        auto const& headers = caller->head().headers;
        auto const* const attempt = headers.find("X-Attempt-Id");
        std::printf("run %s\n", attempt != nullptr ? attempt->c_str() : "-");
        std::fflush(stdout);
        auto const fate = draw(99);
        if (fate < 3) {
            caller->abort();
            return;
        }
        auto const stream =
            caller->head().target.find("stream") != std::string::npos ||
            caller->head().target.find("resume") != std::string::npos;
        if (stream) {
            std::uint64_t after = 0;
            if (auto const* const last = headers.find("Last-Event-Id")) {
                std::from_chars(last->data(), last->data() + last->size(),
                                after);
            }
            auto const cut = fate < 15 ? after + 1 + draw(10) : 0;
            caller->start_response(head_for(*caller, 200));
            later(event_interval, [this, caller, after, cut] {
                send_event(caller, after + 1, cut);
            });
            return;
        }
        later(milliseconds{1 + draw(20)}, [this, caller, fate] {
            auto const* const id = caller->head().headers.find("X-Attempt-Id");
            caller->respond({head_for(*caller, fate < 6 ? 500 : 200),
                             "done " + (id != nullptr ? *id : "")});
        });
    }

    void send_event(caller_ptr const& caller, std::uint64_t id,
                    std::uint64_t cut)
    {
        if (cut != 0 && id >= cut) {
            caller->write("id: ");
            caller->abort();
            return;
        }
        if (id > stream_events) {
            caller->finish();
            return;
        }
        auto const* const attempt = caller->head().headers.find("X-Attempt-Id");
        auto text = "id: " + std::to_string(id) + "\ndata: ";
        text += (attempt != nullptr ? *attempt : "") + "\n\n";
        caller->write(text);
        later(event_interval,
              [this, caller, id, cut] { send_event(caller, id + 1, cut); });
    }

    void later(milliseconds delay, std::function<void()> what)
    {
        auto timer = std::make_shared<asio::steady_timer>(context_, delay);
        timer->async_wait(
            [timer, what = std::move(what)](std::error_code cancelled) {
                if (!cancelled) {
                    what();
                }
            });
    }

    asio::io_context& context_;
    std::string id_;
    std::mt19937 random_;
    http::http_listener listener_;
    asio::signal_set limit_signals_;
    bool limited_ = false;
};

/// Adds records of another writer, and lets reads of all keys take several
/// pages, whose borders are at these keys.
void put_records_of_others(platform_standins::store_standin& store)
{
    store.set_page_size(1);
    for (auto const* const topic : {"keyed.op", "keyed.servers"}) {
        for (auto const* const key : {"a02%41", "a03&part=7", "a05+", "z z"}) {
            store.put(topic, key, "{}");
        }
    }
}

} // namespace

int main(int count, char** words)
{
    constexpr int store_words = 3;
    constexpr int server_words = 5;
    std::string const role = count > 1 ? words[1] : "";
    asio::io_context context{1};
    if (role == "store" && count == store_words) {
        platform_standins::store_standin store{context, loopback(words[2])};
        put_records_of_others(store);
        context.run();
        return EXIT_SUCCESS;
    }
    if (role == "server" && count == server_words) {
        auto const seed =
            static_cast<unsigned>(std::strtoul(words[4], nullptr, 10));
        random_server server{context, words[2], seed};
        if (failed(server.listen(loopback(words[3])))) {
            return EXIT_FAILURE;
        }
        context.run();
        return EXIT_SUCCESS;
    }
    std::fputs("Usage: platform-standin store PORT\n"
               "       platform-standin server ID PORT SEED\n",
               stderr);
    return EXIT_FAILURE;
}
