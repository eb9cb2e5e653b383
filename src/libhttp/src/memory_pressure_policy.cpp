#include <medlarstall/http/memory_pressure_policy.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace medlarstall::http {

namespace {

/// Once the budget is exceeded, so much is freed that an eighth of it is left,
/// so that the next bytes do not cause another decision at once.
constexpr std::size_t spare_divisor = 8;

/// Holders of little may hold this part of the budget together, whatever others
/// hold.
constexpr std::size_t small_share_divisor = 4;

/// \return bytes times milliseconds, by which holders are closed. What was read
///     ahead goes first, as its client loses least.
double closing_weight_of(memory_holder const& holder)
{
    if (holder.kind == holder_kind::further_requests) {
        return std::numeric_limits<double>::infinity();
    }
    std::chrono::duration<double, std::milli> const idle =
        holder.without_progress;
    return static_cast<double>(holder.bytes) * (idle.count() + 1);
}

bool is_small(memory_holder const& holder)
{
    return (holder.kind == holder_kind::unfinished_request ||
            holder.kind == holder_kind::unread_answer) &&
           holder.bytes < memory_pressure_policy::min_bytes;
}

/// State of one decision.
class pressure_step
{
public:
    pressure_step(std::vector<memory_holder> const& holders, std::size_t held,
                  std::size_t limit)
        : holders_{holders}, closed_(holders.size(), false), held_{held},
          limit_{limit}
    {
        for (std::size_t index = 0; index < holders.size(); ++index) {
            auto const& holder = holders[index];
            if (is_small(holder)) {
                small_.push_back(index);
                small_held_ += holder.bytes;
            } else if (holder.kind != holder_kind::nothing_closable) {
                closable_.push_back(index);
            }
            if (holder.waiting) {
                waiting_.push_back(index);
            }
            if (holder.granted) {
                grant(holder);
            }
        }
        auto const weight = [&](auto index) {
            return closing_weight_of(holders_[index]);
        };
        std::ranges::stable_sort(closable_, std::greater{}, weight);
        std::ranges::stable_sort(small_, std::greater{}, weight);
        std::ranges::stable_sort(
            waiting_, {}, [&](auto index) { return holders_[index].began; });
    }

    /// Refuses the requests that have waited for too long.
    void refuse_expired()
    {
        for (auto const index : waiting_) {
            if (holders_[index].waited >= memory_pressure_policy::max_wait) {
                close(index);
            }
        }
    }

    /// Closes the heaviest holders until the budget is kept.
    void free_excess()
    {
        if (held_ <= limit_) {
            return;
        }
        auto const target = limit_ - limit_ / spare_divisor;
        for (auto const index : closable_) {
            if (held_ <= target) {
                return;
            }
            close(index);
        }
        for (auto const index : small_) {
            if (held_ <= target ||
                small_held_ <= limit_ / small_share_divisor) {
                return;
            }
            small_held_ -= holders_[index].bytes;
            close(index);
        }
    }

    /// Closes stalled holders until the request that has waited longest fits.
    void free_for_waiting()
    {
        auto const first = first_waiting();
        if (first == nullptr) {
            return;
        }
        for (auto const index : closable_) {
            if (fits(*first)) {
                return;
            }
            auto const& holder = holders_[index];
            auto const stalled = holder.without_progress >=
                                 memory_pressure_policy::stalled_after;
            if (holder.kind == holder_kind::further_requests ||
                (!holder.waiting && stalled)) {
                close(index);
            }
        }
    }

    /// Resumes the waiting requests that fit, and at least one, since otherwise
    /// none of them would ever be read to its end.
    void resume_waiting()
    {
        for (auto const index : waiting_) {
            if (closed_[index]) {
                continue;
            }
            auto const& holder = holders_[index];
            if (!fits(holder) && granted_count_ > 0) {
                return;
            }
            grant(holder);
            decision_.resume.push_back(index);
        }
    }

    [[nodiscard]] pressure_decision take() { return std::move(decision_); }

private:
    void close(std::size_t index)
    {
        if (closed_[index]) {
            return;
        }
        closed_[index] = true;
        auto const& holder = holders_[index];
        held_ -= std::min(held_, holder.bytes);
        if (holder.granted) {
            granted_bytes_ -= holder.may_add;
            --granted_count_;
        }
        decision_.close.push_back(index);
    }

    [[nodiscard]] memory_holder const* first_waiting() const
    {
        auto const found = std::ranges::find_if(
            waiting_, [this](auto index) { return !closed_[index]; });
        return found == waiting_.end() ? nullptr : &holders_[*found];
    }

    [[nodiscard]] bool fits(memory_holder const& holder) const
    {
        return held_ + granted_bytes_ + holder.may_add <= limit_;
    }

    void grant(memory_holder const& holder)
    {
        granted_bytes_ += holder.may_add;
        ++granted_count_;
    }

    std::vector<memory_holder> const& holders_;
    std::vector<bool> closed_;
    std::vector<std::size_t> closable_; ///< Heaviest first.
    std::vector<std::size_t> small_;    ///< Heaviest first.
    std::size_t small_held_ = 0;        ///< By these, without closed ones.
    std::vector<std::size_t> waiting_;  ///< Longest first.
    std::size_t held_;
    std::size_t limit_;
    std::size_t granted_bytes_ = 0; ///< That resumed requests may still add.
    std::size_t granted_count_ = 0;
    pressure_decision decision_;
};

} // namespace

char const* name_of(holder_kind kind)
{
    switch (kind) {
    case holder_kind::nothing_closable:
        return "nothing_closable";
    case holder_kind::unfinished_request:
        return "unfinished_request";
    case holder_kind::further_requests:
        return "further_requests";
    case holder_kind::unread_answer:
        return "unread_answer";
    }
    return "unknown";
}

pressure_decision
memory_pressure_policy::decide(std::vector<memory_holder> const& holders,
                               std::size_t held, std::size_t limit)
{
    pressure_step step{holders, held, limit};
    step.refuse_expired();
    step.free_excess();
    step.free_for_waiting();
    step.resume_waiting();
    return step.take();
}

} // namespace medlarstall::http
