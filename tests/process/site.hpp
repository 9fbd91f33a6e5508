/// A small site on loopback: stand-ins, entry daemons and a published object set.
#pragma once

#include "http/client.hpp"
#include "process/child_process.hpp"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace rml::test {

struct site_options
{
    std::size_t daemons{3};
    std::size_t engines_per_domain{4};
    std::size_t groups{4};
    std::size_t group_size{2};
    std::string step_ms{"10"};
    std::vector<std::string> engine_arguments;
    milliseconds address_lifetime{1000};
    milliseconds ramp_step{1000};
};

/// Two failure domains, d0 and d1, each with one fabric domain. The engines of d0 check fencing numbers,
/// those of d1 do not. Account token: "token". Pool "assistant", service "workshop" with the once-only path
/// /bookings.
class site
{
public:
    explicit site(const site_options& options);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Starts one more entry daemon and returns its index.
    std::size_t start_daemon();
    child_process& daemon(std::size_t index) { return *this->daemons.at(index); }
    child_process& store() { return *this->kv; }
    child_process& service() { return *this->workshop; }
    child_process& engines(std::size_t domain) { return *this->engine_processes.at(domain); }
    endpoint engine_address(std::size_t domain, std::size_t number) const;

    /// Publishes the site's objects with these states of d0 and d1.
    int publish(const std::string& d0_state = "in_service", const std::string& d1_state = "in_service");
    /// Writes the instance list, with all daemons started so far and these engines leaving.
    void write_instances(const std::vector<std::string>& leaving = {});

    nlohmann::json status(std::size_t daemon) const;
    static nlohmann::json stats(const endpoint& standin);
    static void set_faults(const endpoint& standin, const nlohmann::json& faults);

    std::size_t servable_groups(std::size_t daemon) const;
    std::size_t warm_groups(std::size_t daemon) const;
    /// Waits until the daemon's view has that many servable groups; prints the site's state if it never has.
    bool wait_servable(std::size_t daemon, std::size_t groups) const;
    static bool wait_until(const std::function<bool()>& condition, seconds limit = seconds(40));

    /// One whole generation with `tokens` tokens.
    result<http::response> generate(std::size_t daemon, const std::string& prompt, std::uint32_t tokens,
                                    const std::string& deadline_ms = "15000") const;
    result<http::response> book(std::size_t daemon, const std::string& key, const std::string& body,
                                const std::string& deadline_ms = "10000") const;
    /// Text that a correct answer to generate() has.
    static std::string expected_text(const std::string& prompt, std::uint32_t tokens);
    /// Whether the answer is whole and belongs to the prompt.
    static bool whole_answer(const http::response& answer, const std::string& prompt, std::uint32_t tokens);
    /// Requests that the engines of a domain have accepted for running.
    std::uint64_t domain_requests(std::size_t domain) const;

private:
    std::string objects(const std::string& d0_state, const std::string& d1_state) const;
    /// Prints what each daemon and each engine reports, to explain a wait that ended without success.
    void print_state() const;
    std::string log_of(const std::string& name) const { return this->folder + "/" + name + ".log"; }

    site_options options;
    std::string folder;
    std::unique_ptr<child_process> kv;
    std::unique_ptr<child_process> weights;
    std::unique_ptr<child_process> instances;
    std::unique_ptr<child_process> workshop;
    std::vector<std::unique_ptr<child_process>> engine_processes;
    std::vector<std::unique_ptr<child_process>> daemons;
};

} // namespace rml::test
