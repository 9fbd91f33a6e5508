#include "objects/object_check.hpp"

#include "base/limits.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace rml {

namespace {

template <class Id>
object_key key_of(object_kind kind, const Id& id)
{
    return {kind, id.str()};
}

object_key key_of(const region_object& object)
{
    return key_of(object_kind::region, object.name);
}
object_key key_of(const failure_domain_object& object)
{
    return key_of(object_kind::failure_domain, object.name);
}
object_key key_of(const fabric_domain_object& object)
{
    return key_of(object_kind::fabric_domain, object.name);
}
object_key key_of(const engine_object& object)
{
    return key_of(object_kind::engine, object.instance);
}
object_key key_of(const model_object& object)
{
    return key_of(object_kind::model, object.name);
}
object_key key_of(const model_pool_object& object)
{
    return key_of(object_kind::model_pool, object.name);
}
object_key key_of(const office_service_object& object)
{
    return key_of(object_kind::office_service, object.name);
}
object_key key_of(const account_object& object)
{
    return key_of(object_kind::account, object.name);
}
object_key key_of(const objective_object& object)
{
    return {object_kind::objective, object.name};
}

template <class Visitor>
void for_each_object(const object_set& set, const Visitor& visit)
{
    const auto each = [&](const auto& objects) {
        for (const auto& object : objects) {
            visit(object);
        }
    };
    each(set.regions);
    each(set.failure_domains);
    each(set.fabric_domains);
    each(set.engines);
    each(set.models);
    each(set.pools);
    each(set.services);
    each(set.accounts);
    each(set.objectives);
}

std::string quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

template <class Number>
std::string with_count(Number number, const std::string& noun)
{
    return std::to_string(number) + " " + noun + (number == 1 ? "" : "s");
}

class set_check
{
public:
    set_check(const object_set& set, const object_origins& origins) : set(set), origins(origins)
    {
        for_each_object(set, [&](const auto& object) { ++this->counts[key_of(object)]; });
        for (const auto& fabric : set.fabric_domains) {
            this->failure_domain_of.emplace(fabric.name, fabric.failure_domain);
        }
        for (const auto& engine : set.engines) {
            ++this->engines_of[engine.fabric_domain];
        }
    }

    std::vector<object_problem> run()
    {
        this->check_size();
        this->check_names();
        this->check_references();
        this->check_lists();
        this->check_addresses();
        this->check_fabric_domains();
        for (const auto& pool : this->set.pools) {
            this->check_pool(pool);
        }
        this->check_total_capacity();
        this->check_services();
        this->check_accounts();
        for (const auto& objective : this->set.objectives) {
            this->check_objective(objective);
        }
        return std::move(this->problems);
    }

private:
    void add(object_problem_kind kind, severity level, const object_key& object, std::string field,
             std::string found, std::string allowed)
    {
        const auto origin = this->origins.find(object);
        this->problems.push_back({kind, level, origin == this->origins.end() ? "" : origin->second.back(),
                                  to_string(object), std::move(field), std::move(found), std::move(allowed)});
    }

    void error(object_problem_kind kind, const object_key& object, std::string field, std::string found,
               std::string allowed)
    {
        this->add(kind, severity::error, object, std::move(field), std::move(found), std::move(allowed));
    }

    void warning(object_problem_kind kind, const object_key& object, std::string field, std::string found,
                 std::string allowed)
    {
        this->add(kind, severity::warning, object, std::move(field), std::move(found), std::move(allowed));
    }

    void add_for_set(object_problem_kind kind, severity level, std::string field, std::string found,
                     std::string allowed)
    {
        this->problems.push_back(
            {kind, level, "", "set", std::move(field), std::move(found), std::move(allowed)});
    }

    void check_size()
    {
        const auto check_limit = [&](const char* field, std::size_t count, std::size_t maximum) {
            if (count > maximum) {
                this->add_for_set(object_problem_kind::out_of_range, severity::error, field,
                                  std::to_string(count), "at most " + std::to_string(maximum));
            }
        };
        check_limit("engine", this->set.engines.size(), limits::max_engines);
        check_limit("failure_domain", this->set.failure_domains.size(), limits::max_failure_domains);
        if (this->set.failure_domains.empty()) {
            // Publishing an empty file by mistake would otherwise take all targets out of service.
            this->add_for_set(object_problem_kind::incomplete, severity::error, "failure_domain", "none",
                              "at least one failure domain");
            return;
        }
        if (std::all_of(this->set.failure_domains.begin(), this->set.failure_domains.end(),
                        [](const auto& domain) { return domain.state == service_state::drained; })) {
            this->add_for_set(object_problem_kind::all_drained, severity::warning, "failure_domain",
                              "every failure domain drained", "at least one in service");
        }
    }

    void check_names()
    {
        for (const auto& [key, count] : this->counts) {
            if (key.name.empty()) {
                this->error(object_problem_kind::missing_field, key,
                            key.kind == object_kind::engine ? "instance" : "name", "nothing", "a name");
            } else if (count > 1) {
                this->error(object_problem_kind::duplicate, key,
                            key.kind == object_kind::engine ? "instance" : "name",
                            quoted(key.name) + " " + std::to_string(count) + " times" + this->files(key),
                            "one " + std::string(to_string(key.kind)) + " of that name");
            }
        }
        const object_key policy{object_kind::entry_policy, ""};
        if (const auto found = this->origins.find(policy);
            found != this->origins.end() && found->second.size() > 1) {
            this->error(object_problem_kind::duplicate, policy, "",
                        std::to_string(found->second.size()) + " times" + this->files(policy),
                        "one entry_policy");
        }
    }

    std::string files(const object_key& key) const
    {
        const auto found = this->origins.find(key);
        if (found == this->origins.end()) {
            return {};
        }
        std::string text;
        for (const auto& file : std::set<std::string>(found->second.begin(), found->second.end())) {
            text += (text.empty() ? " in " : ", ") + file;
        }
        return text;
    }

    void check_references()
    {
        const auto references = references_of(this->set);
        for (const auto& reference : references) {
            if (this->counts.count(reference.to) == 0) {
                this->error(object_problem_kind::dangling_reference, reference.from, reference.field,
                            quoted(reference.to.name),
                            "an existing " + std::string(to_string(reference.to.kind)));
            }
        }
        if (const auto cycle = find_cycle(references); !cycle.empty()) {
            std::string path;
            for (const auto& key : cycle) {
                path += (path.empty() ? "" : " -> ") + to_string(key);
            }
            this->error(object_problem_kind::cycle, cycle.front(), "", path, "references without a cycle");
        }
    }

    template <class Item, class Text>
    void check_list(const object_key& object, const char* field, const std::vector<Item>& items,
                    const Text& text)
    {
        std::set<std::string> seen;
        for (const auto& item : items) {
            if (!seen.insert(text(item)).second) {
                this->error(object_problem_kind::duplicate, object, field, quoted(text(item)) + " twice",
                            "each element once");
            }
        }
    }

    void check_lists()
    {
        const auto id_text = [](const auto& id) { return id.str(); };
        for (const auto& pool : this->set.pools) {
            this->check_list(key_of(pool), "failure_domains", pool.failure_domains, id_text);
        }
        for (const auto& account : this->set.accounts) {
            this->check_list(key_of(account), "pools", account.pools, id_text);
            this->check_list(key_of(account), "services", account.services, id_text);
        }
        for (const auto& service : this->set.services) {
            this->check_list(key_of(service), "once_only_paths", service.once_only_paths,
                             [](const std::string& path) { return path; });
            this->check_list(key_of(service), "addresses", service.addresses,
                             [](const endpoint& address) { return to_string(address); });
        }
    }

    void check_addresses()
    {
        std::map<std::string, object_key> owners;
        for (const auto& engine : this->set.engines) {
            const auto address = to_string(engine.address);
            const auto [owner, inserted] = owners.emplace(address, key_of(engine));
            // Two engines of one instance are already reported as a duplicate name.
            if (!inserted && !engine.address.address.empty() && !(owner->second == key_of(engine))) {
                this->error(object_problem_kind::duplicate, key_of(engine), "address",
                            quoted(address) + ", also of " + to_string(owner->second),
                            "an address of its own");
            }
        }
        for (const auto& service : this->set.services) {
            for (const auto& address : service.addresses) {
                if (const auto owner = owners.find(to_string(address)); owner != owners.end()) {
                    this->error(object_problem_kind::duplicate, key_of(service), "addresses",
                                quoted(to_string(address)) + ", also of " + to_string(owner->second),
                                "an address that no engine has");
                }
            }
        }
    }

    void check_fabric_domains()
    {
        std::map<instance_id, fabric_domain_id> fabric_of;
        std::map<fabric_domain_id, std::set<instance_id>> listed;
        for (const auto& fabric : this->set.fabric_domains) {
            for (const auto& instance : fabric.instances) {
                const auto [other, inserted] = fabric_of.emplace(instance, fabric.name);
                if (!inserted) {
                    this->error(object_problem_kind::duplicate, key_of(fabric), "instances",
                                quoted(instance.str()) + ", also in fabric_domain " + other->second.str(),
                                "an instance in one fabric domain");
                }
                listed[fabric.name].insert(instance);
            }
            if (this->engines_of.count(fabric.name) == 0) {
                this->warning(object_problem_kind::incomplete, key_of(fabric), "", "no engine",
                              "at least one engine");
            }
        }
        for (const auto& engine : this->set.engines) {
            const auto found = listed.find(engine.fabric_domain);
            if (found != listed.end() && found->second.count(engine.instance) == 0) {
                this->error(object_problem_kind::contradiction, key_of(engine), "fabric_domain",
                            quoted(engine.fabric_domain.str()),
                            "a fabric domain that lists the engine's instance");
            }
        }
    }

    const model_object* model_of(const model_pool_object& pool) const
    {
        const auto found = std::find_if(this->set.models.begin(), this->set.models.end(),
                                        [&](const model_object& model) { return model.name == pool.model; });
        return found == this->set.models.end() ? nullptr : &*found;
    }

    /// Engines per fabric domain of one failure domain.
    std::vector<std::size_t> engines_in(const failure_domain_id& domain) const
    {
        std::vector<std::size_t> counts;
        for (const auto& [fabric, count] : this->engines_of) {
            const auto found = this->failure_domain_of.find(fabric);
            if (found != this->failure_domain_of.end() && found->second == domain) {
                counts.push_back(count);
            }
        }
        return counts;
    }

    void check_pool(const model_pool_object& pool)
    {
        const auto key = key_of(pool);
        if (pool.start_slots > pool.full_slots) {
            this->error(object_problem_kind::out_of_range, key, "start_slots",
                        std::to_string(pool.start_slots),
                        "at most full_slots (" + std::to_string(pool.full_slots) + ")");
        }
        if (pool.failure_domains.empty()) {
            this->error(object_problem_kind::incomplete, key, "failure_domains", "no failure domain",
                        "at least one failure domain");
            return;
        }
        this->check_drained(pool);
        if (const auto* model = this->model_of(pool); model != nullptr && model->group_size > 0) {
            this->check_capacity(pool, *model);
        }
    }

    void check_drained(const model_pool_object& pool)
    {
        const auto drained = [&](const failure_domain_id& id) {
            return std::any_of(this->set.failure_domains.begin(), this->set.failure_domains.end(),
                               [&](const failure_domain_object& domain) {
                                   return domain.name == id && domain.state == service_state::drained;
                               });
        };
        if (std::all_of(pool.failure_domains.begin(), pool.failure_domains.end(), drained)) {
            this->warning(object_problem_kind::all_drained, key_of(pool), "failure_domains",
                          "every failure domain drained", "at least one in service");
        }
    }

    void check_capacity(const model_pool_object& pool, const model_object& model)
    {
        std::size_t largest_fabric = 0;
        std::size_t placeable_groups = 0;
        for (const auto& domain :
             std::set<failure_domain_id>(pool.failure_domains.begin(), pool.failure_domains.end())) {
            for (const auto count : this->engines_in(domain)) {
                largest_fabric = std::max(largest_fabric, count);
                placeable_groups += count / model.group_size;
            }
        }
        if (largest_fabric == 0) {
            this->error(object_problem_kind::capacity, key_of(pool), "failure_domains",
                        "no engine in these failure domains", "failure domains with engines");
        } else if (placeable_groups == 0) {
            this->error(object_problem_kind::capacity, key_of(pool), "model",
                        quoted(model.name.str()) + " with groups of " +
                            with_count(model.group_size, "engine"),
                        "groups of at most " + with_count(largest_fabric, "engine") +
                            ", the largest fabric domain of the pool");
        } else if (pool.groups > placeable_groups) {
            this->warning(object_problem_kind::capacity, key_of(pool), "groups", std::to_string(pool.groups),
                          "at most " + std::to_string(placeable_groups) +
                              ", which fit into the pool's fabric domains");
        }
    }

    void check_total_capacity()
    {
        std::size_t wanted = 0;
        for (const auto& pool : this->set.pools) {
            if (const auto* model = this->model_of(pool)) {
                wanted += std::size_t{pool.groups} * model->group_size;
            }
        }
        if (wanted > this->set.engines.size()) {
            this->add_for_set(object_problem_kind::capacity, severity::warning, "model_pool",
                              "groups that need " + with_count(wanted, "engine"),
                              "at most " + with_count(this->set.engines.size(), "engine"));
        }
    }

    void check_services()
    {
        for (const auto& service : this->set.services) {
            if (service.addresses.empty()) {
                this->error(object_problem_kind::incomplete, key_of(service), "addresses", "no address",
                            "at least one address");
            }
            if (service.timeout > limits::max_request_time) {
                this->error(object_problem_kind::out_of_range, key_of(service), "timeout_ms",
                            std::to_string(service.timeout.count()),
                            "at most " + std::to_string(limits::max_request_time.count()) +
                                ", the longest time of one request");
            }
        }
    }

    void check_accounts()
    {
        std::map<std::string, object_key> owners;
        for (const auto& account : this->set.accounts) {
            if (account.pools.empty() && account.services.empty()) {
                this->error(object_problem_kind::incomplete, key_of(account), "pools",
                            "neither pools nor services", "at least one pool or service");
            }
            const auto [owner, inserted] = owners.emplace(account.token_sha256, key_of(account));
            // The problem omits the token, since problems are logged.
            if (!inserted && !account.token_sha256.empty() && !(owner->second == key_of(account))) {
                this->error(object_problem_kind::duplicate, key_of(account), "token_sha256",
                            "the token of " + to_string(owner->second), "a token of its own");
            }
        }
    }

    void check_objective(const objective_object& objective)
    {
        const auto key = key_of(objective);
        if (objective.pool.empty() == objective.service.empty()) {
            this->error(objective.pool.empty() ? object_problem_kind::incomplete
                                               : object_problem_kind::contradiction,
                        key, "pool", objective.pool.empty() ? "neither pool nor service" : "pool and service",
                        "one of pool and service");
        }
        const bool timed = objective.kind != objective_kind::answered;
        if (timed && objective.pool.empty() && !objective.service.empty()) {
            this->error(object_problem_kind::contradiction, key, "measure", "a token time of a service",
                        "answered for a service");
        }
        if (timed && objective.threshold.count() == 0) {
            this->error(object_problem_kind::missing_field, key, "threshold_ms", "nothing",
                        "a time above 0 for first_token and between_tokens");
        }
        if (!timed && objective.threshold.count() != 0) {
            this->error(object_problem_kind::contradiction, key, "threshold_ms",
                        std::to_string(objective.threshold.count()), "no threshold for answered");
        }
    }

    const object_set& set;
    const object_origins& origins;
    std::map<object_key, std::size_t> counts;
    std::map<fabric_domain_id, failure_domain_id> failure_domain_of;
    std::map<fabric_domain_id, std::size_t> engines_of;
    std::vector<object_problem> problems;
};

/// Depth-first search over the reference graph, with an explicit stack: a cycle removes the bound that the
/// number of kinds sets on the depth.
class cycle_search
{
public:
    explicit cycle_search(const std::vector<object_reference>& references)
    {
        for (const auto& reference : references) {
            this->targets[reference.from].push_back(reference.to);
        }
    }

    std::vector<object_key> run()
    {
        for (const auto& entry : this->targets) {
            if (this->finished.count(entry.first) == 0 && this->visit(entry.first)) {
                return this->path_from_last();
            }
        }
        return {};
    }

private:
    struct frame
    {
        object_key key;
        std::size_t next{0};
    };

    /// Returns true when a cycle is found; the last key of the path then occurs in it twice.
    bool visit(const object_key& start)
    {
        this->path = {{start, 0}};
        while (!this->path.empty()) {
            auto& top = this->path.back();
            const auto found = this->targets.find(top.key);
            if (found == this->targets.end() || top.next == found->second.size()) {
                this->finished.insert(top.key);
                this->path.pop_back();
                continue;
            }
            const auto next = found->second[top.next++];
            const bool on_path = std::any_of(this->path.begin(), this->path.end(),
                                             [&](const frame& entry) { return entry.key == next; });
            if (on_path || this->finished.count(next) == 0) {
                this->path.push_back({next, 0});
            }
            if (on_path) {
                return true;
            }
        }
        return false;
    }

    std::vector<object_key> path_from_last() const
    {
        auto first = std::find_if(this->path.begin(), this->path.end(),
                                  [&](const frame& entry) { return entry.key == this->path.back().key; });
        std::vector<object_key> cycle;
        for (; first != this->path.end(); ++first) {
            cycle.push_back(first->key);
        }
        return cycle;
    }

    std::map<object_key, std::vector<object_key>> targets;
    std::set<object_key> finished;
    std::vector<frame> path;
};

} // namespace

std::vector<object_reference> references_of(const object_set& set)
{
    std::vector<object_reference> references;
    const auto add_reference = [&](const object_key& from, const char* field, object_kind kind,
                                   const auto& id) {
        if (!id.empty()) {
            references.push_back({from, field, key_of(kind, id)});
        }
    };
    const auto add_references = [&](const object_key& from, const char* field, object_kind kind,
                                    const auto& ids) {
        for (const auto& id : ids) {
            add_reference(from, field, kind, id);
        }
    };
    for (const auto& domain : set.failure_domains) {
        add_reference(key_of(domain), "region", object_kind::region, domain.region);
    }
    for (const auto& fabric : set.fabric_domains) {
        add_reference(key_of(fabric), "failure_domain", object_kind::failure_domain, fabric.failure_domain);
    }
    for (const auto& engine : set.engines) {
        add_reference(key_of(engine), "fabric_domain", object_kind::fabric_domain, engine.fabric_domain);
    }
    for (const auto& pool : set.pools) {
        add_reference(key_of(pool), "model", object_kind::model, pool.model);
        add_references(key_of(pool), "failure_domains", object_kind::failure_domain, pool.failure_domains);
    }
    for (const auto& account : set.accounts) {
        add_references(key_of(account), "pools", object_kind::model_pool, account.pools);
        add_references(key_of(account), "services", object_kind::office_service, account.services);
    }
    for (const auto& objective : set.objectives) {
        add_reference(key_of(objective), "pool", object_kind::model_pool, objective.pool);
        add_reference(key_of(objective), "service", object_kind::office_service, objective.service);
    }
    return references;
}

std::vector<object_key> find_cycle(const std::vector<object_reference>& references)
{
    return cycle_search(references).run();
}

std::vector<object_problem> check_objects(const object_set& set, const object_origins& origins)
{
    return set_check(set, origins).run();
}

} // namespace rml
