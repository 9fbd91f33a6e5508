// Costs of the gateway's decisions on the users' platform, against the number of targets, engines and
// daemons.
#include "decision/replica_planner.hpp"
#include "decision/target_choice.hpp"
#include "gateway/fleet_state.hpp"

#include <algorithm>
#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>
#include <random>
#include <string>

namespace {

std::atomic<std::uint64_t> allocation_count{0};

} // namespace

// Not inlined, so that the compiler does not take the two functions for a mismatched pair.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    ++allocation_count;
    if (void* const out = std::malloc(size)) {
        return out;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace {

using namespace rml;

constexpr std::uint64_t seed = 20261205;
constexpr time_point start{seconds(1000)};
constexpr std::uint32_t slots = 25;
constexpr int paused_every = 10;

class allocation_counter
{
public:
    explicit allocation_counter(benchmark::State& measured) : state(measured) {}
    ~allocation_counter()
    {
        this->state.counters["allocations"] = static_cast<double>(allocation_count - this->before) /
                                              static_cast<double>(this->state.iterations());
    }
    allocation_counter(const allocation_counter&) = delete;
    allocation_counter& operator=(const allocation_counter&) = delete;

private:
    benchmark::State& state;
    const std::uint64_t before{allocation_count};
};

gateway::target_entry entry_of(int number)
{
    gateway::target_entry out;
    out.instance = instance_id("i-" + std::to_string(1000000 + number));
    out.service = service_id("pool");
    out.slots = slots;
    out.started_ms = 1;
    return out;
}

gateway::peer_report report_of(int daemon, int targets, std::uint64_t sequence)
{
    gateway::peer_report out;
    out.daemon = daemon_id("front-" + std::to_string(daemon));
    out.started_ms = 1;
    out.sequence = sequence;
    for (int i = daemon % paused_every; i < targets; i += paused_every) {
        out.in_flight[entry_of(i).instance] = 1;
    }
    return out;
}

/// Arguments: targets, daemons.
void fill(gateway::fleet_state& fleet, const benchmark::State& state)
{
    for (int i = 0; i < state.range(0); ++i) {
        fleet.update_target(entry_of(i), start);
    }
    for (int i = 0; i < state.range(1); ++i) {
        fleet.update_peer(daemon_id("front-" + std::to_string(i)), {});
        fleet.accept_report(report_of(i, static_cast<int>(state.range(0)), 1), start);
    }
}

/// One choice among all targets; every tenth has asked for a pause.
void target_choice(benchmark::State& state)
{
    gateway::fleet_state fleet(daemon_id("self"));
    fill(fleet, state);
    std::vector<instance_id> names;
    for (int i = 0; i < state.range(0); ++i) {
        names.push_back(entry_of(i).instance);
        if (i % paused_every == 0) {
            fleet.find_target(names.back())->pause.extend(seconds(60), 0, start);
        }
    }
    std::mt19937_64 random(seed);
    std::vector<target_candidate> candidates;
    const allocation_counter counter(state);
    for (auto _ : state) {
        candidates.clear();
        for (const auto& name : names) {
            const auto right = fleet.right_to_send(name, start);
            if (may_send(right)) {
                target_candidate candidate;
                candidate.instance = name;
                candidate.others = fleet.others_in_flight(name, start);
                candidate.slots = slots;
                candidates.push_back(std::move(candidate));
            }
        }
        benchmark::DoNotOptimize(choose_target(candidates, random()));
    }
}
BENCHMARK(target_choice)->Args({10, 30})->Args({228, 89})->Args({228, 300})->Args({1000, 300});

/// One report of another daemon.
void report_applied(benchmark::State& state)
{
    gateway::fleet_state fleet(daemon_id("self"));
    fill(fleet, state);
    auto report = report_of(0, static_cast<int>(state.range(0)), 1);
    for (auto _ : state) {
        ++report.sequence;
        benchmark::DoNotOptimize(fleet.accept_report(report, start));
    }
}
BENCHMARK(report_applied)->Args({10, 30})->Args({228, 89})->Args({1000, 300});

/// The headers of an answer that names neither a pause nor the end of its target.
void signals_read(benchmark::State& state)
{
    gateway::header_names names;
    names.leaving = "Server-Leaving";
    const http::response answer{200,
                                {{"X-Request-Id", "9c41d07be2a35f68"},
                                 {"Content-Type", "text/event-stream"},
                                 {"Keep-Alive", "timeout=5"}},
                                {}};
    const allocation_counter counter(state);
    for (auto _ : state) {
        benchmark::DoNotOptimize(gateway::read_signals(answer, names));
    }
}
BENCHMARK(signals_read);

/// A pass of the manager's planner while all groups serve. Argument: engines, in domains of 37.
void plan_without_change(benchmark::State& state)
{
    constexpr int domain = 37;
    planner_input input;
    input.models = {{model_id("large"), 16, 0.5, seconds(16), milliseconds(1600)},
                    {model_id("small"), 8, 0.5, seconds(12), milliseconds(1100)}};
    for (int i = 0; i < state.range(0); ++i) {
        planner_engine engine;
        engine.instance = entry_of(i).instance;
        engine.fabric = fabric_domain_id("d" + std::to_string(i / domain));
        engine.free = true;
        input.engines.push_back(engine);
    }
    input.loads_allowed = 100000;
    input.join_with_loads = true;
    for (const auto& created : plan_replicas(input).create) {
        planner_group group{group_id("g" + std::to_string(input.groups.size())), created.model,
                            created.fabric, created.members, true};
        for (auto& engine : input.engines) {
            const auto& members = created.members;
            if (std::find(members.begin(), members.end(), engine.instance) != members.end()) {
                engine.free = false;
                engine.loaded = created.model;
                engine.staged = {input.models[created.model == input.models[0].model ? 1 : 0].model};
            }
        }
        input.groups.push_back(std::move(group));
    }
    input.join_with_loads = false;
    input.loads_allowed = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(plan_replicas(input));
    }
}
BENCHMARK(plan_without_change)->Arg(55)->Arg(228)->Arg(925)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
