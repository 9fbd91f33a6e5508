/// Concurrent requests of a test with a check of every answer.
#pragma once

#include "process/site.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rml::test {

struct traffic_counts
{
    std::uint64_t whole{0};            ///< 200 and exactly the answer of the own request
    std::uint64_t wrong{0};            ///< 200 with another content, or a broken connection
    std::uint64_t not_run{0};          ///< refused with outcome not-run
    std::uint64_t other{0};            ///< any other answer
    std::vector<std::string> examples; ///< some answers that were not whole
};

/// Sends generations from several threads until stop(), each thread to the daemons in turn.
class traffic
{
public:
    traffic(const site& target, std::vector<std::size_t> daemons, std::size_t threads, std::uint32_t tokens)
        : target(target), daemons(std::move(daemons)), tokens(tokens)
    {
        for (std::size_t i = 0; i < threads; ++i) {
            this->workers.emplace_back([this, i] { this->run(i); });
        }
    }
    ~traffic() { this->stop(); }
    traffic(const traffic&) = delete;
    traffic& operator=(const traffic&) = delete;

    traffic_counts stop()
    {
        this->stopping = true;
        for (auto& worker : this->workers) {
            worker.join();
        }
        this->workers.clear();
        const std::lock_guard guard(this->mutex);
        return this->counts;
    }

    traffic_counts current()
    {
        const std::lock_guard guard(this->mutex);
        return this->counts;
    }

private:
    static constexpr std::uint64_t requests_per_thread =
        2000; ///< bounds a test whose stop() is never reached
    static constexpr std::size_t kept_examples = 5;

    void run(std::size_t thread)
    {
        for (std::uint64_t n = 0; n < requests_per_thread && !this->stopping; ++n) {
            const auto prompt = "thread " + std::to_string(thread) + " question " + std::to_string(n);
            const auto answer = this->target.generate(this->daemons[(thread + n) % this->daemons.size()],
                                                      prompt, this->tokens);
            const std::lock_guard guard(this->mutex);
            this->count(answer, prompt);
        }
    }

    void count(const result<http::response>& answer, const std::string& prompt)
    {
        if (succeeded(answer) && site::whole_answer(value(answer), prompt, this->tokens)) {
            ++this->counts.whole;
            return;
        }
        if (succeeded(answer) && value(answer).status != 200) {
            const auto outcome = http::find_header(value(answer).headers, "x-rml-outcome");
            ++(outcome == "not-run" ? this->counts.not_run : this->counts.other);
        } else {
            ++this->counts.wrong;
        }
        if (this->counts.examples.size() < kept_examples) {
            this->counts.examples.push_back(succeeded(answer) ? std::to_string(value(answer).status) + " " +
                                                                    value(answer).body
                                                              : error(answer).context);
        }
    }

    const site& target;
    std::vector<std::size_t> daemons;
    std::uint32_t tokens;
    std::vector<std::thread> workers;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    traffic_counts counts;
};

inline std::string describe(const traffic_counts& counts)
{
    std::string text = "whole " + std::to_string(counts.whole) + ", wrong " + std::to_string(counts.wrong) +
                       ", not run " + std::to_string(counts.not_run) + ", other " +
                       std::to_string(counts.other);
    for (const auto& example : counts.examples) {
        text += "\n  " + example;
    }
    return text;
}

} // namespace rml::test
