/// Commits the plan of one failure domain by compare-and-swap on its store revision. The plan in force is
/// always one that the store confirmed: read back, or acknowledged. A lost reply is resolved by reading back
/// and comparing the attempt id; a write that has not arrived yet is repeated with the same expected
/// revision, so that at most one of the two takes effect and none can arrive later unnoticed.
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

/// State of the plan document at one daemon. At most one store call is under way.
class plan_commit
{
public:
    explicit plan_commit(failure_domain_id domain);

    /// To be called when the duty was acquired. The document is read and committed again unchanged, so that
    /// its revision rises and a replacement that an earlier holder still has under way fails. Until then
    /// there are no orders. `attempt_id` is unique to this takeover.
    void take_over(std::string attempt_id);
    /// Offers a plan made from committed(). Fails with `conflict` while another one is under way or the
    /// stored plan is not known. `attempt_id` is unique to this attempt.
    status propose(domain_plan plan, std::string attempt_id);
    /// The store call to make now, if any. Replacements are made only while the lease is valid: otherwise one
    /// could come after the takeover by another holder that has read and fenced the document.
    std::optional<plan_call> next_call(const duty_lease& lease, time_point now);
    /// Fails with `malformed` or `refused` when the stored document does not pass its checks.
    status on_reply(const plan_reply& reply, time_point now);

    /// The plan in force, or null while none is known to be stored.
    const committed_plan* committed() const { return this->stored ? &*this->stored : nullptr; }
    /// Whether committed() is certain to be the plan in force while the lease lasts. Orders are sent only
    /// then.
    bool certain() const { return this->known && this->taken_over && !this->proposal; }
    /// Whether propose() succeeds: certain(), or no plan is stored yet.
    bool ready() const
    {
        return this->known && !this->proposal && !this->pending && (this->taken_over || !this->stored);
    }
    /// Revision whose orders may be sent now; 0 while committed() is not certain.
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
    bool known{false};      ///< `stored` was read or acknowledged, and no reply is outstanding
    bool taken_over{false}; ///< a write of this holder took effect since the takeover
    std::string takeover_attempt;
    std::uint64_t calls_made{0};
    time_point retry_at{};
};

} // namespace rml
