/// Evidence on one request or part of a prompt, and how it is merged with that of other daemons.
#pragma once

#include "base/time.hpp"
#include "decision/crash_notice.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace rml {

struct crash_record
{
    /// Unexplained losses after which a request is blocked. The second one normally happens in a trial.
    static constexpr std::size_t blocking_losses = 2;
    /// Losses after which a whole request that is judged with its parts may be refused: a sound request that
    /// is repeated at once may be in flight on two groups that others crash.
    static constexpr std::size_t refusing_losses = 3;
    /// Losses of any kind after which a whole request that is judged with its parts runs only in trials:
    /// other losses may have explained those of a request that crashes its targets.
    static constexpr std::size_t suspecting_losses = 4;
    /// Losses that are kept, the latest ones. If the first ones were kept, an early accident beside them
    /// would hide all later evidence.
    static constexpr std::size_t max_losses = 16;

    struct counted_loss
    {
        std::uint64_t loss{0};
        time_point at{};
        time_point sent{};    ///< when the request was first sent to the target
        bool trial{false};    ///< of a trial, which no other loss explains
        bool reported{false}; ///< first reported by another daemon, which classifies it
        bool decided{false};
        bool explained{false}; ///< valid once decided
    };

    std::uint64_t version{0};
    bool blocked{false};
    bool local{false}; ///< a request of this daemon was in flight on a lost group
    std::vector<counted_loss> counted_losses;
    time_point expires{};
    bool part{false};
    std::optional<time_point> acquitted; ///< parts: losses up to then do not count
    /// The last acquittal by a request of this daemon, the only one that it sends: the network delay makes
    /// an acquittal appear later at each daemon that passes it on.
    std::optional<time_point> own_acquittal;

    bool counts(const counted_loss& loss) const { return !this->acquitted || loss.at > *this->acquitted; }
    /// Notes an acquittal. Returns whether losses that counted count no more.
    bool acquit(time_point at);
    /// Number of losses that count.
    std::size_t weight() const;
    /// Whether the loss is listed, and whether it counts as well.
    bool lists(std::uint64_t loss) const;
    bool counts_loss(std::uint64_t loss) const;
    bool full() const { return this->counted_losses.size() >= max_losses; }
    /// Time of the first loss that counts; `time_point::max()` without one.
    time_point first_loss() const;
    /// Time of the latest loss that counts; the start of the clock without one.
    time_point latest_loss() const;
    /// End of the block that the losses justify. The time grows with each loss that came after the end of a
    /// block, as that of a trial does.
    time_point blocked_until() const;

    /// Adds a loss, or corrects the time of one that is listed: the network delay makes a loss appear later,
    /// so the earliest time applies. Returns whether a loss has to be decided although all others were.
    bool add_loss(const counted_loss& added);
    /// Notes the final decision of another daemon that the loss was explained.
    void mark_explained(std::uint64_t loss);
    /// Sets the lifetime of the record of a part after a change of its evidence.
    void update_part_expiry(time_point now);

    crash_notice make_notice(request_fingerprint fingerprint, time_point now) const;

private:
    /// Times of the losses that count, in order.
    std::vector<time_point> times() const;
};

} // namespace rml
