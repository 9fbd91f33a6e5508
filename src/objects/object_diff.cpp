#include "objects/object_diff.hpp"

#include "base/json_reader.hpp"
#include "base/limits.hpp"

#include <optional>

namespace rml {

namespace {

using nlohmann::json;

std::vector<field_change> field_changes(const json& before, const json& after)
{
    std::vector<field_change> changes;
    for (const auto& item : before.items()) {
        const auto found = after.find(item.key());
        if (found == after.end()) {
            changes.push_back({item.key(), item.value().dump(), ""});
        } else if (*found != item.value()) {
            changes.push_back({item.key(), item.value().dump(), found->dump()});
        }
    }
    for (const auto& item : after.items()) {
        if (!before.contains(item.key())) {
            changes.push_back({item.key(), "", item.value().dump()});
        }
    }
    return changes;
}

/// Key of an element; empty when the element has no valid kind, which the parser reports.
std::optional<object_key> key_of(const json& element)
{
    if (!element.is_object() || !element.contains("kind") || !element["kind"].is_string()) {
        return std::nullopt;
    }
    for (auto kind = object_kind::region;; kind = static_cast<object_kind>(static_cast<int>(kind) + 1)) {
        if (element["kind"].get_ref<const std::string&>() == to_string(kind)) {
            const auto name = element.find(kind == object_kind::engine ? "instance" : "name");
            const bool named = name != element.end() && name->is_string();
            return object_key{kind, named ? name->get<std::string>() : ""};
        }
        if (kind == object_kind::entry_policy) {
            return std::nullopt;
        }
    }
}

} // namespace

std::string_view to_string(object_change_kind kind)
{
    switch (kind) {
    case object_change_kind::created:
        return "created";
    case object_change_kind::updated:
        return "updated";
    case object_change_kind::destroyed:
        return "destroyed";
    }
    return "unknown";
}

std::vector<object_change> diff_objects(const object_set& from, const object_set& to)
{
    const auto before = to_documents(from);
    const auto after = to_documents(to);
    std::map<object_key, object_change> changes;
    for (const auto& [key, document] : before) {
        const auto found = after.find(key);
        if (found == after.end()) {
            changes[key] = {object_change_kind::destroyed, key, {}, nullptr};
        } else if (found->second != document) {
            changes[key] = {object_change_kind::updated, key, field_changes(document, found->second),
                            found->second};
        }
    }
    for (const auto& [key, document] : after) {
        if (before.count(key) == 0) {
            changes[key] = {object_change_kind::created, key, {}, document};
        }
    }
    std::vector<object_change> ordered;
    ordered.reserve(changes.size());
    for (auto& entry : changes) {
        ordered.push_back(std::move(entry.second));
    }
    return ordered;
}

std::string encode_changes(const object_set& from, const object_set& to)
{
    auto put = json::array();
    auto destroy = json::array();
    for (auto& change : diff_objects(from, to)) {
        if (change.kind == object_change_kind::destroyed) {
            destroy.push_back({{"kind", to_string(change.object.kind)}, {"name", change.object.name}});
        } else {
            put.push_back(std::move(change.document));
        }
    }
    return to_cbor_bytes({{"v", object_codec_version},
                          {"from", from.generation},
                          {"generation", to.generation},
                          {"put", std::move(put)},
                          {"destroy", std::move(destroy)}});
}

result<object_set> apply_changes(const object_set& base, std::string_view bytes)
{
    if (bytes.size() > limits::store_value_bytes) {
        return failure{failure_kind::too_large,
                       "object changes of " + std::to_string(bytes.size()) + " bytes"};
    }
    const auto document = parse_cbor(bytes);
    if (failed(document)) {
        return error(document);
    }
    std::vector<field_problem> problems;
    object_reader reader(value(document), "", problems);
    std::uint64_t version = 0;
    std::uint64_t from = 0;
    std::uint64_t generation = 0;
    reader.required("v", version);
    reader.required("from", from);
    reader.required("generation", generation);
    reader.skip("put");
    reader.skip("destroy");
    reader.finish();
    if (!problems.empty() || version != object_codec_version || !reader.has("put") ||
        !reader.has("destroy") || !value(document)["put"].is_array() ||
        !value(document)["destroy"].is_array()) {
        return failure{failure_kind::malformed, "object changes: wrong shape"};
    }
    if (from != base.generation || generation <= from) {
        return failure{failure_kind::stale, "object changes from generation " + std::to_string(from) +
                                                " to " + std::to_string(generation) + ", here " +
                                                std::to_string(base.generation)};
    }
    auto documents = to_documents(base);
    for (const auto& element : value(document)["destroy"]) {
        const auto key = element.is_object() && element.contains("name") && element["name"].is_string()
                             ? key_of(json{{"kind", element.value("kind", json())},
                                           {"name", element["name"]},
                                           {"instance", element["name"]}})
                             : std::nullopt;
        if (!key || documents.erase(*key) == 0) {
            return failure{failure_kind::malformed, "object changes: destroys " + excerpt(element)};
        }
    }
    auto list = json::array();
    for (const auto& element : value(document)["put"]) {
        if (const auto key = key_of(element)) {
            documents.erase(*key);
        }
        list.push_back(element);
    }
    for (auto& entry : documents) {
        list.push_back(std::move(entry.second));
    }
    return decode_object_list(list, generation);
}

} // namespace rml
