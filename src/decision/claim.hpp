/// Once-only requests: the claim document of the store and the decisions around it. The request is sent only
/// by the attempt whose own create was confirmed; nobody takes a claim over.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace rml {

enum class claim_state
{
    claimed,  ///< an attempt may have sent the request, or still will
    done,     ///< the answer is stored
    released, ///< the claimant proved that the request was not run; the claim may be created again
};

/// The answer of the service as stored with a claim.
struct claim_answer
{
    int status{0};
    std::string content_type;
    std::string body;
    bool body_kept{true}; ///< false: the body exceeded limits::claim_answer_bytes

    friend bool operator==(const claim_answer& a, const claim_answer& b);
};

/// Document under claim/<account>/<hash of key>.
struct claim_document
{
    claim_state state{claim_state::claimed};
    std::string attempt_id; ///< of the attempt that created the claim
    std::string body_hash;  ///< of method, path and body
    claim_answer answer;    ///< only in state done

    friend bool operator==(const claim_document& a, const claim_document& b);
};

/// CBOR document. A body above limits::claim_answer_bytes is left out.
std::string encode_claim(const claim_document& document);

/// Fails with `malformed`.
result<claim_document> decode_claim(const std::string& bytes);

/// Store key of a claim. The key of the caller is hashed with 128 bits, so that keys do not collide.
std::string claim_key(const account_id& account, std::string_view idempotency_key);

/// Hash of what is called, to tell a repeated request from another one under the same key.
std::string claim_body_hash(std::string_view method, std::string_view target, std::string_view body);

/// A claim with its revision in the store.
struct stored_claim
{
    claim_document document;
    std::uint64_t revision{0};
};

/// Reply to a compare-and-swap: the new revision, `conflict` when the expected revision is not the current
/// one, or any other failure when it is unknown whether the write took effect or ever will.
using claim_write_reply = result<std::uint64_t>;

/// Reply to a read: the claim, or nothing when the key does not exist.
using claim_read_reply = result<std::optional<stored_claim>>;

/// What the attempt does next.
struct claim_write
{
    claim_document document;
    std::uint64_t expect{0}; ///< 0: create
};
struct claim_read
{
    milliseconds wait{0}; ///< pause before the read
};
struct claim_send
{
};
struct claim_replay
{
    claim_answer answer; ///< stored answer of an earlier request with this key
};
struct claim_refuse
{
    failure reason;            ///< the request was not run
    bool release_claim{false}; ///< a claim may exist, or appear later: release it in the background
    std::uint64_t expect{0};   ///< revision that the create expected
};
struct claim_unknown
{
    failure reason;            ///< another request with this key may have run
    bool release_claim{false}; ///< the key may hold the own claim, which was not sent: release it
};
using claim_step =
    std::variant<claim_write, claim_read, claim_send, claim_replay, claim_refuse, claim_unknown>;

/// Brings the own claim into its last state in the background: done with the answer, or released. A release
/// also stops a create that is still on the way to the store.
class claim_settlement
{
public:
    struct finished
    {
        bool settled{false}; ///< false: gave up; the claim may stay as it is until it expires
    };
    using step = std::variant<claim_write, claim_read, finished>;

    /// `last` is the last document of the attempt; `expect` is the revision of the own claim or, when the
    /// create was not confirmed, the revision that the create expected.
    claim_settlement(claim_document last, std::uint64_t expect);

    step start();
    step on_write(const claim_write_reply& reply);
    step on_read(const claim_read_reply& reply);

private:
    step write(std::uint64_t expect);
    step retry();

    claim_document last;
    std::uint64_t expected;
    std::uint32_t failures{0};
};

/// The way of one request from its key to the permission to send. Each call answers the step to take; a write
/// is answered by on_write, a read by on_read.
class claim_attempt
{
public:
    /// `attempt_id` is unique over all attempts of all daemons.
    claim_attempt(std::string attempt_id, std::string body_hash, time_point deadline);

    claim_step start(time_point now);
    claim_step on_write(const claim_write_reply& reply, time_point now);
    claim_step on_read(const claim_read_reply& reply, time_point now);

    /// Asked directly before the first byte is sent. Answers claim_send, or claim_refuse after the deadline.
    claim_step before_send(time_point now) const;

    /// Settlement that stores the answer of the service.
    claim_settlement store_answer(claim_answer answer) const;
    /// Settlement that releases the claim: nothing was sent, or the service refused to run the request.
    claim_settlement release() const;

private:
    claim_step create(std::uint64_t expect);
    claim_step wait(claim_unknown fallback, time_point now);
    claim_document own_document(claim_state state) const;
    std::uint64_t settle_from() const;

    std::string attempt_id;
    std::string body_hash;
    time_point deadline;
    std::uint64_t expected{0};
    std::uint64_t own_revision{0};
    std::uint32_t polls{0};
};

} // namespace rml
