/// Reads operators' object files: JSON with comments, `{"objects":[{"kind":..., "name":..., ...}]}`.
/// Durations are whole numbers in fields that end in `_ms` or `_s`.
#pragma once

#include "objects/object_problem.hpp"
#include "objects/objects.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace rml {

/// Text of one file.
struct object_source
{
    std::string file;
    std::string text;
};

/// Objects that were read and the problems found. Parsing does not check the set as a whole.
struct parsed_objects
{
    object_set set;
    object_origins origins;
    std::vector<object_problem> problems;
    /// Digest in the output of `rml-ctl get`; empty in files written by operators.
    std::string digest;
};

/// Parses several files into one set.
parsed_objects parse_objects(const std::vector<object_source>& sources);

/// Appends the elements of one list of objects to `output`. `file` may be empty.
void parse_object_list(const nlohmann::json& list, const std::string& file, parsed_objects& output);

/// Reads several files as one set and checks it: parse_objects, then check_objects.
parsed_objects load_objects(const std::vector<object_source>& sources);

} // namespace rml
