#include "model/plan.hpp"

#include "base/bounded_cbor.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <unordered_set>

namespace rml {

bool operator==(const group_record& a, const group_record& b)
{
    return a.id == b.id && a.pool == b.pool && a.model == b.model && a.version == b.version &&
           a.fabric == b.fabric && a.epoch == b.epoch && a.members == b.members &&
           a.incarnations == b.incarnations;
}

result<domain_plan> domain_plan::create(failure_domain_id domain, std::vector<group_record> groups,
                                        const std::vector<instance_location>& locations)
{
    std::unordered_map<instance_id, fabric_domain_id> fabric_of;
    for (const auto& location : locations) {
        fabric_of.emplace(location.instance, location.fabric);
    }
    std::unordered_set<instance_id> used;
    std::unordered_set<group_id> ids;
    for (const auto& group : groups) {
        if (group.members.empty()) {
            return failure{failure_kind::refused, "group " + group.id.str() + " has no member"};
        }
        if (!group.incarnations.empty() && group.incarnations.size() != group.members.size()) {
            return failure{failure_kind::refused, "group " + group.id.str() + " lacks incarnations"};
        }
        if (!ids.insert(group.id).second) {
            return failure{failure_kind::refused, "group " + group.id.str() + " occurs twice"};
        }
        for (const auto& member : group.members) {
            if (!used.insert(member).second) {
                return failure{failure_kind::refused, "instance " + member.str() + " is in two groups"};
            }
            const auto found = fabric_of.find(member);
            if (found == fabric_of.end() || found->second != group.fabric) {
                return failure{failure_kind::refused, "instance " + member.str() +
                                                          " is not in the fabric domain of " +
                                                          group.id.str()};
            }
        }
    }
    domain_plan plan;
    plan.failure_domain = std::move(domain);
    plan.records = std::move(groups);
    plan.instances = locations;
    return plan;
}

const group_record* domain_plan::find(const group_id& id) const
{
    const auto found = std::find_if(this->records.begin(), this->records.end(),
                                    [&](const group_record& group) { return group.id == id; });
    return found == this->records.end() ? nullptr : &*found;
}

const group_record* domain_plan::group_of(const instance_id& instance) const
{
    const auto holds = [&](const group_record& group) {
        return std::find(group.members.begin(), group.members.end(), instance) != group.members.end();
    };
    const auto found = std::find_if(this->records.begin(), this->records.end(), holds);
    return found == this->records.end() ? nullptr : &*found;
}

std::string encode_plan(const domain_plan& plan, const std::string& attempt_id)
{
    nlohmann::json document{{"domain", plan.domain().str()}, {"attempt", attempt_id}};
    document["groups"] = nlohmann::json::array();
    for (const auto& group : plan.groups()) {
        nlohmann::json members = nlohmann::json::array();
        for (const auto& member : group.members) {
            members.push_back(member.str());
        }
        document["groups"].push_back({{"id", group.id.str()},
                                      {"pool", group.pool.str()},
                                      {"model", group.model.str()},
                                      {"version", group.version},
                                      {"fabric", group.fabric.str()},
                                      {"epoch", group.epoch},
                                      {"members", std::move(members)},
                                      {"incarnations", group.incarnations}});
    }
    document["places"] = nlohmann::json::array();
    for (const auto& location : plan.locations()) {
        document["places"].push_back({location.instance.str(), location.fabric.str()});
    }
    const auto bytes = nlohmann::json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

result<committed_plan> decode_plan(const std::string& bytes, std::uint64_t revision)
{
    try {
        const auto document = decode_bounded_cbor(bytes);
        std::vector<group_record> groups;
        for (const auto& entry : document.at("groups")) {
            group_record group;
            group.id = group_id(entry.at("id").get<std::string>());
            group.pool = model_pool_id(entry.at("pool").get<std::string>());
            group.model = model_id(entry.at("model").get<std::string>());
            group.version = entry.at("version").get<std::string>();
            group.fabric = fabric_domain_id(entry.at("fabric").get<std::string>());
            group.epoch = entry.at("epoch").get<std::uint64_t>();
            for (const auto& member : entry.at("members")) {
                group.members.emplace_back(member.get<std::string>());
            }
            group.incarnations = entry.at("incarnations").get<std::vector<std::uint64_t>>();
            groups.push_back(std::move(group));
        }
        std::vector<instance_location> locations;
        for (const auto& entry : document.at("places")) {
            locations.push_back({instance_id(entry.at(0).get<std::string>()),
                                 fabric_domain_id(entry.at(1).get<std::string>())});
        }
        auto plan = domain_plan::create(failure_domain_id(document.at("domain").get<std::string>()),
                                        std::move(groups), locations);
        if (failed(plan)) {
            return error(plan);
        }
        return committed_plan{value(std::move(plan)), revision, document.at("attempt").get<std::string>()};
    } catch (const nlohmann::json::exception& e) {
        return failure{failure_kind::malformed, std::string("plan document: ") + e.what()};
    }
}

} // namespace rml
