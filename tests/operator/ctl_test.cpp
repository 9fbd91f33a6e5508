#include "operator/ctl.hpp"

#include "base/json_reader.hpp"
#include "http/server.hpp"
#include "objects/object_codec.hpp"
#include "objects/object_generator.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace rml;
using rml::testing::small_set;

namespace {

/// Fake store and operator interface of one daemon, as specified in docs/protocols.md.
class platform_handler final : public http::handler
{
public:
    void handle(const http::request& message, http::response_writer& writer, http::yield_context) override
    {
        const std::lock_guard guard(this->mutex);
        writer.send(message.target.rfind("/v1/kv/", 0) == 0 ? this->store(message) : this->daemon(message));
    }

    std::mutex mutex;
    std::uint64_t generation{0};
    bool accepts{true};

private:
    http::response store(const http::request& message)
    {
        const std::string key(http::path_of(message.target).substr(std::string("/v1/kv/").size()));
        auto& [revision, bytes] = this->values[key];
        if (message.method == "PUT") {
            if (http::query_value(message.target, "expect") != std::to_string(revision)) {
                return {409, {{"x-revision", std::to_string(revision)}}, ""};
            }
            revision = ++this->last_revision;
            bytes = message.body;
            return {200, {{"x-revision", std::to_string(revision)}}, ""};
        }
        return revision == 0 ? http::response{404, {}, ""}
                             : http::response{200, {{"x-revision", std::to_string(revision)}}, bytes};
    }

    http::response daemon(const http::request& message)
    {
        if (http::find_header(message.headers, "authorization") != "Bearer secret") {
            return {401, {}, ""};
        }
        if (message.target == "/operator/config" && this->accepts) {
            const auto set = decode_delivery(message.body);
            this->generation = succeeded(set) ? value(set).generation : 0;
        }
        return http::json_response(
            200,
            nlohmann::json{{"daemon", "entry-1"}, {"generation", this->generation}, {"ready", true}}.dump());
    }

    std::map<std::string, std::pair<std::uint64_t, std::string>> values;
    std::uint64_t last_revision{0};
};

class running_platform
{
public:
    running_platform()
    {
        auto created = http::server::create(this->context, {"127.0.0.1", 0}, this->handler);
        REQUIRE(succeeded(created));
        this->server = value(std::move(created));
        this->worker = std::thread([this] { this->context.run(); });
    }
    ~running_platform()
    {
        this->server->stop();
        this->context.stop();
        this->worker.join();
    }
    running_platform(const running_platform&) = delete;
    running_platform& operator=(const running_platform&) = delete;

    endpoint address() const { return this->server->local(); }

    platform_handler handler;

private:
    boost::asio::io_context context;
    std::unique_ptr<http::server> server;
    std::thread worker;
};

class temporary_file
{
public:
    explicit temporary_file(const std::string& text)
        : path(std::filesystem::temp_directory_path() /
               ("rml-ctl-test-" + std::to_string(::getpid()) + "-" + std::to_string(next++) + ".json"))
    {
        std::ofstream(this->path) << text;
    }
    ~temporary_file() { std::filesystem::remove(this->path); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    std::string name() const { return this->path.string(); }

private:
    static inline int next = 0;
    std::filesystem::path path;
};

struct ctl_answer
{
    exit_code code{exit_code::success};
    nlohmann::json document;
    std::string problems;
};

ctl_answer run(ctl_options options)
{
    static int attempts = 0;
    options.json = true;
    options.token = options.token.empty() ? "secret" : options.token;
    options.attempt_id = "attempt-" + std::to_string(++attempts);
    std::ostringstream out;
    std::ostringstream err;
    ctl_answer answer;
    answer.code = run_ctl(options, out, err);
    answer.problems = err.str();
    if (auto document = parse_json(out.str()); succeeded(document)) {
        answer.document = value(std::move(document));
    }
    return answer;
}

ctl_options command(const std::string& name, std::vector<std::string> arguments = {})
{
    ctl_options options;
    options.command = name;
    options.arguments = std::move(arguments);
    return options;
}

} // namespace

// Guards against exit codes and reports that differ from the state of the store and the daemons.
TEST_CASE("operators publish, drain and inspect through rml-ctl", "[ctl]")
{
    running_platform platform;
    const temporary_file file(encode_objects_json(small_set()));
    const auto with_platform = [&](ctl_options options) {
        options.store = platform.address();
        options.entries = {platform.address()};
        options.wait_time = milliseconds(200);
        return run(options);
    };

    CHECK(with_platform(command("get")).code == exit_code::operation_failed);
    auto publish = command("publish", {file.name()});
    publish.wait = true;
    const auto published = with_platform(publish);
    REQUIRE(published.code == exit_code::success);
    CHECK(published.document["generation"] == 1);
    CHECK(published.document["unconfirmed"].empty());
    CHECK(platform.handler.generation == 1);
    CHECK(with_platform(command("get")).document["objects"].size() == 17);

    SECTION("a drained failure domain is delivered to the daemon, and the history lists both generations")
    {
        auto drain = command("drain", {"domain-1"});
        drain.wait = true;
        CHECK(with_platform(drain).code == exit_code::success);
        CHECK(platform.handler.generation == 2);
        const auto difference = with_platform(command("diff", {file.name()}));
        REQUIRE(difference.document["changes"].size() == 1);
        CHECK(difference.document["changes"][0]["name"] == "domain-1");
        const auto history = with_platform(command("history"));
        REQUIRE(history.document["generations"].size() == 2);
        CHECK(history.document["generations"][0]["generation"] == 2);
        CHECK(with_platform(command("status")).document["daemons"][0]["status"]["generation"] == 2);
        CHECK(with_platform(command("restore", {"domain-1"})).document["generation"] == 3);
        CHECK(with_platform(command("drain", {"domain-9"})).code == exit_code::operation_failed);
    }
    SECTION("a daemon that does not confirm is reported and the exit code is an error")
    {
        platform.handler.accepts = false;
        auto drain = command("drain", {"domain-1"});
        drain.wait = true;
        const auto answer = with_platform(drain);
        CHECK(answer.code == exit_code::operation_failed);
        CHECK(answer.document["outcome"] == "published");
        CHECK(answer.document["unconfirmed"].size() == 1);
    }
    // Guards against daemons with different contents under the same generation.
    SECTION("a saved set is delivered without the store, a changed one is rejected")
    {
        auto saved = with_platform(command("get")).document;
        const temporary_file unchanged(saved.dump());
        for (auto& object : saved["objects"]) {
            if (object["kind"] == "account") {
                object["weight"] = 7;
            }
        }
        const temporary_file changed(saved.dump());
        platform.handler.generation = 0;
        auto deliver = command("deliver", {changed.name()});
        deliver.entries = {platform.address()};
        CHECK(run(deliver).code == exit_code::invalid_settings);
        CHECK(platform.handler.generation == 0);
        deliver.arguments = {unchanged.name()};
        CHECK(run(deliver).code == exit_code::success);
        CHECK(platform.handler.generation == 1);
    }
    SECTION("the daemon rejects a wrong token")
    {
        auto status = command("status");
        status.token = "wrong";
        CHECK(with_platform(status).code == exit_code::operation_failed);
    }
}

// Guards against a tool that reports success or a conflict when it cannot reach the store.
TEST_CASE("rml-ctl distinguishes invalid objects, usage errors and an unavailable store", "[ctl]")
{
    const temporary_file broken(R"({"objects":[{"kind":"region","name":"r","size":1}]})");
    const auto invalid = run(command("validate", {broken.name()}));
    CHECK(invalid.code == exit_code::invalid_settings);
    REQUIRE(invalid.document["problems"].size() == 2);
    CHECK(invalid.document["problems"][0]["kind"] == "unknown_field");
    CHECK(run(command("validate", {"/nonexistent.json"})).code == exit_code::operation_failed);
    CHECK(run(command("validate")).code == exit_code::usage_error);
    CHECK(run(command("paint")).code == exit_code::usage_error);
    CHECK(run(command("get")).code == exit_code::usage_error);

    auto drain = command("drain", {"domain-1"});
    drain.store = endpoint{"127.0.0.1", 1}; // nothing listens on this port
    const auto unavailable = run(drain);
    CHECK(unavailable.code == exit_code::unavailable);
    CHECK(unavailable.document["outcome"] == "not_published");
}
