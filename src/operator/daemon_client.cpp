#include "operator/daemon_client.hpp"

#include "base/json_reader.hpp"
#include "http/client.hpp"
#include "objects/object_codec.hpp"

namespace rml {

namespace {

failure_kind kind_of(int status)
{
    switch (status) {
    case 401:
    case 403:
        return failure_kind::unauthorized;
    case 404:
        return failure_kind::not_found;
    case 409:
        return failure_kind::conflict;
    case 400:
    case 422:
        return failure_kind::malformed;
    case 413:
        return failure_kind::too_large;
    default:
        return failure_kind::unavailable;
    }
}

} // namespace

result<daemon_status> daemon_client::get_status(const endpoint& daemon) const
{
    auto body = this->exchange(daemon, "GET", "/operator/status", "");
    if (failed(body)) {
        return error(body);
    }
    const auto document = parse_json(value(body));
    if (failed(document)) {
        return error(document);
    }
    // The answer has more fields than tools need, so unknown ones are accepted here.
    std::vector<field_problem> problems;
    object_reader reader(value(document), "", problems);
    daemon_status report;
    reader.required("daemon", report.daemon);
    reader.required("generation", report.generation);
    reader.optional("ready", report.ready);
    if (!problems.empty()) {
        return failure{failure_kind::malformed, to_string(daemon) + ": " + to_string(problems.front())};
    }
    report.document = value(std::move(body));
    return report;
}

result<std::uint64_t> daemon_client::deliver(const endpoint& daemon, const object_set& set) const
{
    const auto body = this->exchange(daemon, "POST", "/operator/config", encode_delivery(set));
    if (failed(body)) {
        return error(body);
    }
    const auto document = parse_json(value(body));
    if (failed(document)) {
        return error(document);
    }
    std::vector<field_problem> problems;
    object_reader reader(value(document), "", problems);
    std::uint64_t generation = 0;
    reader.required("generation", generation);
    if (!problems.empty()) {
        return failure{failure_kind::malformed, to_string(daemon) + ": " + to_string(problems.front())};
    }
    return generation;
}

result<std::string> daemon_client::get_burn(const endpoint& daemon) const
{
    return this->exchange(daemon, "GET", "/operator/burn", "");
}

result<std::string> daemon_client::exchange(const endpoint& daemon, const char* method, const char* target,
                                            std::string body) const
{
    http::request message{method, target, {{"authorization", "Bearer " + this->token}}, std::move(body)};
    if (!message.body.empty()) {
        message.headers.push_back({"content-type", "application/json"});
    }
    auto answer = http::call(daemon, message, this->call_timeout);
    const auto context = std::string(method) + " " + to_string(daemon) + target;
    if (failed(answer)) {
        return failure{error(answer).kind, context + ": " + error(answer).context};
    }
    if (value(answer).status != 200) {
        return failure{kind_of(value(answer).status),
                       context + ": status " + std::to_string(value(answer).status)};
    }
    return std::move(value(answer).body);
}

} // namespace rml
