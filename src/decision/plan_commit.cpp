#include "decision/plan_commit.hpp"

namespace rml {

plan_commit::plan_commit(failure_domain_id domain) : failure_domain(std::move(domain)) {}

status plan_commit::propose(domain_plan plan, std::string attempt_id)
{
    if (!this->ready()) {
        return failure{failure_kind::conflict,
                       "plan/" + this->failure_domain.str() + ": not ready for a proposal"};
    }
    this->proposal = proposed{std::move(plan), std::move(attempt_id), this->revision()};
    return success();
}

void plan_commit::take_over(std::string attempt_id)
{
    this->known = false;
    this->taken_over = false;
    this->proposal.reset();
    this->pending.reset();
    this->takeover_attempt = std::move(attempt_id);
}

std::optional<plan_call> plan_commit::next_call(const duty_lease& lease, time_point now)
{
    const bool may_replace = this->proposal && lease.permits_orders(now);
    if (this->pending || now < this->retry_at || (this->known && !may_replace)) {
        return std::nullopt;
    }
    plan_call call;
    call.number = ++this->calls_made;
    call.key = "plan/" + this->failure_domain.str();
    if (this->known) {
        call.kind = plan_call_kind::replace;
        call.value = encode_plan(this->proposal->plan, this->proposal->attempt_id);
        call.expected = this->proposal->expected;
    }
    this->pending = call;
    return call;
}

void plan_commit::resolve_proposal()
{
    if (this->proposal) {
        const bool took_effect = this->stored && this->stored->attempt_id == this->proposal->attempt_id;
        const bool still_possible = this->revision() == this->proposal->expected;
        this->taken_over = this->taken_over || took_effect;
        if (took_effect || !still_possible) {
            this->proposal.reset();
        }
    }
    if (!this->taken_over && !this->proposal && this->stored) {
        this->proposal = proposed{this->stored->plan, this->takeover_attempt, this->stored->revision};
    }
}

status plan_commit::process_read(const plan_reply& reply)
{
    if (reply.outcome == store_outcome::not_found) {
        this->stored.reset();
    } else {
        auto decoded = decode_plan(reply.value, reply.revision);
        if (failed(decoded)) {
            return error(decoded);
        }
        this->stored = value(std::move(decoded));
    }
    this->known = true;
    this->resolve_proposal();
    return success();
}

void plan_commit::process_replace(const plan_reply& reply)
{
    if (reply.outcome == store_outcome::ok) {
        this->stored = committed_plan{std::move(this->proposal->plan), reply.revision,
                                      std::move(this->proposal->attempt_id)};
        this->proposal.reset();
        this->taken_over = true;
    } else {
        this->known = false; // the next read resolves the proposal
    }
}

status plan_commit::on_reply(const plan_reply& reply, time_point now)
{
    if (!this->pending || this->pending->number != reply.number) {
        return success();
    }
    const auto kind = this->pending->kind;
    this->pending.reset();
    if (reply.outcome == store_outcome::lost) {
        this->known = false;
        this->retry_at = now + limits::duty_retry;
        return success();
    }
    if (kind == plan_call_kind::read) {
        return this->process_read(reply);
    }
    this->process_replace(reply);
    return success();
}

} // namespace rml
