#include "base/json_reader.hpp"

#include "base/bounded_cbor.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace rml {

namespace {

constexpr std::size_t excerpt_bytes = 80;

/// Builds the document; aborts parsing at a duplicate key, a byte string or nesting above max_json_depth.
class document_builder final : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return this->add(nullptr); }
    bool boolean(bool value) override { return this->add(value); }
    bool number_integer(number_integer_t value) override { return this->add(value); }
    bool number_unsigned(number_unsigned_t value) override { return this->add(value); }
    bool number_float(number_float_t value, const string_t&) override { return this->add(value); }
    bool string(string_t& value) override { return this->add(std::move(value)); }
    bool binary(binary_t&) override { return this->refuse("byte string"); }
    bool start_object(std::size_t) override { return this->open(nlohmann::json::object()); }
    bool start_array(std::size_t) override { return this->open(nlohmann::json::array()); }
    bool end_object() override { return this->close(); }
    bool end_array() override { return this->close(); }

    bool key(string_t& value) override
    {
        if (this->stack.back()->contains(value)) {
            return this->refuse("duplicate key " + excerpt(value));
        }
        this->current_key = value;
        return true;
    }

    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception& e) override
    {
        // Strips the library's error code in brackets at the start, which is of no use to operators.
        const std::string what = e.what();
        const auto prefix = what.find("] ");
        return this->refuse(prefix == std::string::npos ? what : what.substr(prefix + 2));
    }

    nlohmann::json document;
    std::string problem;

private:
    bool add(nlohmann::json value)
    {
        this->insert(std::move(value));
        return true;
    }

    nlohmann::json* insert(nlohmann::json value)
    {
        if (this->stack.empty()) {
            this->document = std::move(value);
            return &this->document;
        }
        auto& parent = *this->stack.back();
        if (parent.is_array()) {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        return &(parent[this->current_key] = std::move(value));
    }

    bool open(nlohmann::json container)
    {
        if (this->stack.size() >= max_json_depth) {
            return this->refuse("nested deeper than " + std::to_string(max_json_depth));
        }
        this->stack.push_back(this->insert(std::move(container)));
        return true;
    }

    bool close()
    {
        this->stack.pop_back();
        return true;
    }

    bool refuse(std::string why)
    {
        this->problem = std::move(why);
        return false;
    }

    /// Open containers. Only the innermost one grows, so the pointers stay valid.
    std::vector<nlohmann::json*> stack;
    std::string current_key;
};

result<nlohmann::json> parse(std::string_view input, nlohmann::json::input_format_t format)
{
    document_builder builder;
    try {
        if (!nlohmann::json::sax_parse(input, &builder, format, true, true)) {
            return failure{failure_kind::malformed, builder.problem};
        }
    } catch (const nlohmann::json::exception& e) {
        return failure{failure_kind::malformed, e.what()};
    }
    return std::move(builder.document);
}

std::string number_text(double number)
{
    return excerpt(number == std::floor(number) && std::abs(number) < largest_exact_integer
                       ? nlohmann::json(static_cast<std::int64_t>(number))
                       : nlohmann::json(number));
}

std::string range_text(const std::string& what, double minimum, double maximum)
{
    return maximum >= largest_exact_integer
               ? what + " of at least " + number_text(minimum)
               : what + " from " + number_text(minimum) + " to " + number_text(maximum);
}

detail::conversion convert_integer(const nlohmann::json& from, std::uint64_t& to, const field_rule& rule,
                                   double type_maximum, const std::string& what)
{
    const auto maximum = std::min(rule.maximum, type_maximum);
    if (!from.is_number_integer()) {
        return detail::conversion_problem{field_problem_kind::wrong_type,
                                          range_text(what, rule.minimum, maximum)};
    }
    const auto number = from.get<double>();
    if (!(number >= std::max(rule.minimum, 0.0) && number <= maximum)) {
        return detail::conversion_problem{field_problem_kind::out_of_range,
                                          range_text(what, rule.minimum, maximum)};
    }
    to = from.get<std::uint64_t>();
    return std::nullopt;
}

/// Returns the key without its unit, such as "ramp_step" for "ramp_step_ms"; unchanged if there is no unit.
std::string_view without_unit(std::string_view key)
{
    constexpr std::array<std::string_view, 18> units{"ms",  "s",   "us",  "ns",      "sec",   "seconds",
                                                     "min", "h",   "d",   "minutes", "hours", "days",
                                                     "gib", "mib", "kib", "gb",      "mb",    "bytes"};
    const auto split = key.rfind('_');
    if (split == std::string_view::npos ||
        std::find(units.begin(), units.end(), key.substr(split + 1)) == units.end()) {
        return key;
    }
    return key.substr(0, split);
}

/// Returns a key as bounded ASCII text, since keys of CBOR documents may be long and are not checked to be
/// UTF-8.
std::string printable_key(const std::string& key)
{
    auto text = excerpt(key);
    text.erase(0, 1);
    if (!text.empty() && text.back() == '"') {
        text.pop_back();
    }
    return text;
}

const nlohmann::json& empty_object()
{
    static const nlohmann::json empty = nlohmann::json::object();
    return empty;
}

} // namespace

result<nlohmann::json> parse_json(std::string_view text)
{
    if (text.find('\0') != std::string_view::npos) {
        return failure{failure_kind::malformed, "NUL byte"}; // the parser takes it for the end of the text
    }
    return parse(text, nlohmann::json::input_format_t::json);
}

result<nlohmann::json> parse_cbor(std::string_view bytes)
{
    if (has_indefinite_string(bytes)) {
        return failure{failure_kind::malformed, "string of indefinite length"};
    }
    return parse(bytes, nlohmann::json::input_format_t::cbor);
}

std::string to_cbor_bytes(const nlohmann::json& document)
{
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    return bytes;
}

std::string excerpt(const nlohmann::json& value)
{
    auto text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > excerpt_bytes) {
        text.resize(excerpt_bytes);
        text += "...";
    }
    return text;
}

std::string to_string(const field_problem& problem)
{
    return problem.path + ": found " + problem.found + ", allowed " + problem.allowed;
}

namespace detail {

conversion convert(const nlohmann::json& from, std::string& to, const field_rule& rule)
{
    if (!from.is_string()) {
        return conversion_problem{field_problem_kind::wrong_type, "a string"};
    }
    const auto& text = from.get_ref<const std::string&>();
    const auto length = static_cast<double>(text.size());
    if (!(length >= rule.minimum && length <= rule.maximum)) {
        return conversion_problem{field_problem_kind::out_of_range,
                                  range_text("a string with a length", rule.minimum, rule.maximum)};
    }
    to = text;
    return std::nullopt;
}

conversion convert(const nlohmann::json& from, bool& to, const field_rule&)
{
    if (!from.is_boolean()) {
        return conversion_problem{field_problem_kind::wrong_type, "true | false"};
    }
    to = from.get<bool>();
    return std::nullopt;
}

conversion convert(const nlohmann::json& from, double& to, const field_rule& rule)
{
    if (!from.is_number()) {
        return conversion_problem{field_problem_kind::wrong_type,
                                  range_text("a number", rule.minimum, rule.maximum)};
    }
    const auto number = from.get<double>();
    if (!(number >= rule.minimum && number <= rule.maximum)) {
        return conversion_problem{field_problem_kind::out_of_range,
                                  range_text("a number", rule.minimum, rule.maximum)};
    }
    to = number;
    return std::nullopt;
}

conversion convert(const nlohmann::json& from, std::uint64_t& to, const field_rule& rule)
{
    return convert_integer(from, to, rule, largest_exact_integer, "a whole number");
}

conversion convert(const nlohmann::json& from, std::uint32_t& to, const field_rule& rule)
{
    std::uint64_t wide = 0;
    auto problem =
        convert_integer(from, wide, rule, std::numeric_limits<std::uint32_t>::max(), "a whole number");
    if (!problem) {
        to = static_cast<std::uint32_t>(wide);
    }
    return problem;
}

conversion convert(const nlohmann::json& from, milliseconds& to, const field_rule& rule)
{
    std::uint64_t wide = 0;
    auto problem = convert_integer(from, wide, rule, largest_exact_integer, "a whole number of milliseconds");
    if (!problem) {
        to = milliseconds(wide);
    }
    return problem;
}

conversion convert(const nlohmann::json& from, seconds& to, const field_rule& rule)
{
    std::uint64_t wide = 0;
    auto problem = convert_integer(from, wide, rule, largest_exact_integer, "a whole number of seconds");
    if (!problem) {
        to = seconds(wide);
    }
    return problem;
}

conversion convert(const nlohmann::json& from, endpoint& to, const field_rule&)
{
    const std::string allowed = "IP number and port such as 127.0.0.1:80";
    if (!from.is_string()) {
        return conversion_problem{field_problem_kind::wrong_type, allowed};
    }
    auto parsed = parse_endpoint(from.get_ref<const std::string&>());
    if (failed(parsed)) {
        return conversion_problem{field_problem_kind::out_of_range, allowed};
    }
    to = value(std::move(parsed));
    return std::nullopt;
}

conversion convert_id(const nlohmann::json& from, std::string& to)
{
    const std::string allowed =
        "1 to " + std::to_string(max_id_bytes) + " letters, digits, dots, underscores and hyphens";
    if (!from.is_string()) {
        return conversion_problem{field_problem_kind::wrong_type, allowed};
    }
    const auto& text = from.get_ref<const std::string&>();
    const auto permitted = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
               c == '_' || c == '-';
    };
    if (text.empty() || text.size() > max_id_bytes || !std::all_of(text.begin(), text.end(), permitted)) {
        return conversion_problem{field_problem_kind::out_of_range, allowed};
    }
    to = text;
    return std::nullopt;
}

} // namespace detail

object_reader::object_reader(const nlohmann::json& value, std::string path,
                             std::vector<field_problem>& problems)
    : source(&value), path(std::move(path)), problems(&problems)
{
    if (!value.is_object()) {
        this->problems->push_back({field_problem_kind::wrong_type, this->path, excerpt(value), "an object"});
        this->source = &empty_object();
    }
}

bool object_reader::has(std::string_view name) const
{
    return this->source->find(name) != this->source->end();
}

object_reader object_reader::child(std::string_view name, bool required)
{
    const auto* found = this->find(name, required);
    return {found == nullptr ? empty_object() : *found, this->path_of(name), *this->problems};
}

void object_reader::report(field_problem_kind kind, std::string_view name, std::string found,
                           std::string allowed)
{
    this->problems->push_back({kind, this->path_of(name), std::move(found), std::move(allowed)});
}

void object_reader::finish()
{
    std::string all;
    for (const auto& name : this->known) {
        all += (all.empty() ? "" : ", ") + name;
    }
    for (const auto& item : this->source->items()) {
        if (this->known.count(item.key()) != 0) {
            continue;
        }
        const auto same_quantity =
            std::find_if(this->known.begin(), this->known.end(), [&](const std::string& name) {
                return without_unit(name) != name && without_unit(name) == without_unit(item.key());
            });
        const auto key = printable_key(item.key());
        if (same_quantity != this->known.end()) {
            this->report(field_problem_kind::wrong_unit, key, key, *same_quantity);
        } else {
            this->report(field_problem_kind::unknown_field, key, key, all);
        }
    }
}

const nlohmann::json* object_reader::find(std::string_view name, bool required)
{
    this->known.emplace(name);
    const auto found = this->source->find(name);
    if (found != this->source->end()) {
        return &*found;
    }
    if (required) {
        this->report(field_problem_kind::missing_field, name, "nothing",
                     "a value, since the field is required");
    }
    return nullptr;
}

void object_reader::report_problem(std::string_view name, const nlohmann::json& found,
                                   detail::conversion problem)
{
    if (problem) {
        this->report(problem->kind, name, excerpt(found), std::move(problem->allowed));
    }
}

std::string object_reader::path_of(std::string_view name) const
{
    return this->path.empty() ? std::string(name) : this->path + "." + std::string(name);
}

} // namespace rml
