/// Typed records of the objects that operators configure. A set is published and checked as a whole.
#pragma once

#include "base/endpoint.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rml {

/// A site, with failure domains near each other.
struct region_object
{
    region_id name;
};

enum class service_state
{
    in_service,
    drained, ///< receives no new work
};

struct failure_domain_object
{
    failure_domain_id name;
    region_id region;
    service_state state{service_state::in_service};
};

/// Instances on one fast fabric, inside one failure domain.
struct fabric_domain_object
{
    fabric_domain_id name;
    failure_domain_id failure_domain;
    std::vector<instance_id>
        instances; ///< instances connected to the fabric; empty: the instances of its engines
};

/// A model engine on an instance.
struct engine_object
{
    instance_id instance;
    endpoint address;
    fabric_domain_id fabric_domain;
    std::uint32_t accelerators{8};
    bool fenced_orders{false}; ///< the engine refuses orders with an outdated fencing token
};

struct model_object
{
    model_id name;
    std::string version;
    double weights_gib{0};       ///< size of the weights of one group, GiB
    std::uint32_t group_size{1}; ///< instances that one replica spans
};

/// The groups that serve one model.
struct model_pool_object
{
    model_pool_id name;
    model_id model;
    std::uint32_t groups{1}; ///< groups wanted
    std::vector<failure_domain_id> failure_domains;
    std::uint32_t start_slots{2}; ///< concurrent requests of a group at the start of its slow start
    std::uint32_t full_slots{64}; ///< concurrent requests of a warm group
    milliseconds ramp_step{5000}; ///< time of successful requests after which the slots double
    milliseconds max_wait{2000};  ///< longest expected wait in the admission queue
};

/// A service that is not a model engine.
struct office_service_object
{
    service_id name;
    std::vector<endpoint> addresses;
    std::vector<std::string> once_only_paths; ///< paths whose requests must not be retried
    milliseconds timeout{10000};
};

/// A caller's account. The token itself is not stored.
struct account_object
{
    account_id name;
    std::string token_sha256; ///< lower-case hex digest of the bearer token
    double weight{1};
    double requests_per_second{10}; ///< limit summed over all daemons
    std::vector<model_pool_id> pools;
    std::vector<service_id> services;
};

enum class objective_kind
{
    answered,       ///< share of requests answered well
    first_token,    ///< time to the first token
    between_tokens, ///< time between tokens
};

/// A service-level objective of a pool or a service.
struct objective_object
{
    std::string name;
    model_pool_id pool; ///< one of pool and service is set
    service_id service;
    objective_kind kind{objective_kind::answered};
    milliseconds threshold{0}; ///< for first_token and between_tokens
    double target_share{0.95};
    seconds window{0};
};

struct entry_policy_object
{
    std::uint32_t max_daemons{8};
    milliseconds address_lifetime{30000};
};

/// A complete set with the generation under which it was published; 0: not published.
struct object_set
{
    std::uint64_t generation{0};
    std::vector<region_object> regions;
    std::vector<failure_domain_object> failure_domains;
    std::vector<fabric_domain_object> fabric_domains;
    std::vector<engine_object> engines;
    std::vector<model_object> models;
    std::vector<model_pool_object> pools;
    std::vector<office_service_object> services;
    std::vector<account_object> accounts;
    std::vector<objective_object> objectives;
    entry_policy_object entry_policy;
};

} // namespace rml
