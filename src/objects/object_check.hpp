/// Checks a whole set of objects as one. All problems are collected.
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

/// Every reference of the set. Empty references are left out.
std::vector<object_reference> references_of(const object_set& set);

/// Objects of a reference cycle in order, or nothing when there is none. With the kinds of today references
/// only point from later to earlier kinds; the check keeps a future kind from closing a cycle unnoticed.
std::vector<object_key> find_cycle(const std::vector<object_reference>& references);

/// Problems of the set as a whole. `origins` adds file names to them.
std::vector<object_problem> check_objects(const object_set& set, const object_origins& origins = {});

} // namespace rml
