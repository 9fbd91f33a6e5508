#include "decision/duty.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rml {

namespace {

/// Value of a duty's key.
struct duty_holder_record
{
    daemon_id holder;
    std::string attempt;
};

duty_holder_record parse_holder_record(const std::string& text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return {};
    }
    const auto field = [&](const char* name) {
        const auto found = document.find(name);
        return found != document.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    return {daemon_id(field("holder")), field("attempt")};
}

} // namespace

std::vector<daemon_id> rank_duty_candidates(const failure_domain_id& duty,
                                            const std::vector<duty_member>& members)
{
    struct ranked
    {
        bool same_domain;
        std::uint64_t weight;
        const duty_member* member;
    };
    std::vector<ranked> order;
    order.reserve(members.size());
    for (const auto& member : members) {
        order.push_back(
            {member.failure_domain == duty, rendezvous_weight(duty.str(), member.daemon.str()), &member});
    }
    const auto before = [](const ranked& a, const ranked& b) {
        if (a.same_domain != b.same_domain) {
            return b.same_domain;
        }
        return a.weight != b.weight ? a.weight > b.weight : a.member->daemon < b.member->daemon;
    };
    const auto count = std::min(limits::duty_candidates, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(), before);
    std::vector<daemon_id> candidates;
    for (std::size_t i = 0; i < count; ++i) {
        candidates.push_back(order[i].member->daemon);
    }
    return candidates;
}

duty::duty(failure_domain_id domain, daemon_id self, std::uint64_t incarnation)
    : failure_domain(std::move(domain)), self(std::move(self)), incarnation(incarnation)
{
}

duty_lease duty::lease() const
{
    return this->holds() ? duty_lease{this->lease_valid_until, this->settled} : duty_lease{};
}

std::string duty::current_attempt() const
{
    return this->self.str() + ":" + std::to_string(this->incarnation) + ":" + std::to_string(this->attempt);
}

std::string duty::key_value() const
{
    return nlohmann::json{{"holder", this->self.str()}, {"attempt", this->current_attempt()}}.dump();
}

void duty::discard_lease()
{
    this->step = phase::unknown;
    this->store_lease.clear();
    this->lease_valid_until = time_point{};
}

duty_call duty::make_call(duty_call_kind kind, time_point now)
{
    duty_call call;
    call.number = ++this->calls_made;
    call.kind = kind;
    call.key = "duty/" + this->failure_domain.str();
    call.lease = this->store_lease;
    call.ttl = limits::duty_lease;
    if (kind == duty_call_kind::watch) {
        call.revision = this->key_revision;
        call.wait = limits::duty_renewal;
    }
    if (kind == duty_call_kind::create_key) {
        call.value = this->key_value();
    }
    ++this->counts.calls;
    this->pending = call;
    this->pending_since = now;
    return call;
}

std::optional<duty_call> duty::next_call(time_point now, bool candidate)
{
    if (this->pending) {
        return std::nullopt;
    }
    if (!candidate) {
        const bool gives_up = this->holds();
        auto call = gives_up ? std::optional<duty_call>(this->make_call(duty_call_kind::destroy_lease, now))
                             : std::nullopt;
        this->discard_lease();
        return call;
    }
    if (now < this->due) {
        return std::nullopt;
    }
    switch (this->step) {
    case phase::unknown:
    case phase::reading_back:
        return this->make_call(duty_call_kind::read, now);
    case phase::waiting:
        return this->make_call(duty_call_kind::watch, now);
    case phase::vacant:
        return this->make_call(duty_call_kind::create_lease, now);
    case phase::lease_created:
        return this->make_call(duty_call_kind::create_key, now);
    case phase::holding:
        return this->make_call(duty_call_kind::renew_lease, now);
    }
    return std::nullopt;
}

void duty::start_holding(time_point now)
{
    this->step = phase::holding;
    this->holder = this->self;
    // The earlier holder's lease may have ended only now, and its last order may be in flight for up to the
    // order timeout.
    this->settled = now + limits::duty_lease + limits::order_timeout;
    this->due = this->lease_valid_until - limits::duty_lease + limits::duty_renewal;
    ++this->counts.acquired;
}

void duty::process_key(const duty_reply& reply, time_point now)
{
    this->due = now;
    if (reply.outcome == store_outcome::unchanged) {
        return;
    }
    const bool lease_usable = !this->store_lease.empty() && now < this->lease_valid_until;
    if (reply.outcome == store_outcome::not_found) {
        this->holder = daemon_id();
        this->step = lease_usable ? phase::lease_created : phase::vacant;
        return;
    }
    const auto stored_record = parse_holder_record(reply.value);
    this->key_revision = reply.revision;
    this->holder = stored_record.holder;
    // The key contains the attempt whose reply was lost, so that write took effect.
    if (lease_usable && stored_record.attempt == this->current_attempt()) {
        this->start_holding(now);
        return;
    }
    this->step = phase::waiting;
}

void duty::process_create_key(const duty_reply& reply, time_point now)
{
    this->due = now;
    if (reply.outcome == store_outcome::ok && now < this->lease_valid_until) {
        this->key_revision = reply.revision;
        this->start_holding(now);
        return;
    }
    this->step = phase::unknown;
}

void duty::process_renewal(const duty_reply& reply, time_point now)
{
    if (reply.outcome == store_outcome::ok) {
        this->lease_valid_until = this->pending_since + limits::duty_lease;
        this->due = this->pending_since + limits::duty_renewal;
        return;
    }
    ++this->counts.lapsed;
    this->discard_lease();
    this->due = now;
}

void duty::on_reply(const duty_reply& reply, time_point now)
{
    if (!this->pending || this->pending->number != reply.number) {
        return;
    }
    const auto kind = this->pending->kind;
    this->pending.reset();
    if (reply.outcome == store_outcome::lost) {
        ++this->counts.lost_replies;
        this->due = now + limits::duty_retry;
        if (kind == duty_call_kind::create_key) {
            this->step = phase::reading_back;
        }
        if (kind == duty_call_kind::watch) {
            this->step = phase::unknown;
        }
        return;
    }
    switch (kind) {
    case duty_call_kind::read:
    case duty_call_kind::watch:
        this->process_key(reply, now);
        return;
    case duty_call_kind::create_lease:
        ++this->attempt;
        this->store_lease = reply.lease;
        this->lease_valid_until = this->pending_since + limits::duty_lease;
        this->step = phase::lease_created;
        this->due = now;
        return;
    case duty_call_kind::create_key:
        this->process_create_key(reply, now);
        return;
    case duty_call_kind::renew_lease:
        this->process_renewal(reply, now);
        return;
    case duty_call_kind::destroy_lease:
        this->due = now;
        return;
    }
}

} // namespace rml
