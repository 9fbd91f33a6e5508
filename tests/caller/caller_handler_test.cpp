#include "caller/service_calls.hpp"
#include "running_daemon.hpp"

using namespace rml;
using namespace rml::test;

// Guards against unauthorized requests, or requests with values out of range, that reach an engine.
TEST_CASE("invalid and unauthorized requests are refused before admission", "[caller]")
{
    running_daemon daemon;
    daemon.state.refuse_admission = true; // a request that reaches admission is answered with 429
    struct refused_case
    {
        std::string name;
        std::string body;
        int status;
        std::string kind;
    };
    const std::string messages = R"("messages":[{"role":"user","content":"x"}])";
    const std::vector<refused_case> cases{
        {"not JSON", "{", 400, "malformed"},
        {"not an object", "[1]", 400, "malformed"},
        {"no model", "{" + messages + "}", 400, "malformed"},
        {"no messages", R"({"model":"assistant"})", 400, "malformed"},
        {"empty messages", R"({"model":"assistant","messages":[]})", 400, "malformed"},
        {"content is not a string", R"({"model":"assistant","messages":[{"role":"user","content":1}]})", 400,
         "malformed"},
        {"max_tokens 0", R"({"model":"assistant","max_tokens":0,)" + messages + "}", 400, "malformed"},
        {"max_tokens negative", R"({"model":"assistant","max_tokens":-1,)" + messages + "}", 400,
         "malformed"},
        {"max_tokens beyond 64 bits",
         R"({"model":"assistant","max_tokens":18446744073709551615,)" + messages + "}", 400, "malformed"},
        {"max_tokens not an integer", R"({"model":"assistant","max_tokens":1.5,)" + messages + "}", 400,
         "malformed"},
        {"priority out of range", R"({"model":"assistant","priority":11,)" + messages + "}", 400,
         "malformed"},
        {"stream not a boolean", R"({"model":"assistant","stream":1,)" + messages + "}", 400, "malformed"},
        {"pool that the account may not use", R"({"model":"design",)" + messages + "}", 403, "refused"},
        {"deeply nested JSON", std::string(100000, '['), 400, "malformed"},
    };
    for (const auto& each : cases) {
        INFO(each.name);
        auto message = running_daemon::chat(false);
        message.body = each.body;
        const auto answer = daemon.call(message);
        CHECK(answer.status == each.status);
        CHECK(outcome_of(answer) == "not-run");
        CHECK(http::find_header(answer.headers, "x-request-id") == "call-1");
        CHECK(nlohmann::json::parse(answer.body)["error"]["kind"] == each.kind);
    }

    SECTION("headers")
    {
        const auto status_with = [&](const std::string& name, const std::string& content) {
            auto message = running_daemon::chat(false);
            for (auto& entry : message.headers) {
                if (entry.name == name) {
                    entry.value = content;
                    return daemon.call(message).status;
                }
            }
            message.headers.push_back({name, content});
            return daemon.call(message).status;
        };
        CHECK(status_with("authorization", "Bearer wrong") == 401);
        CHECK(status_with("authorization", "secret") == 401);
        CHECK(status_with("authorization", "Bearer ") == 401);
        CHECK(status_with("x-request-id", std::string(200, 'x')) == 400);
        CHECK(status_with("x-request-id", "a b") == 400);
        CHECK(status_with("x-rml-deadline-ms", "soon") == 400);
        CHECK(status_with("x-rml-deadline-ms", "-5") == 400);
        CHECK(status_with("x-rml-deadline-ms", "99999999999999999") == 429);
    }
    SECTION("paths")
    {
        const http::header_list token{{"authorization", "Bearer secret"}};
        CHECK(daemon.call({"GET", "/v1/chat/completions", token, ""}).status == 404);
        CHECK(daemon.call({"GET", "/nothing", token, ""}).status == 404);
        CHECK(daemon.call({"OPTIONS", "/services/office/x", token, ""}).status == 400);
        CHECK(daemon.call({"GET", "/v1/entries", {}, ""}).status == 401);
        CHECK(daemon.call({"POST", "/services/other/x", token, ""}).status == 403);
        CHECK(daemon.call({"POST", "/services/office/x", token, ""}).status == 404);
    }
}

TEST_CASE("entries, health and metrics", "[caller]")
{
    running_daemon daemon;
    const auto entries = daemon.call({"GET", "/v1/entries", {{"authorization", "Bearer secret"}}, ""});
    CHECK(entries.status == 200);
    CHECK(nlohmann::json::parse(entries.body) ==
          nlohmann::json{{"entries", {"127.0.0.1:8080"}}, {"lifetime_ms", 30000}});
    CHECK(daemon.call({"GET", "/healthz", {}, ""}).status == 200);
    CHECK(daemon.call({"GET", "/readyz", {}, ""}).status == 200);
    daemon.state.is_ready = false;
    CHECK(daemon.call({"GET", "/readyz", {}, ""}).status == 503);
    CHECK(daemon.call({"GET", "/healthz", {}, ""}).status == 200);
    const auto metrics = daemon.call({"GET", "/metrics", {}, ""});
    CHECK(metrics.body.find("rml_requests_total{outcome=\"completed\"} 0\n") != std::string::npos);
}

// Guards against a second spelling of a once-only path that is sent to the service without a claim.
TEST_CASE("service paths have plain segments only", "[caller]")
{
    const auto parsed = caller::parse_service_path("/services/office/orders/new?x=1");
    REQUIRE(succeeded(parsed));
    CHECK(value(parsed).service == service_id("office"));
    CHECK(value(parsed).path == "/orders/new");
    CHECK(value(parsed).target == "/orders/new?x=1");
    for (const char* bad :
         {"/services", "/services/", "/services/office", "/services/office/", "/services//orders",
          "/services/office//orders", "/services/office/orders/", "/services/office/./orders",
          "/services/office/../orders", "/services/office/%6frders", "/services/office/orders;x"}) {
        INFO(bad);
        CHECK(failed(caller::parse_service_path(bad)));
    }
    office_service_object service;
    service.once_only_paths = {"/orders", "deposits"};
    CHECK(caller::is_once_only(service, "/orders"));
    CHECK(caller::is_once_only(service, "/deposits"));
    CHECK_FALSE(caller::is_once_only(service, "/orders/1"));
}
