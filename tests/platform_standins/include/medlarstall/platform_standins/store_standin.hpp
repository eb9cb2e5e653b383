#ifndef MEDLARSTALL_PLATFORM_STANDINS_STORE_STANDIN_HPP
#define MEDLARSTALL_PLATFORM_STANDINS_STORE_STANDIN_HPP

#include <medlarstall/http/http_listener.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarstall::platform_standins {

/// How a stand-in store treats its callers.
enum class store_mood
{
    serving,
    turning_away, ///< Answers 503.
    silent        ///< Takes requests and never answers.
};

/// A small store with keyed topics that speaks the platform's protocol.
class store_standin
{
public:
    /// \param context event loop
    /// \param address where to listen; by default any free port
    explicit store_standin(asio::io_context& context,
                           asio::ip::tcp::endpoint const& address = {
                               asio::ip::make_address("127.0.0.1"), 0});

    /// \return its address
    [[nodiscard]] asio::ip::tcp::endpoint address() const;

    /// Opens another address of the same store, for a daemon that the store may
    /// leave without answers.
    /// \return the address
    asio::ip::tcp::endpoint add_address();

    /// Leaves all calls at an added address without an answer from now on, also
    /// those that wait for records.
    /// \param address the added address
    void silence(asio::ip::tcp::endpoint const& address);

    /// Answers new calls at an added address again.
    /// \param address the added address
    void answer_again(asio::ip::tcp::endpoint const& address);

    /// Appends a record as another writer would.
    /// \param topic name of the topic
    /// \param key key of the record
    /// \param value its value; none removes the key
    void put(std::string const& topic, std::string const& key,
             std::optional<std::string> value);

    /// Deletes all records but the newest of each key.
    /// \param topic name of the topic
    void compact(std::string const& topic);

    /// Keeps a copy of all topics, for a later return from it.
    void take_copy() { copy_ = topics_; }

    /// Comes back from the copy: what was written since is gone, its offsets
    /// are given out again, and the era rises.
    void return_from_copy();

    /// \param mood how to treat callers from now on
    void set_mood(store_mood mood) { mood_ = mood; }

    /// Sets how many records a page of the newest records holds at most.
    /// \param records their number; above zero
    void set_page_size(std::size_t records) { page_size_ = records; }

    /// Answers each read of the newest records with the first page from now on,
    /// whatever key it continues after.
    void repeat_first_page() { repeats_first_page_ = true; }

    /// \return calls that it has received
    [[nodiscard]] std::size_t calls() const { return calls_; }

    /// \param topic name of the topic
    /// \param key key of a record
    /// \return its newest value
    [[nodiscard]] std::optional<std::string>
    newest(std::string const& topic, std::string const& key) const;

private:
    struct entry
    {
        std::string key;
        std::optional<std::string> value;
    };
    struct topic_log
    {
        std::vector<entry> records;
        std::size_t first = 0; ///< Offset of the first one that is kept.
    };

    /// An added address.
    struct entrance
    {
        std::unique_ptr<http::http_listener> listener;
        bool silent = false;
    };

    void on_request(std::unique_ptr<http::exchange> caller,
                    std::shared_ptr<entrance const> const& from);
    void respond(http::exchange& caller, http::response answer) const;
    void answer_newest(http::exchange& caller, topic_log const& log) const;
    void answer_read(std::shared_ptr<http::exchange> const& caller,
                     std::shared_ptr<entrance const> const& from,
                     std::string const& topic, int waits_left);
    void answer_append(http::exchange& caller, std::string const& topic);
    std::map<std::string, std::size_t>
    newest_offsets(topic_log const& log) const;

    asio::io_context& context_;
    http::http_listener listener_;
    std::map<std::string, topic_log> topics_;
    std::map<std::string, topic_log> copy_;
    std::uint64_t era_ = 1;
    std::vector<std::shared_ptr<entrance>> entrances_;
    std::vector<std::shared_ptr<http::exchange>> unanswered_;
    store_mood mood_ = store_mood::serving;
    std::size_t page_size_ = 500; // As the platform's store.
    bool repeats_first_page_ = false;
    std::size_t calls_ = 0;
};

} // namespace medlarstall::platform_standins

#endif
