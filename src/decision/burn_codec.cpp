#include "base/json_reader.hpp"
#include "decision/burn.hpp"

#include <nlohmann/json.hpp>

namespace rml {

namespace {

using nlohmann::json;

constexpr std::uint64_t burn_codec_version = 1;
/// Times after about the year 5000 are malformed, so that sums of times and windows cannot overflow.
constexpr field_rule time_rule{0, 1e11};
/// Largest count of a bucket: a century of accelerator-milliseconds of the whole fleet. Sums of thousands of
/// buckets do not overflow.
constexpr double largest_count = 1e15;
constexpr field_rule text_rule{1, 256};

failure malformed(const std::vector<field_problem>& problems)
{
    return {failure_kind::malformed,
            "burn counts: " + (problems.empty() ? "wrong shape" : to_string(problems.front()))};
}

/// Elements of a list field. Notes a problem and returns an empty list if the field is absent or no list.
const json& list_of(object_reader& reader, const json& document, const char* name,
                    std::vector<field_problem>& problems)
{
    static const json empty = json::array();
    reader.skip(name);
    if (!reader.has(name) || !document[name].is_array()) {
        problems.push_back({field_problem_kind::wrong_type, name, "no list", "a list"});
        return empty;
    }
    return document[name];
}

void read_objective(const json& element, std::vector<field_problem>& problems, burn_ledger& ledger)
{
    object_reader reader(element, "objectives", problems);
    burn_objective objective;
    reader.required("name", objective.name, text_rule);
    reader.required("target_share", objective.target_share, field_rule{0.000001, 0.999999});
    reader.required("window_s", objective.window, field_rule{1, 1e9});
    reader.required("generation", objective.generation);
    reader.finish();
    ledger.update_objective(objective);
}

void read_change(const json& element, std::vector<field_problem>& problems, burn_ledger& ledger)
{
    object_reader reader(element, "changes", problems);
    domain_change change;
    reader.required("failure_domain", change.failure_domain, text_rule);
    reader.required("generation", change.generation);
    reader.required("drained", change.drained);
    reader.required("at_s", change.at, time_rule);
    reader.finish();
    ledger.add_domain_change(change);
}

bool is_count(const json& value, double maximum)
{
    return value.is_number_integer() && value.get<double>() >= 0 && value.get<double>() <= maximum;
}

void read_series(const json& element, std::vector<field_problem>& problems, burn_ledger& ledger)
{
    object_reader reader(element, "series", problems);
    burn_series series;
    std::string source;
    reader.required_choice<burn_series_kind>("kind", series.kind,
                                             {{"objective", burn_series_kind::objective},
                                              {"groups", burn_series_kind::groups},
                                              {"accelerators", burn_series_kind::accelerators}});
    reader.required("name", series.name);
    reader.required("failure_domain", series.failure_domain);
    reader.required("source", source, text_rule);
    const auto& buckets = list_of(reader, element, "buckets", problems);
    reader.finish();
    for (const auto& bucket : buckets) {
        if (!bucket.is_array() || bucket.size() != 3 || !is_count(bucket[0], time_rule.maximum) ||
            !is_count(bucket[1], largest_count) || !is_count(bucket[2], largest_count)) {
            problems.push_back({field_problem_kind::wrong_type, "series.buckets", excerpt(bucket),
                                "[start in seconds, good, bad]"});
            return;
        }
        ledger.merge_bucket(source, series, seconds(bucket[0].get<std::int64_t>()),
                            {bucket[1].get<std::uint64_t>(), bucket[2].get<std::uint64_t>()});
    }
}

} // namespace

std::string encode_burn(const burn_ledger& ledger)
{
    json document{{"v", burn_codec_version},
                  {"objectives", json::array()},
                  {"changes", json::array()},
                  {"series", json::array()}};
    for (const auto& [name, objective] : ledger.all_objectives()) {
        document["objectives"].push_back({{"name", name},
                                          {"target_share", objective.target_share},
                                          {"window_s", objective.window.count()},
                                          {"generation", objective.generation}});
    }
    for (const auto& entry : ledger.all_changes()) {
        const auto& change = entry.second;
        document["changes"].push_back({{"failure_domain", change.failure_domain},
                                       {"generation", change.generation},
                                       {"drained", change.drained},
                                       {"at_s", change.at.count()}});
    }
    for (const auto& [series, sources] : ledger.all_series()) {
        for (const auto& [source, buckets] : sources) {
            auto list = json::array();
            for (const auto& [start, counts] : buckets) {
                list.push_back({start.count(), counts.good, counts.bad});
            }
            document["series"].push_back({{"kind", to_string(series.kind)},
                                          {"name", series.name},
                                          {"failure_domain", series.failure_domain},
                                          {"source", source},
                                          {"buckets", std::move(list)}});
        }
    }
    return document.dump(-1, ' ', true, json::error_handler_t::replace);
}

result<burn_ledger> decode_burn(std::string_view text)
{
    const auto document = parse_json(text);
    if (failed(document)) {
        return error(document);
    }
    std::vector<field_problem> problems;
    burn_ledger ledger;
    object_reader reader(value(document), "", problems);
    std::uint64_t version = 0;
    reader.required("v", version, field_rule{burn_codec_version, burn_codec_version});
    for (const auto& element : list_of(reader, value(document), "objectives", problems)) {
        read_objective(element, problems, ledger);
    }
    for (const auto& element : list_of(reader, value(document), "changes", problems)) {
        read_change(element, problems, ledger);
    }
    for (const auto& element : list_of(reader, value(document), "series", problems)) {
        read_series(element, problems, ledger);
    }
    reader.finish();
    if (!problems.empty()) {
        return malformed(problems);
    }
    return ledger;
}

} // namespace rml
