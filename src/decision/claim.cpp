#include "decision/claim.hpp"

#include "base/bounded_cbor.hpp"
#include "base/hash.hpp"
#include "base/limits.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace rml {

namespace {

constexpr std::uint64_t second_hash_seed = 0x9e3779b97f4a7c15ULL;

std::string hash128(std::string_view bytes)
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(hash64(bytes)),
                  static_cast<unsigned long long>(hash64(bytes, second_hash_seed)));
    return std::string(text.data(), text.size() - 1);
}

std::string_view name_of(claim_state state)
{
    switch (state) {
    case claim_state::claimed:
        return "claimed";
    case claim_state::done:
        return "done";
    case claim_state::released:
        break;
    }
    return "released";
}

std::optional<claim_state> state_of(std::string_view name)
{
    for (const auto state : {claim_state::claimed, claim_state::done, claim_state::released}) {
        if (name_of(state) == name) {
            return state;
        }
    }
    return std::nullopt;
}

} // namespace

bool operator==(const claim_answer& a, const claim_answer& b)
{
    return a.status == b.status && a.content_type == b.content_type && a.body == b.body &&
           a.body_kept == b.body_kept;
}

bool operator==(const claim_document& a, const claim_document& b)
{
    return a.state == b.state && a.attempt_id == b.attempt_id && a.body_hash == b.body_hash &&
           a.answer == b.answer;
}

std::string encode_claim(const claim_document& document)
{
    nlohmann::json out{{"state", std::string(name_of(document.state))},
                       {"attempt_id", document.attempt_id},
                       {"body_hash", document.body_hash}};
    if (document.state == claim_state::done) {
        const auto& answer = document.answer;
        const bool kept = answer.body_kept && answer.body.size() <= limits::claim_answer_bytes;
        const std::string_view body = kept ? std::string_view(answer.body) : std::string_view{};
        out["status"] = answer.status;
        out["content_type"] = answer.content_type;
        out["body_kept"] = kept;
        out["body"] = nlohmann::json::binary({body.begin(), body.end()});
    }
    std::string bytes;
    nlohmann::json::to_cbor(out, bytes);
    return bytes;
}

result<claim_document> decode_claim(const std::string& bytes)
{
    try {
        const auto in = decode_bounded_cbor(bytes);
        claim_document document;
        const auto state = state_of(in.at("state").get<std::string>());
        if (!state) {
            return failure{failure_kind::malformed, "claim: unknown state"};
        }
        document.state = *state;
        document.attempt_id = in.at("attempt_id").get<std::string>();
        document.body_hash = in.at("body_hash").get<std::string>();
        if (document.state == claim_state::done) {
            document.answer.status = in.at("status").get<int>();
            document.answer.content_type = in.at("content_type").get<std::string>();
            document.answer.body_kept = in.at("body_kept").get<bool>();
            const auto& body = in.at("body").get_binary();
            document.answer.body.assign(body.begin(), body.end());
        }
        return document;
    } catch (const nlohmann::json::exception& e) {
        return failure{failure_kind::malformed, std::string("claim: ") + e.what()};
    }
}

std::string claim_key(const account_id& account, std::string_view idempotency_key)
{
    return "claim/" + account.str() + "/" + hash128(idempotency_key);
}

std::string claim_body_hash(std::string_view method, std::string_view target, std::string_view body)
{
    std::string all;
    all.reserve(method.size() + target.size() + body.size() + 2);
    all.append(method).append("\n").append(target).append("\n").append(body);
    return hash128(all);
}

claim_attempt::claim_attempt(std::string attempt_id, std::string body_hash, time_point deadline)
    : attempt_id(std::move(attempt_id)), body_hash(std::move(body_hash)), deadline(deadline)
{
}

claim_document claim_attempt::own_document(claim_state state) const
{
    return claim_document{state, this->attempt_id, this->body_hash, {}};
}

claim_step claim_attempt::create(std::uint64_t expect)
{
    this->expected = expect;
    return claim_write{this->own_document(claim_state::claimed), expect};
}

claim_step claim_attempt::start(time_point now)
{
    if (now >= this->deadline) {
        return claim_refuse{{failure_kind::timeout, "deadline passed before the claim"}, false};
    }
    return this->create(0);
}

claim_step claim_attempt::on_write(const claim_write_reply& reply, time_point now)
{
    if (succeeded(reply)) {
        this->own_revision = value(reply);
        return this->before_send(now);
    }
    if (error(reply).kind == failure_kind::conflict) {
        return claim_read{};
    }
    // The write may still take effect, but this attempt never sends the request, so the refusal is correct in
    // any case.
    return claim_refuse{{failure_kind::unavailable, "claim not confirmed: " + error(reply).context}, true};
}

claim_step claim_attempt::on_read(const claim_read_reply& reply, time_point now)
{
    const bool late = now >= this->deadline;
    if (failed(reply)) {
        return this->wait({{failure_kind::outcome_unknown, "claim of this key not readable"}, true}, now);
    }
    if (!value(reply)) {
        return late ? claim_step(
                          claim_unknown{{failure_kind::outcome_unknown, "claim of this key expired"}, false})
                    : this->create(0);
    }
    const auto& [document, revision] = *value(reply);
    if (document.body_hash != this->body_hash) {
        return claim_refuse{{failure_kind::conflict, "Idempotency-Key was used with another body"}, false};
    }
    if (document.state == claim_state::done) {
        return claim_replay{document.answer};
    }
    if (document.state == claim_state::released) {
        return late ? claim_step(claim_refuse{{failure_kind::timeout, "deadline passed"}, false})
                    : this->create(revision);
    }
    if (document.attempt_id == this->attempt_id) {
        // The store client lost the reply to the create, repeated the write and got a conflict with its own
        // claim.
        this->own_revision = revision;
        return this->before_send(now);
    }
    return this->wait({{failure_kind::outcome_unknown, "call with this key still in progress"}, false}, now);
}

claim_step claim_attempt::wait(claim_unknown fallback, time_point now)
{
    // The last read must end before the deadline, so that the caller's answer is not late.
    const auto left = this->deadline - now - limits::claim_poll_interval;
    if (left <= duration::zero()) {
        return fallback;
    }
    const auto doublings = std::min(this->polls++, limits::claim_poll_doublings);
    const duration pause = limits::claim_poll_interval * (std::int64_t{1} << doublings);
    return claim_read{std::chrono::ceil<milliseconds>(std::min(pause, left))};
}

claim_step claim_attempt::before_send(time_point now) const
{
    if (now >= this->deadline) {
        return claim_refuse{{failure_kind::timeout, "deadline passed before sending"}, true};
    }
    return claim_send{};
}

std::uint64_t claim_attempt::settle_from() const
{
    return this->own_revision != 0 ? this->own_revision : this->expected;
}

claim_settlement claim_attempt::store_answer(claim_answer answer) const
{
    auto document = this->own_document(claim_state::done);
    document.answer = std::move(answer);
    return {std::move(document), this->settle_from()};
}

claim_settlement claim_attempt::release() const
{
    return {this->own_document(claim_state::released), this->settle_from()};
}

claim_settlement::claim_settlement(claim_document last, std::uint64_t expect)
    : last(std::move(last)), expected(expect)
{
}

claim_settlement::step claim_settlement::write(std::uint64_t expect)
{
    this->expected = expect;
    return claim_write{this->last, expect};
}

claim_settlement::step claim_settlement::retry()
{
    if (++this->failures > limits::claim_settle_attempts) {
        return finished{false};
    }
    const auto doublings = std::min<std::uint32_t>(this->failures, limits::claim_settle_doublings);
    return claim_read{limits::claim_poll_interval * (std::int64_t{1} << doublings)};
}

claim_settlement::step claim_settlement::start()
{
    // The write expects the same revision as the create: if this write takes effect, a late create conflicts.
    return this->write(this->expected);
}

claim_settlement::step claim_settlement::on_write(const claim_write_reply& reply)
{
    if (succeeded(reply)) {
        return finished{true};
    }
    return error(reply).kind == failure_kind::conflict ? step(claim_read{}) : this->retry();
}

claim_settlement::step claim_settlement::on_read(const claim_read_reply& reply)
{
    if (failed(reply)) {
        return this->retry();
    }
    const bool releasing = this->last.state == claim_state::released;
    if (!value(reply)) {
        return releasing ? this->write(0) : step(finished{false});
    }
    const auto& [document, revision] = *value(reply);
    if (document.attempt_id == this->last.attempt_id) {
        return document.state == claim_state::claimed ? this->write(revision) : step(finished{true});
    }
    // A released claim at the expected revision: the own create may still reach the store and take effect.
    if (releasing && document.state == claim_state::released && revision == this->expected) {
        return this->write(revision);
    }
    return finished{releasing};
}

} // namespace rml
