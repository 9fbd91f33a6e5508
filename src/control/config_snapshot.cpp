#include "control/config_snapshot.hpp"

#include <array>
#include <openssl/evp.h>

namespace rml::control {

namespace {

/// Returns the value of the key, or a default-constructed value when the key is missing.
template <class Map, class Key>
typename Map::mapped_type value_or_default(const Map& map, const Key& key)
{
    const auto found = map.find(key);
    return found == map.end() ? typename Map::mapped_type{} : found->second;
}

} // namespace

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr const char* digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < length; ++i) {
        hex += digits[digest.at(i) >> 4U];
        hex += digits[digest.at(i) & 15U];
    }
    return hex;
}

std::shared_ptr<const config_snapshot> config_snapshot::create(object_set set)
{
    std::shared_ptr<config_snapshot> snapshot(new config_snapshot(std::move(set)));
    const auto& objects = snapshot->objects;
    for (const auto& account : objects.accounts) {
        const auto shared = std::make_shared<const account_object>(account);
        snapshot->accounts_by_digest.emplace(account.token_sha256, shared);
        snapshot->accounts.emplace(account.name, shared);
    }
    for (const auto& service : objects.services) {
        snapshot->services.emplace(service.name, std::make_shared<const office_service_object>(service));
    }
    for (const auto& pool : objects.pools) {
        snapshot->pools.emplace(pool.name, &pool);
    }
    for (const auto& model : objects.models) {
        snapshot->models.emplace(model.name, &model);
    }
    for (const auto& engine : objects.engines) {
        snapshot->engines.emplace(engine.instance, &engine);
    }
    for (const auto& fabric : objects.fabric_domains) {
        snapshot->fabric_domains.emplace(fabric.name, fabric.failure_domain);
    }
    for (const auto& domain : objects.failure_domains) {
        snapshot->domains.emplace(domain.name, &domain);
    }
    return snapshot;
}

std::shared_ptr<const account_object> config_snapshot::find_account_by_token(std::string_view token) const
{
    return value_or_default(this->accounts_by_digest, sha256_hex(token));
}

std::shared_ptr<const account_object> config_snapshot::find_account(const account_id& name) const
{
    return value_or_default(this->accounts, name);
}

std::shared_ptr<const office_service_object> config_snapshot::find_service(const service_id& name) const
{
    return value_or_default(this->services, name);
}

const model_pool_object* config_snapshot::find_pool(const model_pool_id& name) const
{
    return value_or_default(this->pools, name);
}

const model_object* config_snapshot::find_model(const model_id& name) const
{
    return value_or_default(this->models, name);
}

const engine_object* config_snapshot::find_engine(const instance_id& instance) const
{
    return value_or_default(this->engines, instance);
}

region_id config_snapshot::region_of(const failure_domain_id& domain) const
{
    const auto* found = value_or_default(this->domains, domain);
    return found == nullptr ? region_id() : found->region;
}

failure_domain_id config_snapshot::domain_of(const instance_id& instance) const
{
    const auto* engine = this->find_engine(instance);
    return engine == nullptr ? failure_domain_id()
                             : value_or_default(this->fabric_domains, engine->fabric_domain);
}

bool config_snapshot::drained(const failure_domain_id& domain) const
{
    const auto* found = value_or_default(this->domains, domain);
    return found != nullptr && found->state == service_state::drained;
}

std::vector<const engine_object*> config_snapshot::engines_of(const failure_domain_id& domain) const
{
    std::vector<const engine_object*> found;
    for (const auto& engine : this->objects.engines) {
        if (value_or_default(this->fabric_domains, engine.fabric_domain) == domain) {
            found.push_back(&engine);
        }
    }
    return found;
}

std::vector<failure_domain_id> config_snapshot::domains_of(const region_id& region) const
{
    std::vector<failure_domain_id> found;
    for (const auto& domain : this->objects.failure_domains) {
        if (domain.region == region) {
            found.push_back(domain.name);
        }
    }
    return found;
}

} // namespace rml::control
