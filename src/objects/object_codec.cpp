#include "objects/object_codec.hpp"

#include "base/hash.hpp"
#include "base/json_reader.hpp"
#include "base/limits.hpp"
#include "objects/object_check.hpp"

#include <nlohmann/json.hpp>

namespace rml {

namespace {

using nlohmann::json;

template <class Id>
json names_of(const std::vector<Id>& ids)
{
    auto list = json::array();
    for (const auto& id : ids) {
        list.push_back(id.str());
    }
    return list;
}

json to_json(const region_object& object)
{
    return {{"name", object.name.str()}};
}

json to_json(const failure_domain_object& object)
{
    return {{"name", object.name.str()},
            {"region", object.region.str()},
            {"state", object.state == service_state::drained ? "drained" : "in_service"}};
}

json to_json(const fabric_domain_object& object)
{
    json document{{"name", object.name.str()}, {"failure_domain", object.failure_domain.str()}};
    if (!object.instances.empty()) {
        document["instances"] = names_of(object.instances);
    }
    return document;
}

json to_json(const engine_object& object)
{
    return {{"instance", object.instance.str()},
            {"address", to_string(object.address)},
            {"fabric_domain", object.fabric_domain.str()},
            {"accelerators", object.accelerators},
            {"fenced_orders", object.fenced_orders}};
}

json to_json(const model_object& object)
{
    return {{"name", object.name.str()},
            {"version", object.version},
            {"weights_gib", object.weights_gib},
            {"group_size", object.group_size}};
}

json to_json(const model_pool_object& object)
{
    return {{"name", object.name.str()},
            {"model", object.model.str()},
            {"groups", object.groups},
            {"failure_domains", names_of(object.failure_domains)},
            {"start_slots", object.start_slots},
            {"full_slots", object.full_slots},
            {"ramp_step_ms", object.ramp_step.count()},
            {"max_wait_ms", object.max_wait.count()}};
}

json to_json(const office_service_object& object)
{
    auto addresses = json::array();
    for (const auto& address : object.addresses) {
        addresses.push_back(to_string(address));
    }
    return {{"name", object.name.str()},
            {"addresses", std::move(addresses)},
            {"once_only_paths", object.once_only_paths},
            {"timeout_ms", object.timeout.count()}};
}

json to_json(const account_object& object)
{
    return {{"name", object.name.str()},       {"token_sha256", object.token_sha256},
            {"weight", object.weight},         {"requests_per_second", object.requests_per_second},
            {"pools", names_of(object.pools)}, {"services", names_of(object.services)}};
}

std::string_view measure_name(objective_kind kind)
{
    switch (kind) {
    case objective_kind::answered:
        return "answered";
    case objective_kind::first_token:
        return "first_token";
    case objective_kind::between_tokens:
        return "between_tokens";
    }
    return "answered";
}

json to_json(const objective_object& object)
{
    json document{{"name", object.name},
                  {"measure", measure_name(object.kind)},
                  {"target_share", object.target_share},
                  {"window_s", object.window.count()}};
    if (!object.pool.empty()) {
        document["pool"] = object.pool.str();
    }
    if (!object.service.empty()) {
        document["service"] = object.service.str();
    }
    if (object.threshold.count() != 0) {
        document["threshold_ms"] = object.threshold.count();
    }
    return document;
}

json to_json(const entry_policy_object& object)
{
    return {{"max_daemons", object.max_daemons}, {"address_lifetime_ms", object.address_lifetime.count()}};
}

template <class Object>
void add_document(std::map<object_key, json>& documents, object_kind kind, const Object& object)
{
    auto document = to_json(object);
    document["kind"] = to_string(kind);
    const auto* name_field = kind == object_kind::engine ? "instance" : "name";
    documents.insert_or_assign(object_key{kind, document.value(name_field, "")}, document);
}

template <class Object>
void add_documents(std::map<object_key, json>& documents, object_kind kind,
                   const std::vector<Object>& objects)
{
    for (const auto& object : objects) {
        add_document(documents, kind, object);
    }
}

json object_list(const object_set& set)
{
    auto list = json::array();
    for (auto& [key, document] : to_documents(set)) {
        list.push_back(document);
    }
    return list;
}

} // namespace

std::map<object_key, json> to_documents(const object_set& set)
{
    std::map<object_key, json> documents;
    add_documents(documents, object_kind::region, set.regions);
    add_documents(documents, object_kind::failure_domain, set.failure_domains);
    add_documents(documents, object_kind::fabric_domain, set.fabric_domains);
    add_documents(documents, object_kind::engine, set.engines);
    add_documents(documents, object_kind::model, set.models);
    add_documents(documents, object_kind::model_pool, set.pools);
    add_documents(documents, object_kind::office_service, set.services);
    add_documents(documents, object_kind::account, set.accounts);
    add_documents(documents, object_kind::objective, set.objectives);
    add_document(documents, object_kind::entry_policy, set.entry_policy);
    return documents;
}

std::string encode_objects_json(const object_set& set)
{
    return json{{"generation", set.generation},
                {"digest", object_set_digest(set)},
                {"objects", object_list(set)}}
               .dump(2) +
           "\n";
}

result<std::string> encode_objects(const object_set& set)
{
    auto bytes = to_cbor_bytes(
        {{"v", object_codec_version}, {"generation", set.generation}, {"objects", object_list(set)}});
    if (bytes.size() > limits::store_value_bytes) {
        return failure{failure_kind::too_large, "object set of " + std::to_string(bytes.size()) +
                                                    " bytes, allowed " +
                                                    std::to_string(limits::store_value_bytes)};
    }
    return bytes;
}

result<object_set> decode_objects(std::string_view bytes)
{
    if (bytes.size() > limits::store_value_bytes) {
        return failure{failure_kind::too_large, "object set of " + std::to_string(bytes.size()) + " bytes"};
    }
    const auto document = parse_cbor(bytes);
    if (failed(document)) {
        return error(document);
    }
    std::vector<field_problem> problems;
    object_reader reader(value(document), "", problems);
    std::uint64_t version = 0;
    std::uint64_t generation = 0;
    reader.required("v", version);
    reader.required("generation", generation);
    reader.skip("objects");
    reader.finish();
    if (!problems.empty()) {
        return failure{failure_kind::malformed, "object set: " + to_string(problems.front())};
    }
    if (version != object_codec_version || !reader.has("objects")) {
        return failure{failure_kind::malformed, "object set: version " + std::to_string(version)};
    }
    return decode_object_list(value(document)["objects"], generation);
}

result<object_set> decode_object_list(const json& list, std::uint64_t generation)
{
    parsed_objects parsed;
    parse_object_list(list, "", parsed);
    if (!has_errors(parsed.problems)) {
        parsed.problems = check_objects(parsed.set, parsed.origins);
    }
    if (has_errors(parsed.problems)) {
        return to_failure(parsed.problems);
    }
    parsed.set.generation = generation;
    return std::move(parsed.set);
}

std::string encode_delivery(const object_set& set)
{
    return json{{"generation", set.generation}, {"set", {{"objects", object_list(set)}}}}.dump();
}

result<object_set> decode_delivery(std::string_view body)
{
    const auto document = parse_json(body);
    if (failed(document)) {
        return error(document);
    }
    std::vector<field_problem> problems;
    object_reader reader(value(document), "", problems);
    std::uint64_t generation = 0;
    reader.required("generation", generation, field_rule{1});
    auto set = reader.child("set");
    set.skip("objects");
    set.finish();
    reader.finish();
    if (!problems.empty() || !set.has("objects")) {
        return failure{failure_kind::malformed,
                       problems.empty() ? "set.objects: found nothing" : to_string(problems.front())};
    }
    return decode_object_list(value(document)["set"]["objects"], generation);
}

std::string object_set_digest(const object_set& set)
{
    constexpr std::size_t digits = 16;
    constexpr std::string_view alphabet = "0123456789abcdef";
    auto hash = hash64(object_list(set).dump());
    std::string text(digits, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = alphabet[hash & 0xfU];
        hash >>= 4U;
    }
    return text;
}

} // namespace rml
