/// Problems of operators' objects, found while parsing, decoding or checking a set.
#pragma once

#include "base/failure.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rml {

enum class object_kind
{
    region,
    failure_domain,
    fabric_domain,
    engine,
    model,
    model_pool,
    office_service,
    account,
    objective,
    entry_policy,
};

/// Name of a kind as it appears in files, such as "model_pool".
std::string_view to_string(object_kind kind);

/// Identifies an object in a set. Engines are named by their instance; the entry policy has an empty name.
struct object_key
{
    object_kind kind{object_kind::region};
    std::string name;

    friend bool operator<(const object_key& a, const object_key& b)
    {
        return a.kind != b.kind ? a.kind < b.kind : a.name < b.name;
    }
    friend bool operator==(const object_key& a, const object_key& b)
    {
        return a.kind == b.kind && a.name == b.name;
    }
};

/// "model_pool assistant"
std::string to_string(const object_key& key);

/// Files that define each object, in reading order. Empty for a set that came from the store or a peer.
using object_origins = std::map<object_key, std::vector<std::string>>;

enum class object_problem_kind
{
    malformed,          ///< not JSON or CBOR, or not the shape of an object file
    too_large,          ///< the encoded set exceeds a store value
    missing_field,      ///< a required field is absent
    unknown_field,      ///< a field that the kind does not have
    wrong_type,         ///< the type of a value does not fit
    wrong_unit,         ///< the field exists with another unit
    out_of_range,       ///< the value is outside its bounds
    duplicate,          ///< a name, instance, address or token occurs twice
    dangling_reference, ///< a referenced object does not exist
    cycle,              ///< references form a cycle
    capacity,           ///< a group or pool cannot be placed
    incomplete,         ///< an object lacks a required part
    contradiction,      ///< two objects or fields contradict each other
    all_drained,        ///< every failure domain, or every one of a pool, is drained
};

std::string_view to_string(object_problem_kind kind);

enum class severity
{
    warning, ///< the set can be published
    error,   ///< the set cannot be published
};

struct object_problem
{
    object_problem_kind kind{object_problem_kind::malformed};
    severity level{severity::error};
    std::string file;   ///< empty when the set did not come from files
    std::string object; ///< such as "model_pool assistant"
    std::string field;  ///< path inside the object; empty when the problem concerns the whole object
    std::string found;
    std::string allowed;
};

/// "pools.json: model_pool assistant: groups: found 20, allowed ... [capacity]"
std::string to_string(const object_problem& problem);

/// True when at least one problem prevents the publication.
bool has_errors(const std::vector<object_problem>& problems);

/// Failure with the kind `invalid_settings`, the first error and the number of further ones.
failure to_failure(const std::vector<object_problem>& problems);

} // namespace rml
