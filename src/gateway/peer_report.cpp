#include "gateway/peer_report.hpp"

#include "base/bounded_cbor.hpp"
#include "base/json_reader.hpp"
#include "base/limits.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>

namespace rml::gateway {

namespace {

using nlohmann::json;

constexpr std::uint32_t report_format = 1;
constexpr std::size_t max_listed_targets = 2000;
constexpr std::uint64_t max_uint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t max_int64 = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t max_uint64 = std::numeric_limits<std::uint64_t>::max();
constexpr milliseconds max_interval{60000};

template <class Id>
json encode_ids(const std::vector<Id>& ids)
{
    json out = json::array();
    for (const auto& id : ids) {
        out.push_back(id.str());
    }
    return out;
}

std::vector<instance_id> decode_ids(const json& document, const char* name)
{
    std::vector<instance_id> out;
    for (const auto& entry : document.at(name)) {
        out.emplace_back(entry.get<std::string>());
    }
    return out;
}

json encode_incarnations(const std::vector<target_incarnation>& targets)
{
    json out = json::array();
    for (const auto& target : targets) {
        out.push_back({target.instance.str(), target.started_ms});
    }
    return out;
}

std::vector<target_incarnation> decode_incarnations(const json& rows)
{
    std::vector<target_incarnation> out;
    for (const auto& row : rows) {
        out.push_back({instance_id(row.at(0).get<std::string>()),
                       static_cast<std::int64_t>(checked_integer(row.at(1), max_int64))});
    }
    return out;
}

json encode_request_limits(const std::vector<request_limit_notice>& notices)
{
    json out = json::array();
    for (const auto& notice : notices) {
        const auto rate = notice.requests_per_s ? json(*notice.requests_per_s) : json(nullptr);
        out.push_back({notice.target.instance.str(), notice.target.started_ms, rate, notice.age.count()});
    }
    return out;
}

std::vector<request_limit_notice> decode_request_limits(const json& rows)
{
    std::vector<request_limit_notice> out;
    for (const auto& row : rows) {
        request_limit_notice notice;
        notice.target = {instance_id(row.at(0).get<std::string>()),
                         static_cast<std::int64_t>(checked_integer(row.at(1), max_int64))};
        if (!row.at(2).is_null()) {
            notice.requests_per_s =
                std::clamp(checked_amount(row.at(2)), limits::min_stated_rate, limits::max_stated_rate);
        }
        notice.age = milliseconds(
            std::min<std::uint64_t>(checked_integer(row.at(3), max_int64), max_interval.count()));
        out.push_back(std::move(notice));
    }
    return out;
}

/// Bounds the crash evidence in one report.
constexpr std::size_t max_crash_rows = 256;
constexpr std::size_t max_crash_trials = 256;

} // namespace

std::string encode_report(const peer_report& report)
{
    json in_flight = json::object();
    for (const auto& [target, count] : report.in_flight) {
        in_flight[target.str()] = count;
    }
    json offered_load = json::object();
    for (const auto& [model, amount] : report.offered_load) {
        offered_load[model.str()] = amount;
    }
    json crashes = json::array();
    std::transform(report.crashes.begin(), report.crashes.end(), std::back_inserter(crashes),
                   encode_crash_notice);
    json slow = json::object();
    for (const auto& [head, factor] : report.slow) {
        slow[head.str()] = factor;
    }
    json document{{"f", report_format},
                  {"d", report.daemon.str()},
                  {"b", report.started_ms},
                  {"n", report.sequence},
                  {"l", report.leaving},
                  {"r", report.ready},
                  {"s", report.store_reachable},
                  {"m", report.manages},
                  {"t", std::move(in_flight)},
                  {"u", encode_ids(report.stalled)},
                  {"o", encode_ids(report.suspected)},
                  {"a", encode_ids(report.answering)},
                  {"x", encode_ids(report.ejected)},
                  {"p", std::move(slow)},
                  {"w", std::move(offered_load)},
                  {"q", report.requests_per_s},
                  {"c", std::move(crashes)},
                  {"y", report.crash_trials},
                  {"i", report.interval.count()},
                  {"g", encode_incarnations(report.departures)},
                  {"h", encode_incarnations(report.removals)},
                  {"v", encode_request_limits(report.request_limits)},
                  {"k", report.limits_known}};
    if (!report.unread_tokens.empty()) {
        auto& unread = document["j"] = json::object();
        for (const auto& [target, tokens] : report.unread_tokens) {
            unread[target.str()] = tokens;
        }
    }
    return to_cbor_bytes(document);
}

result<peer_report> decode_report(const json& message)
{
    try {
        if (checked_integer(message.at("f"), max_uint32) != report_format) {
            return failure{failure_kind::malformed, "peer report has an unsupported format number"};
        }
        peer_report out;
        out.daemon = daemon_id(message.at("d").get<std::string>());
        out.started_ms = static_cast<std::int64_t>(checked_integer(message.at("b"), max_int64));
        out.sequence = checked_integer(message.at("n"), std::numeric_limits<std::uint64_t>::max());
        out.leaving = message.at("l").get<bool>();
        out.ready = message.at("r").get<bool>();
        out.store_reachable = message.at("s").get<bool>();
        if (message.at("t").size() > max_listed_targets || message.at("u").size() > max_listed_targets) {
            return failure{failure_kind::too_large, "peer report"};
        }
        for (const auto& [target, count] : message.at("t").items()) {
            out.in_flight[instance_id(target)] =
                static_cast<std::uint32_t>(checked_integer(count, max_uint32));
        }
        if (message.contains("j")) { // absent without unread tokens, and from daemons of the previous version
            if (message.at("j").size() > max_listed_targets) {
                return failure{failure_kind::too_large, "peer report"};
            }
            for (const auto& [target, tokens] : message.at("j").items()) {
                out.unread_tokens[instance_id(target)] =
                    static_cast<std::uint32_t>(checked_integer(tokens, max_uint32));
            }
        }
        out.stalled = decode_ids(message, "u");
        if (message.contains("a")) { // daemons of the previous version do not send these two fields
            out.answering = decode_ids(message, "a");
            for (const auto& [head, factor] : message.at("p").items()) {
                out.slow[instance_id(head)] = checked_amount(factor);
            }
        }
        out.ejected = decode_ids(message, "x");
        out.suspected = message.contains("o") ? decode_ids(message, "o") : out.stalled;
        // Daemons of the previous version do not send this flag; only the group manager ejects targets.
        out.manages = message.contains("m") ? message.at("m").get<bool>() : !out.ejected.empty();
        for (const auto& [model, amount] : message.at("w").items()) {
            out.offered_load[model_id(model)] = checked_amount(amount);
        }
        // Daemons of the previous version do not send this field.
        out.requests_per_s = message.contains("q") ? checked_amount(message.at("q")) : 0.0;
        if (message.contains("c")) { // daemons of the previous version do not send these two fields
            const auto& rows = message.at("c");
            if (rows.size() > max_crash_rows || message.at("y").size() > max_crash_trials) {
                return failure{failure_kind::too_large, "peer report"};
            }
            for (const auto& row : rows) {
                auto notice = decode_crash_notice(row);
                if (failed(notice)) {
                    return error(notice);
                }
                out.crashes.push_back(value(std::move(notice)));
            }
            for (const auto& print : message.at("y")) {
                out.crash_trials.push_back(checked_integer(print, max_uint64));
            }
        }
        if (message.contains("g")) { // daemons of the previous version do not send these three fields
            out.interval = milliseconds(
                std::min<std::uint64_t>(checked_integer(message.at("i"), max_int64), max_interval.count()));
            if (message.at("g").size() > limits::departure_reports ||
                message.at("h").size() > limits::departure_reports) {
                return failure{failure_kind::too_large, "peer report"};
            }
            out.departures = decode_incarnations(message.at("g"));
            out.removals = decode_incarnations(message.at("h"));
        }
        if (message.contains("v")) { // daemons of the previous version do not send this field
            if (message.at("v").size() > limits::stated_rate_reports) {
                return failure{failure_kind::too_large, "peer report"};
            }
            out.request_limits = decode_request_limits(message.at("v"));
        }
        // Daemons of the previous version do not send this flag.
        out.limits_known = message.contains("k") && message.at("k").get<bool>();
        return out;
    } catch (const json::exception& problem) {
        return failure{failure_kind::malformed, std::string("peer report: ") + problem.what()};
    }
}

} // namespace rml::gateway
