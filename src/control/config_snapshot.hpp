/// Indexes an object set for the request path and the control loops. Immutable after create().
#pragma once

#include "objects/objects.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rml::control {

class config_snapshot
{
public:
    static std::shared_ptr<const config_snapshot> create(object_set set);

    const object_set& set() const { return this->objects; }
    std::uint64_t generation() const { return this->objects.generation; }

    /// Account whose stored SHA-256 digest matches the bearer token, or null.
    std::shared_ptr<const account_object> find_account_by_token(std::string_view token) const;
    std::shared_ptr<const account_object> find_account(const account_id& name) const;
    std::shared_ptr<const office_service_object> find_service(const service_id& name) const;
    const model_pool_object* find_pool(const model_pool_id& name) const;
    const model_object* find_model(const model_id& name) const;
    const engine_object* find_engine(const instance_id& instance) const;
    /// Region of a failure domain; empty when unknown.
    region_id region_of(const failure_domain_id& domain) const;
    /// Failure domain of an engine; empty when unknown.
    failure_domain_id domain_of(const instance_id& instance) const;
    bool drained(const failure_domain_id& domain) const;
    /// Engines of a failure domain, in the order of the set.
    std::vector<const engine_object*> engines_of(const failure_domain_id& domain) const;
    std::vector<failure_domain_id> domains_of(const region_id& region) const;

private:
    explicit config_snapshot(object_set set) : objects(std::move(set)) {}

    object_set objects;
    std::unordered_map<std::string, std::shared_ptr<const account_object>> accounts_by_digest;
    std::unordered_map<account_id, std::shared_ptr<const account_object>> accounts;
    std::unordered_map<service_id, std::shared_ptr<const office_service_object>> services;
    std::unordered_map<model_pool_id, const model_pool_object*> pools;
    std::unordered_map<model_id, const model_object*> models;
    std::unordered_map<instance_id, const engine_object*> engines;
    std::unordered_map<fabric_domain_id, failure_domain_id> fabric_domains;
    std::unordered_map<failure_domain_id, const failure_domain_object*> domains;
};

/// Lower-case hexadecimal SHA-256 digest.
std::string sha256_hex(std::string_view text);

} // namespace rml::control
