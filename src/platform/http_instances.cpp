#include "platform/platform.hpp"
#include "platform/service_connections.hpp"

#include <nlohmann/json.hpp>

namespace rml::platform {

namespace {

/// Reads a JSON document. Fails with `malformed` on any status but 200 and 503.
result<nlohmann::json> read_document(detail::service_connections& pool, const std::string& target,
                                     time_point deadline, yield_context yield)
{
    const http::request message{"GET", target, {}, {}};
    auto outcome = pool.exchange(message, deadline, false, yield);
    if (outcome.reused && failed(outcome.answer) &&
        error(outcome.answer).kind == failure_kind::connection_broken) {
        outcome = pool.exchange(message, deadline, true, yield);
    }
    if (failed(outcome.answer)) {
        return failure{error(outcome.answer).kind, "GET " + target + ": " + error(outcome.answer).context};
    }
    const auto& answer = value(outcome.answer);
    if (answer.status == 503) {
        return failure{failure_kind::unavailable, "GET " + target};
    }
    auto document = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || document.is_discarded()) {
        return failure{failure_kind::malformed, "answer to GET " + target};
    }
    return document;
}

result<instance_record> parse_record(const nlohmann::json& entry)
{
    instance_record record;
    record.instance = instance_id(entry.at("instance").get<std::string>());
    const auto kind = entry.at("kind").get<std::string>();
    const auto state = entry.at("state").get<std::string>();
    const bool known_kind = kind == "engine" || kind == "entry" || kind == "service";
    if (!known_kind || (state != "live" && state != "leaving")) {
        return failure{failure_kind::malformed, "unknown kind or state of instance " + record.instance.str()};
    }
    record.kind = kind == "engine"  ? instance_kind::engine
                  : kind == "entry" ? instance_kind::entry
                                    : instance_kind::service;
    record.state = state == "live" ? instance_state::live : instance_state::leaving;
    record.incarnation = entry.at("incarnation").get<std::uint64_t>();
    if (const auto address = entry.value("peer_address", std::string()); !address.empty()) {
        const auto parsed = parse_endpoint(address);
        if (failed(parsed)) {
            return error(parsed);
        }
        record.peer_address = value(parsed);
    }
    return record;
}

class http_instance_list final : public instance_list
{
public:
    http_instance_list(boost::asio::io_context& context, const endpoint& remote) : pool(context, remote) {}

    result<std::vector<instance_record>> read(time_point deadline, yield_context yield) override
    {
        const auto document = read_document(this->pool, "/v1/instances", deadline, yield);
        if (failed(document)) {
            return error(document);
        }
        try {
            std::vector<instance_record> records;
            for (const auto& entry : value(document).at("instances")) {
                auto record = parse_record(entry);
                if (failed(record)) {
                    return error(record);
                }
                records.push_back(value(std::move(record)));
            }
            return records;
        } catch (const nlohmann::json::exception& e) {
            return failure{failure_kind::malformed, std::string("instance list: ") + e.what()};
        }
    }

private:
    detail::service_connections pool;
};

class http_weight_limit final : public weight_limit
{
public:
    http_weight_limit(boost::asio::io_context& context, const endpoint& remote) : pool(context, remote) {}

    result<std::uint32_t> concurrent_loads(time_point deadline, yield_context yield) override
    {
        const auto document = read_document(this->pool, "/v1/limit", deadline, yield);
        if (failed(document)) {
            return error(document);
        }
        try {
            return value(document).at("concurrent_loads").get<std::uint32_t>();
        } catch (const nlohmann::json::exception& e) {
            return failure{failure_kind::malformed, std::string("weight limit: ") + e.what()};
        }
    }

private:
    detail::service_connections pool;
};

} // namespace

std::unique_ptr<instance_list> create_http_instance_list(boost::asio::io_context& context,
                                                         const endpoint& remote)
{
    return std::make_unique<http_instance_list>(context, remote);
}

std::unique_ptr<weight_limit> create_http_weight_limit(boost::asio::io_context& context,
                                                       const endpoint& remote)
{
    return std::make_unique<http_weight_limit>(context, remote);
}

} // namespace rml::platform
