/// What requests that crash groups are recognised by, and the evidence that daemons exchange about them.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>
#include <vector>

namespace rml {

/// Hash of account, path and body.
struct request_fingerprint
{
    std::uint64_t value{0};

    friend bool operator==(const request_fingerprint& a, const request_fingerprint& b)
    {
        return a.value == b.value;
    }
};

request_fingerprint make_fingerprint(const account_id& account, std::string_view path, std::string_view body);

/// Fingerprint of a part of a prompt. Differs from that of any request.
request_fingerprint make_part_fingerprint(std::string_view part);

/// What a request can be recognised by when it crashes groups.
struct crash_features
{
    request_fingerprint whole;
    /// Parts of the prompt that other requests may share; at most `limits::crash_parts` are used.
    std::vector<request_fingerprint> parts;
};

/// One incarnation of a group and its failure domains. `incarnation` is the one of decision/ramp.
struct group_run
{
    group_id group;
    std::uint64_t incarnation{0};
    fabric_domain_id fabric;
    failure_domain_id domain;
};

/// Whether a request may run now.
enum class crash_verdict
{
    run,     ///< may run on any slot
    trial,   ///< suspected, may run only with a trial slot
    hold,    ///< has an unclassified loss; check again after `limits::classification_delay`
    refuse,  ///< has two unexplained losses that may still be explained; must not run now
    blocked, ///< must not run
};

/// The feature of a request that has the worst verdict.
struct crash_finding
{
    crash_verdict verdict{crash_verdict::run};
    request_fingerprint fingerprint;
    bool part{false}; ///< a part of the prompt, not the whole request
};

/// One loss that counts against a fingerprint, as exchanged between daemons.
struct crash_loss
{
    std::uint64_t loss{0}; ///< identifies the group and its incarnation
    bool explained{false}; ///< final decision that the loss was correlated with another
    milliseconds age{0};   ///< time since the loss
    bool trial{false};     ///< of a trial, which no other loss explains
    milliseconds ran{0};   ///< from the first send to this target to the loss
};

/// State of a fingerprint, as exchanged between daemons. For a whole request, a notice of a higher version
/// replaces the state and one of the same version is merged with it. For a part, the losses are united and
/// the latest acquittal applies, so that the result does not depend on order, loss or repetition of notices.
struct crash_notice
{
    request_fingerprint fingerprint;
    std::uint64_t version{0}; ///< raised when a trial clears the request
    bool blocked{false};
    std::vector<crash_loss> losses;              ///< at most `crash_record::max_losses`
    milliseconds ttl{0};                         ///< remaining lifetime at the time of sending
    bool part{false};                            ///< the fingerprint is that of a part of a prompt
    std::optional<milliseconds> acquitted_age{}; ///< time since the last acquittal; parts only
};

/// A document that is sent as CBOR.
nlohmann::json encode_crash_notice(const crash_notice& notice);
/// Fails with `malformed`, and with `too_large` for more losses than a record keeps.
result<crash_notice> decode_crash_notice(const nlohmann::json& row);

} // namespace rml
