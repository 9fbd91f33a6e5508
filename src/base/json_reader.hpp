/// Strict reading of JSON (with comments) and CBOR documents, used for settings and objects. Parsing fails at
/// a duplicate key; unknown keys, wrong types and wrong units are all reported, each with the path of its
/// field.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rml {

/// Maximum nesting depth of a document. The CBOR parser recurses once per level, so unbounded nesting could
/// exhaust the stack.
constexpr std::size_t max_json_depth = 32;
/// 2^53: doubles, and so all JSON readers, represent integers up to this value exactly.
constexpr double largest_exact_integer = 9007199254740992.0;
/// Maximum length of an identifier. Identifiers become parts of store keys.
constexpr std::size_t max_id_bytes = 64;

/// Parses JSON with `//` and `/* */` comments. Fails with `malformed`, also for a duplicate key or a nesting
/// deeper than max_json_depth.
result<nlohmann::json> parse_json(std::string_view text);

/// Parses CBOR under the same rules. Byte strings, strings of indefinite length and tags are refused as
/// malformed.
result<nlohmann::json> parse_cbor(std::string_view bytes);

/// Serializes CBOR.
std::string to_cbor_bytes(const nlohmann::json& document);

/// Short JSON text of a value for an error message. Never throws, also for strings that are not UTF-8.
std::string excerpt(const nlohmann::json& value);

enum class field_problem_kind
{
    missing_field,
    unknown_field,
    wrong_type,
    wrong_unit,
    out_of_range,
};

/// A field that violates its rule.
struct field_problem
{
    field_problem_kind kind{field_problem_kind::wrong_type};
    std::string path; ///< such as `listen.caller` or `objects[3].weight`
    std::string found;
    std::string allowed;
};

/// "listen.caller: found 5, allowed IP number and port"
std::string to_string(const field_problem& problem);

/// Bounds of a number, or of the length of a string or list.
struct field_rule
{
    double minimum{0};
    double maximum{std::numeric_limits<double>::max()};
};

/// A string of at least one character.
constexpr field_rule not_empty{1, 4096};

/// An enumerator and its name in documents.
template <class Enum>
struct choice
{
    std::string_view name;
    Enum value;
};

namespace detail {

/// Why a value was not converted; `allowed` describes the accepted values in an error message.
struct conversion_problem
{
    field_problem_kind kind;
    std::string allowed;
};
using conversion = std::optional<conversion_problem>;

conversion convert(const nlohmann::json& from, std::string& to, const field_rule& rule);
conversion convert(const nlohmann::json& from, bool& to, const field_rule& rule);
conversion convert(const nlohmann::json& from, double& to, const field_rule& rule);
conversion convert(const nlohmann::json& from, std::uint32_t& to, const field_rule& rule);
conversion convert(const nlohmann::json& from, std::uint64_t& to, const field_rule& rule);
conversion convert(const nlohmann::json& from, milliseconds& to, const field_rule& rule);
conversion convert(const nlohmann::json& from, seconds& to, const field_rule& rule);
conversion convert(const nlohmann::json& from, endpoint& to, const field_rule& rule);
conversion convert_id(const nlohmann::json& from, std::string& to);

template <class Tag>
conversion convert(const nlohmann::json& from, string_id<Tag>& to, const field_rule&)
{
    std::string text;
    auto problem = convert_id(from, text);
    if (!problem) {
        to = string_id<Tag>(std::move(text));
    }
    return problem;
}

template <class T>
conversion convert(const nlohmann::json& from, std::vector<T>& to, const field_rule& rule)
{
    if (!from.is_array()) {
        return conversion_problem{field_problem_kind::wrong_type, "a list"};
    }
    std::vector<T> items;
    for (const auto& element : from) {
        T item{};
        if (auto problem = convert(element, item, rule)) {
            problem->allowed = "a list, each element " + problem->allowed;
            return problem;
        }
        items.push_back(std::move(item));
    }
    to = std::move(items);
    return std::nullopt;
}

} // namespace detail

/// Reads the fields of one JSON object. A field that is absent or violates its rule leaves the target
/// unchanged; every problem is appended to the list given at construction. finish() reports keys that were
/// not read. The JSON value must outlive the reader.
class object_reader
{
public:
    object_reader(const nlohmann::json& value, std::string path, std::vector<field_problem>& problems);

    bool has(std::string_view name) const;

    template <class T>
    void required(std::string_view name, T& target, const field_rule& rule = {})
    {
        if (const auto* found = this->find(name, true)) {
            this->report_problem(name, *found, detail::convert(*found, target, rule));
        }
    }

    template <class T>
    void optional(std::string_view name, T& target, const field_rule& rule = {})
    {
        if (const auto* found = this->find(name, false)) {
            this->report_problem(name, *found, detail::convert(*found, target, rule));
        }
    }

    template <class Enum>
    void required_choice(std::string_view name, Enum& target, std::initializer_list<choice<Enum>> choices)
    {
        if (const auto* found = this->find(name, true)) {
            this->convert_choice(name, *found, target, choices);
        }
    }

    template <class Enum>
    void optional_choice(std::string_view name, Enum& target, std::initializer_list<choice<Enum>> choices)
    {
        if (const auto* found = this->find(name, false)) {
            this->convert_choice(name, *found, target, choices);
        }
    }

    /// Returns a reader of a nested object; of an empty object when the field is absent.
    object_reader child(std::string_view name, bool required = true);

    /// Marks a field as known. The caller reads its value without the reader.
    void skip(std::string_view name) { this->known.emplace(name); }

    /// Reports a problem that a check of the caller found in a field.
    void report(field_problem_kind kind, std::string_view name, std::string found, std::string allowed);

    /// Reports every key that was not read. A key that differs from a known key only in its unit is
    /// reported as wrong_unit.
    void finish();

private:
    const nlohmann::json* find(std::string_view name, bool required);
    void report_problem(std::string_view name, const nlohmann::json& found, detail::conversion problem);
    std::string path_of(std::string_view name) const;

    template <class Enum>
    void convert_choice(std::string_view name, const nlohmann::json& found, Enum& target,
                        std::initializer_list<choice<Enum>> choices)
    {
        std::string allowed;
        for (const auto& [text, candidate] : choices) {
            if (found.is_string() && found.get_ref<const std::string&>() == text) {
                target = candidate;
                return;
            }
            allowed += (allowed.empty() ? "" : " | ") + std::string(text);
        }
        this->report(found.is_string() ? field_problem_kind::out_of_range : field_problem_kind::wrong_type,
                     name, excerpt(found), allowed);
    }

    const nlohmann::json* source;
    std::string path;
    std::vector<field_problem>* problems;
    std::set<std::string, std::less<>> known;
};

} // namespace rml
