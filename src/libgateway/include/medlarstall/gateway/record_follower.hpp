#ifndef MEDLARSTALL_GATEWAY_RECORD_FOLLOWER_HPP
#define MEDLARSTALL_GATEWAY_RECORD_FOLLOWER_HPP

#include <medlarstall/gateway/record_store.hpp>
#include <medlarstall/support/time.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace medlarstall::gateway {

/// How a ledger is read.
struct follow_settings
{
    std::chrono::milliseconds wait{2500};    ///< For the next record.
    std::chrono::milliseconds seldom{60000}; ///< While other daemons read.
    std::chrono::milliseconds pause{0};      ///< Between reads that found some.
    std::chrono::milliseconds first_backoff{100};
    std::chrono::milliseconds longest_backoff{800};
};

/// Which changes of a ledger another daemon asks for.
enum class change_choice
{
    all,
    that_matter
};

/// What the owner of a follower is told.
struct follow_events
{
    /// \return true if it matters to other daemons
    std::function<bool(record const&)> changed;
    /// The store has come back from an older copy; told before its records.
    std::function<void(std::uint64_t era)> restored;
    std::function<void(bool, char const*)> reachable; ///< And the reason.
};

/// Keeps the newest records of a ledger, from the store and from peers. A key
/// never goes back to an earlier record of the same era, and a new era is begun
/// with all its records. Owned by the gateway.
class record_follower : public std::enable_shared_from_this<record_follower>
{
public:
    /// \param context event loop
    /// \param which ledger to follow
    /// \param store where to read it
    /// \param settings how to read it
    /// \param events what to tell the owner
    record_follower(asio::io_context& context, ledger which,
                    record_store const& store, follow_settings settings,
                    follow_events events);

    /// Starts to read.
    void start() { read(); }

    /// Stops reading.
    void stop();

    /// Reads at once, for example after the machine has slept.
    void read_now();

    /// Reads at once if it waits after a failed read.
    void retry_now();

    /// Sets whether this daemon is one of those that read all the time. The
    /// others learn of records from them, and look themselves now and then.
    /// \param eager true if it reads all the time
    void set_eager(bool eager);

    /// Takes in records that another daemon has read.
    /// \param page its records
    void absorb(record_page const& page);

    /// Takes in that nothing that matters stands before an offset, as another
    /// daemon has read.
    /// \param next where to go on reading; of another era it counts for
    ///     nothing
    void skip_to(store_position next);

    /// \param after position up to which the asker knows the ledger
    /// \param which whether records that do not matter are left out
    /// \return the newest records of the keys that have changed since, or of
    ///     all keys where the changes are not known
    [[nodiscard]] record_page changes(store_position after,
                                      change_choice which) const;

    /// \return position up to which the ledger is known; the first one if
    ///     nothing is
    [[nodiscard]] store_position position() const
    {
        return next_.value_or(store_position{});
    }

    /// \return true once the ledger has been read
    [[nodiscard]] bool has_read() const { return next_.has_value(); }

    /// \return position behind the last record that matters
    [[nodiscard]] store_position changed_to() const { return changed_to_; }

    /// \param key a key
    /// \return its value, as far as known
    [[nodiscard]] std::optional<std::string>
    value_of(std::string const& key) const;

    /// \return true if the last read from the store brought an answer
    [[nodiscard]] bool store_reachable() const { return reachable_; }

    /// \return true if it reads all the time and gets answers, so that it would
    ///     notice an outage
    [[nodiscard]] bool reads_store() const { return eager_ && reachable_; }

    /// \return when the ledger was last known to be current
    [[nodiscard]] time_point read_at() const { return read_at_; }

private:
    void read();
    void on_result(std::uint64_t turn, page_result outcome);
    void on_failure(store_failure failure);
    void take(record_page const& page);
    void take_missing(record_page const& page);
    void take_record(record const& item, store_position behind);
    void schedule(std::chrono::milliseconds delay);
    void set_reachable(bool reachable, char const* reason);

    /// The newest record of a key, and its last change that matters.
    struct kept_record
    {
        record item;
        store_position behind;  ///< Where to read on after it.
        store_position changed; ///< The same of its last change that matters.
    };

    void keep(kept_record& kept);

    ledger which_;
    record_store const& store_;
    follow_settings settings_;
    follow_events events_;
    asio::steady_timer timer_;
    std::map<std::string, kept_record> newest_;
    std::optional<store_position> next_;
    store_position asked_from_; ///< Of the read that is under way.
    store_position changed_to_;
    store_position complete_from_; ///< Every change since is known.
    std::chrono::milliseconds backoff_;
    time_point read_at_;
    std::uint64_t turn_ = 0;
    bool forgotten_ = false; ///< A whole read must make up for a gap.
    bool reachable_ = false;
    bool backing_off_ = false; ///< Waits after a failed read.
    bool eager_ = false;
    bool told_ = false;
    bool stopped_ = false;
};

} // namespace medlarstall::gateway

#endif
