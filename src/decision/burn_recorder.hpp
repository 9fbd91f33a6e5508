/// Records requests, lost group and accelerator time and failure-domain changes in a daemon's burn ledger.
/// Times are seconds of the wall clock since 1970.
#pragma once

#include "decision/burn.hpp"
#include "objects/objects.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace rml {

/// A request that has ended. Requests refused because of an error of the caller (wrong token, malformed, over
/// the account's limit) are not recorded.
struct request_sample
{
    model_pool_id pool; ///< exactly one of `pool` and `service` is set
    service_id service;
    bool answered{false};                       ///< the caller received the complete answer
    std::optional<milliseconds> first_token;    ///< no value if no token was sent
    std::optional<milliseconds> between_tokens; ///< mean; no value if fewer than two tokens were sent
};

/// Numbers of groups of one pool in one failure domain. Only the duty holder of the failure domain records
/// them.
struct group_sample
{
    model_pool_id pool;
    failure_domain_id failure_domain;
    std::uint32_t wanted{0};  ///< groups that the failure domain should serve
    std::uint32_t serving{0}; ///< groups that serve; those beyond `wanted` do not count
};

/// Numbers of accelerators in one failure domain. Only its duty holder records them.
struct accelerator_sample
{
    failure_domain_id failure_domain;
    std::uint32_t healthy{0};
    std::uint32_t stranded{0}; ///< healthy, in no serving group, and a pool lacks groups; at most `healthy`
};

class burn_recorder
{
public:
    /// `source` is `daemon@incarnation`, because a merge would drop the smaller counts of two incarnations
    /// under one name.
    explicit burn_recorder(std::string source) : source(std::move(source)) {}

    /// Installs the objectives of a set. Records a domain change for each failure domain whose state differs
    /// from the previous set; the first set records none.
    void install_objects(const object_set& set, seconds at);

    void record_request(const request_sample& sample, seconds at);
    /// Records a state that lasted for `elapsed` until `at`.
    void record_groups(const group_sample& sample, milliseconds elapsed, seconds at);
    void record_accelerators(const accelerator_sample& sample, milliseconds elapsed, seconds at);

    /// Drops counts and domain changes older than `burn_retention`.
    void destroy_old(seconds now) { this->counts.destroy_before(now - burn_retention); }

    const burn_ledger& ledger() const { return this->counts; }

private:
    std::string source;
    object_set objects;
    burn_ledger counts;
};

} // namespace rml
