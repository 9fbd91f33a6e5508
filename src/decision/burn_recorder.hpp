/// Fills a daemon's burn ledger: which objectives a request counts for, lost group and accelerator time, and
/// failure-domain changes. Times are seconds of the wall clock since 1970.
#pragma once

#include "decision/burn.hpp"
#include "objects/objects.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace rml {

/// A request that has ended. Requests that were refused through the caller's own fault (wrong token,
/// malformed, over the account's limit) are not recorded.
struct request_sample
{
    model_pool_id pool; ///< one of pool and service is set
    service_id service;
    bool answered{false};                       ///< the caller received the whole answer
    std::optional<milliseconds> first_token;    ///< none: no token was sent
    std::optional<milliseconds> between_tokens; ///< mean; none: fewer than two tokens were sent
};

/// Group-time of one pool in one failure domain. Only the duty holder of the failure domain records it.
struct group_sample
{
    model_pool_id pool;
    failure_domain_id failure_domain;
    std::uint32_t wanted{0};  ///< groups that the failure domain should serve
    std::uint32_t serving{0}; ///< groups that serve; more than wanted count as wanted
};

/// Accelerators of one failure domain. Only its duty holder records them.
struct accelerator_sample
{
    failure_domain_id failure_domain;
    std::uint32_t healthy{0};
    std::uint32_t stranded{
        0}; ///< healthy and in no serving group although a pool wants groups; at most healthy
};

class burn_recorder
{
public:
    /// `source` is `daemon@incarnation`: counts of two runs must not be merged by the larger one.
    explicit burn_recorder(std::string source) : source(std::move(source)) {}

    /// Takes over the objectives of a set. A failure domain whose state differs from that of the previous set
    /// is a domain change; the first set gives none.
    void install_objects(const object_set& set, seconds at);

    void record_request(const request_sample& sample, seconds at);
    /// Counts a state that held for `elapsed` until `at`.
    void record_groups(const group_sample& sample, milliseconds elapsed, seconds at);
    void record_accelerators(const accelerator_sample& sample, milliseconds elapsed, seconds at);

    /// Drops what is older than burn_retention.
    void destroy_old(seconds now) { this->counts.destroy_before(now - burn_retention); }

    const burn_ledger& ledger() const { return this->counts; }

private:
    std::string source;
    object_set objects;
    burn_ledger counts;
};

} // namespace rml
