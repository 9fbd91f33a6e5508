#include "objects/object_parser.hpp"

#include "base/json_reader.hpp"
#include "base/limits.hpp"
#include "objects/object_check.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace rml {

namespace {

constexpr double longest_duration_ms = 24.0 * 3600 * 1000;
constexpr field_rule positive_ms{1, longest_duration_ms};
constexpr field_rule any_ms{0, longest_duration_ms};
/// A window longer than a quarter of a year would never be evaluated in full.
constexpr field_rule window_rule{60, 92.0 * 24 * 3600};
constexpr field_rule count_rule{1, 100000};
constexpr field_rule accelerator_rule{1, 64};
constexpr field_rule weights_rule{0.001, 100000};
constexpr field_rule share_rule{0.000001, 0.999999};
constexpr field_rule weight_rule{0.001, 1000000};
constexpr field_rule rate_rule{0.001, 1000000};
constexpr std::size_t sha256_digits = 64;
constexpr std::size_t path_bytes = 256;

bool is_printable(char c)
{
    return c > ' ' && c < '\x7f';
}

void check_digest(object_reader& reader, const std::string& text)
{
    const auto hex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    if (!text.empty() && (text.size() != sha256_digits || !std::all_of(text.begin(), text.end(), hex))) {
        // The problem omits the value, which may be the token itself.
        reader.report(field_problem_kind::out_of_range, "token_sha256",
                      std::to_string(text.size()) + " characters that are no digest",
                      "64 lower-case hexadecimal digits");
    }
}

void check_paths(object_reader& reader, const std::vector<std::string>& paths)
{
    for (const auto& path : paths) {
        if (path.empty() || path.size() > path_bytes || path.front() != '/' ||
            !std::all_of(path.begin(), path.end(), is_printable) ||
            path.find_first_of("?#") != std::string::npos) {
            reader.report(field_problem_kind::out_of_range, "once_only_paths", excerpt(path),
                          "paths that start with /, without spaces, ? and #");
        }
    }
}

template <class Name>
void read_name(object_reader& reader, Name& name)
{
    reader.required("name", name);
}

void read(object_reader& reader, region_object& object)
{
    read_name(reader, object.name);
}

void read(object_reader& reader, failure_domain_object& object)
{
    read_name(reader, object.name);
    reader.required("region", object.region);
    reader.optional_choice<service_state>(
        "state", object.state,
        {{"in_service", service_state::in_service}, {"drained", service_state::drained}});
}

void read(object_reader& reader, fabric_domain_object& object)
{
    read_name(reader, object.name);
    reader.required("failure_domain", object.failure_domain);
    reader.optional("instances", object.instances);
}

void read(object_reader& reader, engine_object& object)
{
    reader.required("instance", object.instance);
    reader.required("address", object.address);
    reader.required("fabric_domain", object.fabric_domain);
    reader.optional("accelerators", object.accelerators, accelerator_rule);
    reader.optional("fenced_orders", object.fenced_orders);
}

void read(object_reader& reader, model_object& object)
{
    read_name(reader, object.name);
    // The version is part of a path of the weight store, so the rule of identifiers applies to it.
    string_id<struct version_tag> version;
    reader.required("version", version);
    object.version = version.str();
    reader.required("weights_gib", object.weights_gib, weights_rule);
    reader.required("group_size", object.group_size, count_rule);
}

void read(object_reader& reader, model_pool_object& object)
{
    read_name(reader, object.name);
    reader.required("model", object.model);
    reader.required("groups", object.groups, count_rule);
    reader.required("failure_domains", object.failure_domains);
    reader.optional("start_slots", object.start_slots, count_rule);
    reader.optional("full_slots", object.full_slots, count_rule);
    reader.optional("ramp_step_ms", object.ramp_step, positive_ms);
    reader.optional("max_wait_ms", object.max_wait, any_ms);
}

void read(object_reader& reader, office_service_object& object)
{
    read_name(reader, object.name);
    reader.required("addresses", object.addresses);
    reader.optional("once_only_paths", object.once_only_paths);
    reader.optional("timeout_ms", object.timeout, positive_ms);
    check_paths(reader, object.once_only_paths);
}

void read(object_reader& reader, account_object& object)
{
    read_name(reader, object.name);
    reader.required("token_sha256", object.token_sha256, not_empty);
    reader.optional("weight", object.weight, weight_rule);
    reader.optional("requests_per_second", object.requests_per_second, rate_rule);
    reader.optional("pools", object.pools);
    reader.optional("services", object.services);
    check_digest(reader, object.token_sha256);
}

void read(object_reader& reader, objective_object& object)
{
    string_id<struct objective_tag> name;
    reader.required("name", name);
    object.name = name.str();
    reader.optional("pool", object.pool);
    reader.optional("service", object.service);
    reader.required_choice<objective_kind>("measure", object.kind,
                                           {{"answered", objective_kind::answered},
                                            {"first_token", objective_kind::first_token},
                                            {"between_tokens", objective_kind::between_tokens}});
    reader.optional("threshold_ms", object.threshold, any_ms);
    reader.required("target_share", object.target_share, share_rule);
    reader.required("window_s", object.window, window_rule);
}

void read(object_reader& reader, entry_policy_object& object)
{
    reader.optional("max_daemons", object.max_daemons,
                    field_rule{1, static_cast<double>(limits::max_daemons)});
    reader.optional("address_lifetime_ms", object.address_lifetime, positive_ms);
}

std::string key_name(const engine_object& object)
{
    return object.instance.str();
}
std::string key_name(const entry_policy_object&)
{
    return {};
}
std::string key_name(const objective_object& object)
{
    return object.name;
}
template <class Object>
std::string key_name(const Object& object)
{
    return object.name.str();
}

object_problem_kind convert(field_problem_kind kind)
{
    switch (kind) {
    case field_problem_kind::missing_field:
        return object_problem_kind::missing_field;
    case field_problem_kind::unknown_field:
        return object_problem_kind::unknown_field;
    case field_problem_kind::wrong_type:
        return object_problem_kind::wrong_type;
    case field_problem_kind::wrong_unit:
        return object_problem_kind::wrong_unit;
    case field_problem_kind::out_of_range:
        return object_problem_kind::out_of_range;
    }
    return object_problem_kind::malformed;
}

/// Parses one element of an object list.
class element_parser
{
public:
    element_parser(const nlohmann::json& element, std::string location, const std::string& file,
                   parsed_objects& output)
        : element(element), location(std::move(location)), file(file), output(output)
    {
    }

    void parse()
    {
        if (!this->element.is_object()) {
            this->add_problem(object_problem_kind::wrong_type, "", excerpt(this->element), "an object");
            return;
        }
        const auto found = this->element.find("kind");
        if (found == this->element.end()) {
            this->add_problem(object_problem_kind::missing_field, "kind", "nothing", kinds_text());
            return;
        }
        for (const auto kind : all_kinds) {
            if (found->is_string() && found->get_ref<const std::string&>() == to_string(kind)) {
                this->parse_kind(kind);
                return;
            }
        }
        this->add_problem(found->is_string() ? object_problem_kind::out_of_range
                                             : object_problem_kind::wrong_type,
                          "kind", excerpt(*found), kinds_text());
    }

private:
    static constexpr object_kind all_kinds[]{object_kind::region,         object_kind::failure_domain,
                                             object_kind::fabric_domain,  object_kind::engine,
                                             object_kind::model,          object_kind::model_pool,
                                             object_kind::office_service, object_kind::account,
                                             object_kind::objective,      object_kind::entry_policy};

    static std::string kinds_text()
    {
        std::string text;
        for (const auto kind : all_kinds) {
            text += (text.empty() ? "" : " | ") + std::string(to_string(kind));
        }
        return text;
    }

    void parse_kind(object_kind kind)
    {
        auto& set = this->output.set;
        switch (kind) {
        case object_kind::region:
            return this->append(kind, set.regions);
        case object_kind::failure_domain:
            return this->append(kind, set.failure_domains);
        case object_kind::fabric_domain:
            return this->append(kind, set.fabric_domains);
        case object_kind::engine:
            return this->append(kind, set.engines);
        case object_kind::model:
            return this->append(kind, set.models);
        case object_kind::model_pool:
            return this->append(kind, set.pools);
        case object_kind::office_service:
            return this->append(kind, set.services);
        case object_kind::account:
            return this->append(kind, set.accounts);
        case object_kind::objective:
            return this->append(kind, set.objectives);
        case object_kind::entry_policy: {
            std::vector<entry_policy_object> policies;
            this->append(kind, policies);
            set.entry_policy = policies.back();
            return;
        }
        }
    }

    template <class Object>
    void append(object_kind kind, std::vector<Object>& objects)
    {
        Object object;
        std::vector<field_problem> problems;
        object_reader reader(this->element, "", problems);
        std::string kind_text;
        reader.required("kind", kind_text);
        read(reader, object);
        reader.finish();
        const object_key key{kind, key_name(object)};
        if (!key.name.empty() || kind == object_kind::entry_policy) {
            this->location = to_string(key);
            this->output.origins[key].push_back(this->file);
        } else {
            this->location = std::string(to_string(kind)) + " at " + this->location;
        }
        for (auto& problem : problems) {
            this->add_problem(convert(problem.kind), std::move(problem.path), std::move(problem.found),
                              std::move(problem.allowed));
        }
        objects.push_back(std::move(object));
    }

    void add_problem(object_problem_kind kind, std::string field, std::string found, std::string allowed)
    {
        this->output.problems.push_back({kind, severity::error, this->file, this->location, std::move(field),
                                         std::move(found), std::move(allowed)});
    }

    const nlohmann::json& element;
    std::string location;
    const std::string& file;
    parsed_objects& output;
};

} // namespace

void parse_object_list(const nlohmann::json& list, const std::string& file, parsed_objects& output)
{
    if (!list.is_array()) {
        output.problems.push_back({object_problem_kind::wrong_type, severity::error, file, "", "objects",
                                   excerpt(list), "a list of objects"});
        return;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        element_parser(list[i], "objects[" + std::to_string(i) + "]", file, output).parse();
    }
}

parsed_objects parse_objects(const std::vector<object_source>& sources)
{
    parsed_objects all;
    for (const auto& source : sources) {
        const auto document = parse_json(source.text);
        if (failed(document)) {
            all.problems.push_back({object_problem_kind::malformed, severity::error, source.file, "", "",
                                    error(document).context, "JSON with comments"});
            continue;
        }
        std::vector<field_problem> problems;
        object_reader reader(value(document), "", problems);
        if (value(document).is_object() && !value(document).contains("objects")) {
            reader.report(field_problem_kind::missing_field, "objects", "nothing", "a list of objects");
        } else if (value(document).is_object()) {
            parse_object_list(value(document)["objects"], source.file, all);
        }
        // The output of `rml-ctl get` contains its generation, so that it can be edited and published again.
        std::uint64_t generation = 0;
        reader.optional("generation", generation);
        all.set.generation = std::max(all.set.generation, generation);
        reader.optional("digest", all.digest);
        reader.skip("objects");
        reader.finish();
        for (auto& problem : problems) {
            all.problems.push_back({convert(problem.kind), severity::error, source.file, "",
                                    std::move(problem.path), std::move(problem.found),
                                    std::move(problem.allowed)});
        }
    }
    return all;
}

parsed_objects load_objects(const std::vector<object_source>& sources)
{
    auto loaded = parse_objects(sources);
    // A field that could not be read is missing in the set, so check_objects would report it a second time.
    std::set<std::pair<std::string, std::string>> reported;
    for (const auto& problem : loaded.problems) {
        reported.emplace(problem.object, problem.field);
    }
    const bool has_parse_problems = !loaded.problems.empty();
    // Without the objects of an unreadable file every reference to them would be reported as dangling.
    if (std::any_of(loaded.problems.begin(), loaded.problems.end(), [](const object_problem& problem) {
            return problem.kind == object_problem_kind::malformed;
        })) {
        return loaded;
    }
    for (auto& problem : check_objects(loaded.set, loaded.origins)) {
        const bool is_unread_field = has_parse_problems &&
                                     problem.kind == object_problem_kind::missing_field &&
                                     problem.field != "threshold_ms";
        if (!is_unread_field && reported.count({problem.object, problem.field}) == 0) {
            loaded.problems.push_back(std::move(problem));
        }
    }
    return loaded;
}

} // namespace rml
