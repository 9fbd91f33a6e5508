/// Commits the plan of one failure domain by compare-and-swap on its store revision. The plan in force is
/// always one that the store has confirmed, by a read or by the acknowledgement of a write. A lost reply is
/// resolved by reading the plan and comparing its attempt id. If the write has not taken effect, it is
/// repeated with the same expected revision, so that at most one of the two writes succeeds and a delayed one
/// cannot take effect unnoticed.
#pragma once

#include "decision/duty.hpp"
#include "model/plan.hpp"

#include <optional>

namespace rml {

enum class plan_call_kind
{
    read,
    replace, ///< compare-and-swap against `expected` (0: the key must not exist)
};

struct plan_call
{
    std::uint64_t number{0};
    plan_call_kind kind{plan_call_kind::read};
    std::string key;
    std::string value;
    std::uint64_t expected{0};
};

struct plan_reply
{
    std::uint64_t number{0};
    store_outcome outcome{store_outcome::lost};
    std::uint64_t revision{0};
    std::string value; ///< of read
};

/// State of the plan document at one daemon. At most one store call is pending.
class plan_commit
{
public:
    explicit plan_commit(failure_domain_id domain);

    /// Must be called when the duty is acquired. Reads the document and commits it again unchanged, which
    /// raises its revision and makes a pending replacement of an earlier holder fail. No orders are permitted
    /// before that commit. `attempt_id` must be unique to this takeover.
    void take_over(std::string attempt_id);
    /// Proposes a plan that was derived from committed(). Fails with `conflict` while another proposal is
    /// pending or the stored plan is not known. `attempt_id` must be unique to this proposal.
    status propose(domain_plan plan, std::string attempt_id);
    /// The store call to make now, if any. Replacements are made only while the lease is valid: a later one
    /// could follow the takeover by another holder, which has read the document and raised its revision.
    std::optional<plan_call> next_call(const duty_lease& lease, time_point now);
    /// Fails with `malformed` or `refused` when the stored document does not pass its checks.
    status on_reply(const plan_reply& reply, time_point now);

    /// The last plan that the store confirmed, or null if none.
    const committed_plan* committed() const { return this->stored ? &*this->stored : nullptr; }
    /// Whether committed() is certain to be the plan in force while the lease is valid. Required for sending
    /// orders.
    bool certain() const { return this->known && this->taken_over && !this->proposal; }
    /// Whether propose() succeeds: the stored state is known, nothing is pending, and the plan is taken over
    /// or none is stored yet.
    bool ready() const
    {
        return this->known && !this->proposal && !this->pending && (this->taken_over || !this->stored);
    }
    /// Plan revision whose orders may be sent now; 0 unless certain().
    std::uint64_t orderable_revision() const { return this->certain() ? this->revision() : 0; }
    /// Revision of the stored document; 0: none.
    std::uint64_t revision() const { return this->stored ? this->stored->revision : 0; }

private:
    struct proposed
    {
        domain_plan plan;
        std::string attempt_id;
        std::uint64_t expected{0};
    };

    status process_read(const plan_reply& reply);
    void resolve_proposal();
    void process_replace(const plan_reply& reply);

    failure_domain_id failure_domain;
    std::optional<committed_plan> stored;
    std::optional<proposed> proposal;
    std::optional<plan_call> pending;
    bool known{false};      ///< `stored` was read or acknowledged; false after a failed or unanswered write
    bool taken_over{false}; ///< a write of this holder took effect since the takeover
    std::string takeover_attempt;
    std::uint64_t calls_made{0};
    time_point retry_at{};
};

} // namespace rml
