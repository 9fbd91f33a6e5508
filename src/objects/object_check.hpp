/// Checks of a complete object set. All problems are collected.
#pragma once

#include "objects/object_problem.hpp"
#include "objects/objects.hpp"

#include <string>
#include <vector>

namespace rml {

/// A field of one object that names another object.
struct object_reference
{
    object_key from;
    std::string field;
    object_key to;
};

/// All references of the set except empty ones.
std::vector<object_reference> references_of(const object_set& set);

/// Objects of a reference cycle in order; empty when there is none. References point from later to earlier
/// kinds only, so no cycle is possible today; the check detects one that a new kind would introduce.
std::vector<object_key> find_cycle(const std::vector<object_reference>& references);

/// Problems of the set. `origins` provides the file names for them.
std::vector<object_problem> check_objects(const object_set& set, const object_origins& origins = {});

} // namespace rml
