#include "gateway/peer_report.hpp"

#include "base/json_reader.hpp"

#include <nlohmann/json.hpp>

namespace rml::gateway {

namespace {

using nlohmann::json;

constexpr std::uint32_t report_format = 1;
constexpr std::size_t longest_list = 2000;

template <class Id>
json names_of(const std::vector<Id>& ids)
{
    json out = json::array();
    for (const auto& id : ids) {
        out.push_back(id.str());
    }
    return out;
}

std::vector<instance_id> read_names(const json& document, const char* name)
{
    std::vector<instance_id> out;
    for (const auto& entry : document.at(name)) {
        out.emplace_back(entry.get<std::string>());
    }
    return out;
}

} // namespace

std::string encode_report(const peer_report& report)
{
    json in_flight = json::object();
    for (const auto& [target, count] : report.in_flight) {
        in_flight[target.str()] = count;
    }
    json work = json::object();
    for (const auto& [model, amount] : report.work) {
        work[model.str()] = amount;
    }
    json slow = json::object();
    for (const auto& [head, factor] : report.slow) {
        slow[head.str()] = factor;
    }
    const json document{{"f", report_format},
                        {"d", report.daemon.str()},
                        {"b", report.started_ms},
                        {"n", report.sequence},
                        {"l", report.leaving},
                        {"r", report.ready},
                        {"s", report.store_reachable},
                        {"m", report.manages},
                        {"t", std::move(in_flight)},
                        {"u", names_of(report.suspects)},
                        {"o", names_of(report.silent)},
                        {"a", names_of(report.answering)},
                        {"x", names_of(report.avoided)},
                        {"p", std::move(slow)},
                        {"w", std::move(work)}};
    return to_cbor_bytes(document);
}

result<peer_report> decode_report(std::string_view bytes)
{
    auto parsed = parse_cbor(bytes);
    if (failed(parsed)) {
        return error(parsed);
    }
    const auto& document = value(parsed);
    try {
        if (document.at("f").get<std::uint32_t>() != report_format) {
            return failure{failure_kind::malformed, "peer report of another format"};
        }
        peer_report out;
        out.daemon = daemon_id(document.at("d").get<std::string>());
        out.started_ms = document.at("b").get<std::int64_t>();
        out.sequence = document.at("n").get<std::uint64_t>();
        out.leaving = document.at("l").get<bool>();
        out.ready = document.at("r").get<bool>();
        out.store_reachable = document.at("s").get<bool>();
        if (document.at("t").size() > longest_list || document.at("u").size() > longest_list) {
            return failure{failure_kind::too_large, "peer report"};
        }
        for (const auto& [target, count] : document.at("t").items()) {
            out.in_flight[instance_id(target)] = count.get<std::uint32_t>();
        }
        out.suspects = read_names(document, "u");
        if (document.contains("a")) { // daemons of the version before do not send these two
            out.answering = read_names(document, "a");
            for (const auto& [head, factor] : document.at("p").items()) {
                out.slow[instance_id(head)] = factor.get<double>();
            }
        }
        out.avoided = read_names(document, "x");
        out.silent = document.contains("o") ? read_names(document, "o") : out.suspects;
        // Only the manager of the groups avoids any; the version before does not say that it is the one.
        out.manages = document.contains("m") ? document.at("m").get<bool>() : !out.avoided.empty();
        for (const auto& [model, amount] : document.at("w").items()) {
            out.work[model_id(model)] = amount.get<double>();
        }
        return out;
    } catch (const json::exception& problem) {
        return failure{failure_kind::malformed, std::string("peer report: ") + problem.what()};
    }
}

} // namespace rml::gateway
