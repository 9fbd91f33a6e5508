#include "objects/object_problem.hpp"

#include <algorithm>

namespace rml {

std::string_view to_string(object_kind kind)
{
    switch (kind) {
    case object_kind::region:
        return "region";
    case object_kind::failure_domain:
        return "failure_domain";
    case object_kind::fabric_domain:
        return "fabric_domain";
    case object_kind::engine:
        return "engine";
    case object_kind::model:
        return "model";
    case object_kind::model_pool:
        return "model_pool";
    case object_kind::office_service:
        return "office_service";
    case object_kind::account:
        return "account";
    case object_kind::objective:
        return "objective";
    case object_kind::entry_policy:
        return "entry_policy";
    }
    return "unknown";
}

std::string to_string(const object_key& key)
{
    std::string text(to_string(key.kind));
    return key.name.empty() ? text : text + " " + key.name;
}

std::string_view to_string(object_problem_kind kind)
{
    switch (kind) {
    case object_problem_kind::malformed:
        return "malformed";
    case object_problem_kind::too_large:
        return "too_large";
    case object_problem_kind::missing_field:
        return "missing_field";
    case object_problem_kind::unknown_field:
        return "unknown_field";
    case object_problem_kind::wrong_type:
        return "wrong_type";
    case object_problem_kind::wrong_unit:
        return "wrong_unit";
    case object_problem_kind::out_of_range:
        return "out_of_range";
    case object_problem_kind::duplicate:
        return "duplicate";
    case object_problem_kind::dangling_reference:
        return "dangling_reference";
    case object_problem_kind::cycle:
        return "cycle";
    case object_problem_kind::capacity:
        return "capacity";
    case object_problem_kind::incomplete:
        return "incomplete";
    case object_problem_kind::contradiction:
        return "contradiction";
    case object_problem_kind::all_drained:
        return "all_drained";
    }
    return "unknown";
}

std::string to_string(const object_problem& problem)
{
    std::string text;
    for (const auto* part : {&problem.file, &problem.object, &problem.field}) {
        if (!part->empty()) {
            text += *part + ": ";
        }
    }
    text += "found " + problem.found + ", allowed " + problem.allowed + " [";
    text += problem.level == severity::warning ? "warning " : "";
    text += to_string(problem.kind);
    return text + "]";
}

bool has_errors(const std::vector<object_problem>& problems)
{
    return std::any_of(problems.begin(), problems.end(),
                       [](const object_problem& problem) { return problem.level == severity::error; });
}

failure to_failure(const std::vector<object_problem>& problems)
{
    std::string context = "objects";
    std::size_t errors = 0;
    for (const auto& problem : problems) {
        if (problem.level == severity::error && errors++ == 0) {
            context = to_string(problem);
        }
    }
    if (errors > 1) {
        context += " and " + std::to_string(errors - 1) + " more";
    }
    return {failure_kind::invalid_settings, std::move(context)};
}

} // namespace rml
