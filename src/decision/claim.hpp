/// At-most-once requests: the claim document in the store and the state machines that use it. Only the
/// attempt whose own create was confirmed sends the request; no attempt takes over the claim of another one.
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
    released, ///< the claiming attempt knows that the request was not run; the claim may be created again
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

/// Document stored under claim/<account>/<hash of the idempotency key>.
struct claim_document
{
    claim_state state{claim_state::claimed};
    std::string attempt_id; ///< of the attempt that created the claim
    std::string body_hash;  ///< of method, path and body
    claim_answer answer;    ///< only in state done

    friend bool operator==(const claim_document& a, const claim_document& b);
};

/// Encodes the document as CBOR, without a body that exceeds limits::claim_answer_bytes.
std::string encode_claim(const claim_document& document);

/// Fails with `malformed`.
result<claim_document> decode_claim(const std::string& bytes);

/// Store key of a claim. The caller's key is hashed to 128 bits, which makes collisions negligible.
std::string claim_key(const account_id& account, std::string_view idempotency_key);

/// Hash of a request, to distinguish a repeated request from a different one with the same idempotency key.
std::string claim_body_hash(std::string_view method, std::string_view target, std::string_view body);

/// A claim with its revision in the store.
struct stored_claim
{
    claim_document document;
    std::uint64_t revision{0};
};

/// Reply to a compare-and-swap: the new revision, or `conflict` when the expected revision is not the current
/// one. After any other failure it is unknown whether the write took effect or will take effect later.
using claim_write_reply = result<std::uint64_t>;

/// Reply to a read: the claim, or nothing when the store has no such key.
using claim_read_reply = result<std::optional<stored_claim>>;

/// The steps that an attempt asks its driver to take.
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
    failure reason;            ///< for the caller; the request was not run
    bool release_claim{false}; ///< a claim may exist, or a late write create it: release it in the background
    std::uint64_t expect{0};   ///< revision that the create expected
};
struct claim_unknown
{
    failure reason;            ///< for the caller; another request with this key may have run
    bool release_claim{false}; ///< the key may hold the own claim, whose request was not sent: release it
};
using claim_step =
    std::variant<claim_write, claim_read, claim_send, claim_replay, claim_refuse, claim_unknown>;

/// Writes the final state of the own claim in the background: done with the answer, or released. A release
/// also defeats a create that has not reached the store yet.
class claim_settlement
{
public:
    struct finished
    {
        bool settled{false}; ///< false: the final state was not written; the claim stays until it expires
    };
    using step = std::variant<claim_write, claim_read, finished>;

    /// `last`: final document of the attempt. `expect`: revision of the own claim or, when the create was not
    /// confirmed, the revision that the create expected.
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

/// State machine of one request from its idempotency key to the permission to send. Each call returns the
/// next step; the driver passes the reply to a write to on_write and the reply to a read to on_read.
class claim_attempt
{
public:
    /// `attempt_id` is unique over all attempts of all daemons.
    claim_attempt(std::string attempt_id, std::string body_hash, time_point deadline);

    claim_step start(time_point now);
    claim_step on_write(const claim_write_reply& reply, time_point now);
    claim_step on_read(const claim_read_reply& reply, time_point now);

    /// To be called directly before the first byte is sent. Returns claim_send, or claim_refuse after the
    /// deadline.
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
