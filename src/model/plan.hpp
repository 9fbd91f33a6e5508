/// The plan of a failure domain: which instances form which group. Stored as one document per failure domain
/// and replaced by compare-and-swap, so an instance can never be in two groups.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rml {

/// One group. Members are in rank order; rank 0 receives the requests.
struct group_record
{
    group_id id;
    model_pool_id pool;
    model_id model;
    std::string version;
    fabric_domain_id fabric;
    std::uint64_t epoch{0}; ///< raised whenever members, their incarnations, model or version change
    std::vector<instance_id> members;
    /// Incarnations of the members under this epoch, in rank order; empty before they are recorded. A member
    /// that restarts has another incarnation and is out of the group until the epoch is raised.
    std::vector<std::uint64_t> incarnations;

    friend bool operator==(const group_record& a, const group_record& b);
};

/// Fabric domain of an instance, against which a plan's groups are checked.
struct instance_location
{
    instance_id instance;
    fabric_domain_id fabric;
};

/// All groups of one failure domain. Only create() constructs a plan, so every plan has passed the checks.
class domain_plan
{
public:
    /// Fails with `refused` when an instance occurs twice, a group is empty, two groups share an id, or a
    /// member is not in the group's fabric domain according to `locations`.
    static result<domain_plan> create(failure_domain_id domain, std::vector<group_record> groups,
                                      const std::vector<instance_location>& locations);

    const failure_domain_id& domain() const { return this->failure_domain; }
    const std::vector<group_record>& groups() const { return this->records; }
    const std::vector<instance_location>& locations() const { return this->instances; }

    /// Group by id, or null.
    const group_record* find(const group_id& id) const;
    /// Group of which the instance is a member, or null.
    const group_record* group_of(const instance_id& instance) const;

private:
    domain_plan() = default;

    failure_domain_id failure_domain;
    std::vector<group_record> records;
    std::vector<instance_location> instances;
};

/// A plan with its store revision, which is the fencing token of the orders made from it.
struct committed_plan
{
    domain_plan plan;
    std::uint64_t revision{0};
    std::string attempt_id; ///< identifies the writer's own write when the store's reply was lost
};

/// CBOR document of a plan as stored under plan/<failure-domain>.
std::string encode_plan(const domain_plan& plan, const std::string& attempt_id);

/// Fails with `malformed` on an invalid document and with `refused` when the checks of create() fail.
result<committed_plan> decode_plan(const std::string& bytes, std::uint64_t revision);

} // namespace rml
