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

    /// Offers a plan made from committed(). Fails with `conflict` while another one is under way or the
    /// stored plan is not known. `attempt_id` is unique to this attempt.
    status propose(domain_plan plan, std::string attempt_id);
    /// Makes the next call read the document again, for example after a takeover.
    void refresh();

    std::optional<plan_call> next_call(time_point now);
    /// Fails with `malformed` or `refused` when the stored document does not pass its checks.
    status on_reply(const plan_reply& reply, time_point now);

    /// The plan in force, or null while none is known to be stored.
    const committed_plan* committed() const { return this->stored ? &*this->stored : nullptr; }
    /// Whether committed() is certain: no replacement is under way or unresolved. Orders are sent only then.
    bool certain() const { return this->known && !this->proposal; }
    /// Whether propose() succeeds.
    bool ready() const { return this->certain() && !this->pending; }
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
    void settle_proposal();
    void process_replace(const plan_reply& reply);

    failure_domain_id failure_domain;
    std::optional<committed_plan> stored;
    std::optional<proposed> proposal;
    std::optional<plan_call> pending;
    bool known{false};
    std::uint64_t calls_made{0};
    time_point retry_at{};
};

} // namespace rml
