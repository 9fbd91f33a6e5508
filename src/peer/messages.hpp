/// Messages between daemons and their CBOR encoding. Unknown fields are ignored, so that two releases can run
/// together.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "decision/quota.hpp"
#include "decision/ramp.hpp"
#include "decision/replication.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rml::peer {

/// First message of the accepting side: a nonce that the opening side must sign in its hello.
struct challenge_message
{
    int version{0};
    std::string nonce;
};

enum class link_purpose
{
    overlay = 0, ///< carries replicated items
    direct = 1,  ///< carries reports, requests and grants to one daemon
};

/// Identifies and authenticates the sender. `mac` is the HMAC-SHA256 of the receiver's nonce and the fields,
/// keyed with the shared secret.
struct hello_message
{
    int version{0};
    daemon_id daemon;
    std::uint64_t incarnation{0};
    region_id region;
    failure_domain_id failure_domain;
    std::uint64_t generation{0}; ///< configuration in force
    link_purpose purpose{link_purpose::overlay};
    std::string nonce;
    std::string mac;
};

struct keepalive_message
{
    std::uint64_t generation{0};
};

/// Requests the receiver's full configuration set.
struct config_request_message
{
};

/// Encoded engine reports for the duty holder of a failure domain.
struct observe_message
{
    failure_domain_id failure_domain;
    std::string reports;
};

/// Requests the full statuses of the failure domain's engines from their observer.
struct observe_request_message
{
    failure_domain_id failure_domain;
};

using message =
    std::variant<challenge_message, hello_message, keepalive_message, config_request_message, push_message,
                 prune_message, summary_message, graft_message, observe_message, observe_request_message,
                 slot_request, slot_grant, slot_release, quota_request, quota_grant>;

/// CBOR bytes of one frame.
std::string encode(const message& m);

/// Fails with `malformed` on bytes that are not a message, `not_found` on an unknown message type of a later
/// release, `too_large` above limits::peer_frame_bytes.
result<message> decode(const std::string& bytes);

/// Signature of a hello under `secret` for the receiver's nonce, as lower-case hex.
std::string sign(const hello_message& hello, const std::string& receiver_nonce, const std::string& secret);

/// Whether the hello's `mac` is valid. Compares in constant time.
bool verify(const hello_message& hello, const std::string& own_nonce, const std::string& secret);

} // namespace rml::peer
