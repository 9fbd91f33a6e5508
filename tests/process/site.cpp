#include "process/site.hpp"

#include "control/config_snapshot.hpp"
#include "model/token_stream.hpp"
#include "operator/ctl.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace rml::test {

namespace {

constexpr milliseconds poll_interval{50};
constexpr milliseconds call_timeout{20000};
constexpr const char* operator_token = "operator-token";

std::string make_folder()
{
    std::string pattern = "/tmp/rml-site-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return pattern;
}

std::string engine_name(std::size_t domain, std::size_t number)
{
    return "d" + std::to_string(domain) + "-e" + std::to_string(number);
}

std::string prompt_of(const std::string& content)
{
    return render_prompt({{"user", content}});
}

} // namespace

site::site(const site_options& options) : options(options), folder(make_folder())
{
    this->kv =
        std::make_unique<child_process>("rml-standin-kv", std::vector<std::string>{}, this->log_of("kv"));
    this->weights = std::make_unique<child_process>(
        "rml-standin-weights", std::vector<std::string>{"--concurrent-loads=8", "--load-ms=100"},
        this->log_of("weights"));
    this->instances = std::make_unique<child_process>(
        "rml-standin-instances", std::vector<std::string>{"--lag-ms=0"}, this->log_of("instances"));
    this->workshop = std::make_unique<child_process>("rml-standin-service", std::vector<std::string>{},
                                                     this->log_of("service"));
    for (std::size_t domain = 0; domain < 2; ++domain) {
        std::string names;
        for (std::size_t i = 0; i < options.engines_per_domain; ++i) {
            names += (i == 0 ? "" : ",") + engine_name(domain, i);
        }
        std::vector<std::string> arguments{"--instances=" + names, "--step-ms=" + options.step_ms,
                                           "--weights=" + to_string(this->weights->address())};
        if (domain == 0) {
            arguments.emplace_back("--fenced");
        }
        arguments.insert(arguments.end(), options.engine_arguments.begin(), options.engine_arguments.end());
        this->engine_processes.push_back(std::make_unique<child_process>(
            "rml-standin-engine", arguments, this->log_of("engines-" + std::to_string(domain)),
            options.engines_per_domain));
    }
    for (std::size_t i = 0; i < options.daemons; ++i) {
        this->start_daemon();
    }
    this->write_instances();
}

site::~site()
{
    for (const auto& daemon : this->daemons) {
        daemon->resume();
        daemon->kill_now();
    }
    if (std::getenv("RML_KEEP_LOGS") == nullptr) {
        // The names are those that this class gave.
        std::vector<std::string> names{"kv", "weights", "instances", "service", "engines-0", "engines-1"};
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            names.push_back("entry-" + std::to_string(i));
            std::remove((this->folder + "/entry-" + std::to_string(i) + ".json").c_str());
        }
        for (const auto& name : names) {
            std::remove(this->log_of(name).c_str());
        }
        std::remove((this->folder + "/objects.json").c_str());
        std::remove(this->folder.c_str());
    }
}

std::size_t site::start_daemon()
{
    const auto index = this->daemons.size();
    const auto name = "entry-" + std::to_string(index);
    const auto file = this->folder + "/" + name + ".json";
    const nlohmann::json settings{
        {"daemon", name},
        {"region", "r"},
        {"failure_domain", "d" + std::to_string(index % 2)},
        {"listen", {{"caller", "127.0.0.1:0"}, {"peer", "127.0.0.1:0"}, {"operator", "127.0.0.1:0"}}},
        {"platform",
         {{"store", to_string(this->kv->address())},
          {"instances", to_string(this->instances->address())},
          {"weights", to_string(this->weights->address())}}},
        {"peer_secret", "peer-secret-of-the-site"},
        {"operator_token", operator_token},
        {"workers", 2}};
    std::ofstream(file) << settings.dump(2);
    this->daemons.push_back(std::make_unique<child_process>(
        "rml-entryd", std::vector<std::string>{"--settings=" + file}, this->log_of(name)));
    return index;
}

endpoint site::engine_address(std::size_t domain, std::size_t number) const
{
    return this->engine_processes.at(domain)->address(number);
}

void site::write_instances(const std::vector<std::string>& leaving)
{
    nlohmann::json list = nlohmann::json::array();
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if (this->daemons[i]->running()) {
            list.push_back({{"instance", "entry-" + std::to_string(i)},
                            {"kind", "entry"},
                            {"state", "live"},
                            {"incarnation", 1},
                            {"peer_address", to_string(this->daemons[i]->named_address("peer"))}});
        }
    }
    for (std::size_t domain = 0; domain < 2; ++domain) {
        for (std::size_t i = 0; i < this->options.engines_per_domain; ++i) {
            const auto name = engine_name(domain, i);
            const bool leaves = std::find(leaving.begin(), leaving.end(), name) != leaving.end();
            list.push_back({{"instance", name},
                            {"kind", "engine"},
                            {"state", leaves ? "leaving" : "live"},
                            {"incarnation", 1}});
        }
    }
    http::call(this->instances->address(),
               {"PUT", "/v1/instances", {}, nlohmann::json{{"instances", list}}.dump()}, call_timeout);
}

std::string site::objects(const std::string& d0_state, const std::string& d1_state) const
{
    nlohmann::json list{{{"kind", "region"}, {"name", "r"}}};
    const std::vector<std::string> states{d0_state, d1_state};
    for (std::size_t domain = 0; domain < 2; ++domain) {
        const auto name = "d" + std::to_string(domain);
        list.push_back(
            {{"kind", "failure_domain"}, {"name", name}, {"region", "r"}, {"state", states[domain]}});
        list.push_back({{"kind", "fabric_domain"}, {"name", "f" + name}, {"failure_domain", name}});
        for (std::size_t i = 0; i < this->options.engines_per_domain; ++i) {
            list.push_back({{"kind", "engine"},
                            {"instance", engine_name(domain, i)},
                            {"address", to_string(this->engine_address(domain, i))},
                            {"fabric_domain", "f" + name},
                            {"fenced_orders", domain == 0}});
        }
    }
    list.push_back({{"kind", "model"},
                    {"name", "planner"},
                    {"version", "1"},
                    {"weights_gib", 40},
                    {"group_size", this->options.group_size}});
    list.push_back({{"kind", "model_pool"},
                    {"name", "assistant"},
                    {"model", "planner"},
                    {"groups", this->options.groups},
                    {"failure_domains", {"d0", "d1"}},
                    {"full_slots", 8},
                    {"ramp_step_ms", this->options.ramp_step.count()},
                    {"max_wait_ms", 8000}});
    list.push_back({{"kind", "office_service"},
                    {"name", "workshop"},
                    {"addresses", {to_string(this->workshop->address())}},
                    {"once_only_paths", {"/bookings"}},
                    {"timeout_ms", 4000}});
    list.push_back({{"kind", "account"},
                    {"name", "branch"},
                    {"token_sha256", control::sha256_hex("token")},
                    {"requests_per_second", 2000},
                    {"pools", {"assistant"}},
                    {"services", {"workshop"}}});
    list.push_back({{"kind", "entry_policy"},
                    {"max_daemons", 8},
                    {"address_lifetime_ms", this->options.address_lifetime.count()}});
    return nlohmann::json{{"objects", list}}.dump(1);
}

int site::publish(const std::string& d0_state, const std::string& d1_state)
{
    const auto file = this->folder + "/objects.json";
    std::ofstream(file) << this->objects(d0_state, d1_state);
    static int attempts = 0;
    ctl_options ctl;
    ctl.command = "publish";
    ctl.arguments = {file};
    ctl.store = this->kv->address();
    ctl.token = operator_token;
    ctl.attempt_id = "site-" + std::to_string(++attempts);
    ctl.author = "test";
    std::ostringstream out;
    std::ostringstream err;
    return static_cast<int>(run_ctl(ctl, out, err));
}

nlohmann::json site::status(std::size_t daemon) const
{
    const auto answer = http::call(
        this->daemons.at(daemon)->named_address("operator"),
        {"GET", "/operator/status", {{"authorization", std::string("Bearer ") + operator_token}}, ""},
        call_timeout);
    return succeeded(answer) ? nlohmann::json::parse(value(answer).body) : nlohmann::json::object();
}

nlohmann::json site::stats(const endpoint& standin)
{
    const auto answer = http::call(standin, {"GET", "/stats", {}, ""}, call_timeout);
    return succeeded(answer) ? nlohmann::json::parse(value(answer).body) : nlohmann::json::object();
}

void site::set_faults(const endpoint& standin, const nlohmann::json& faults)
{
    const auto answer = http::call(standin, {"POST", "/faults", {}, faults.dump()}, call_timeout);
    if (failed(answer) || value(answer).status != 200) {
        throw std::runtime_error("faults not accepted: " + faults.dump());
    }
}

std::size_t site::servable_groups(std::size_t daemon) const
{
    std::size_t count = 0;
    for (const auto& group : this->status(daemon).value("groups", nlohmann::json::array())) {
        count += group.at("servable").get<bool>() ? 1 : 0;
    }
    return count;
}

std::size_t site::warm_groups(std::size_t daemon) const
{
    std::size_t count = 0;
    for (const auto& group : this->status(daemon).value("groups", nlohmann::json::array())) {
        count += group.at("warm").get<bool>() ? 1 : 0;
    }
    return count;
}

bool site::wait_servable(std::size_t daemon, std::size_t groups) const
{
    const bool reached = wait_until([&] { return this->servable_groups(daemon) == groups; });
    if (!reached) {
        this->print_state();
    }
    return reached;
}

void site::print_state() const
{
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if (this->daemons[i]->running()) {
            std::cerr << "daemon " << i << ": " << this->status(i).dump() << "\n";
        }
    }
    for (std::size_t domain = 0; domain < 2; ++domain) {
        for (std::size_t i = 0; i < this->options.engines_per_domain; ++i) {
            const auto answer =
                http::call(this->engine_address(domain, i), {"GET", "/status", {}, ""}, call_timeout);
            std::cerr << engine_name(domain, i) << ": "
                      << (succeeded(answer) ? value(answer).body : error(answer).context) << "\n";
        }
    }
}

bool site::wait_until(const std::function<bool()>& condition, seconds limit)
{
    const auto deadline = steady_clock::now() + limit;
    while (!condition()) {
        if (steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

result<http::response> site::generate(std::size_t daemon, const std::string& prompt, std::uint32_t tokens,
                                      const std::string& deadline_ms) const
{
    const nlohmann::json body{{"model", "assistant"},
                              {"max_tokens", tokens},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    return http::call(this->daemons.at(daemon)->named_address("caller"),
                      {"POST",
                       "/v1/chat/completions",
                       {{"authorization", "Bearer token"},
                        {"content-type", "application/json"},
                        {"x-rml-deadline-ms", deadline_ms}},
                       body.dump()},
                      call_timeout);
}

result<http::response> site::book(std::size_t daemon, const std::string& key, const std::string& body,
                                  const std::string& deadline_ms) const
{
    return http::call(
        this->daemons.at(daemon)->named_address("caller"),
        {"POST",
         "/services/workshop/bookings",
         {{"authorization", "Bearer token"}, {"idempotency-key", key}, {"x-rml-deadline-ms", deadline_ms}},
         body},
        call_timeout);
}

std::string site::expected_text(const std::string& prompt, std::uint32_t tokens)
{
    return token_text(prompt_of(prompt), tokens);
}

bool site::whole_answer(const http::response& answer, const std::string& prompt, std::uint32_t tokens)
{
    if (answer.status != 200) {
        return false;
    }
    const auto document = nlohmann::json::parse(answer.body, nullptr, false);
    return !document.is_discarded() &&
           document.at("choices").at(0).at("message").at("content") == expected_text(prompt, tokens);
}

std::uint64_t site::domain_requests(std::size_t domain) const
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < this->options.engines_per_domain; ++i) {
        sum += stats(this->engine_address(domain, i)).value("started", std::uint64_t{0});
    }
    return sum;
}

} // namespace rml::test
