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
    static constexpr std::size_t max_losses = 4;
    /// Losses that are kept of a part, the latest ones.
    static constexpr std::size_t max_part_losses = 8;

    struct counted_loss
    {
        std::uint64_t loss{0};
        time_point at{};
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

    bool counts(const counted_loss& loss) const { return !this->acquitted || loss.at > *this->acquitted; }
    /// Number of losses that count.
    std::size_t weight() const;
    bool lists(std::uint64_t loss) const;

    /// Adds a loss unless it is listed or there are too many. Returns whether a new loss has to be decided
    /// although all others are.
    bool add_loss(std::uint64_t loss, time_point at);
    /// Notes the final decision of another daemon that the loss was explained.
    void mark_explained(std::uint64_t loss);
    /// Sets the lifetime of the record of a part from its evidence.
    void update_part_expiry();

    crash_notice make_notice(request_fingerprint fingerprint, time_point now) const;
};

} // namespace rml
