/// Cost of grouping, evidence and digests; and a comparison of placement methods over a run of random losses.
#include "base/hash.hpp"
#include "decision/evidence.hpp"
#include "decision/grouping.hpp"
#include "decision/observation.hpp"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <map>
#include <optional>
#include <random>

using namespace rml;

namespace {

constexpr std::uint32_t group_size = 4;
constexpr std::size_t engines_per_fabric = 10;
const failure_domain_id domain("waco-a");

pool_demand demand_of(std::size_t engines, std::uint32_t size)
{
    return {model_pool_id("drafts"), model_id("m"), "1", size, static_cast<std::uint32_t>(engines / size)};
}

std::vector<engine_view> make_engines(std::size_t count)
{
    std::vector<engine_view> engines;
    for (std::size_t i = 0; i < count; ++i) {
        engine_view view;
        view.instance = instance_id("engine-" + std::to_string(10000 + i));
        view.fabric = fabric_domain_id("fabric-" + std::to_string(1000 + i / engines_per_fabric));
        view.usable = true;
        view.ready = true;
        view.fenced = true;
        engines.push_back(view);
    }
    return engines;
}

grouping_input make_input(std::size_t count)
{
    grouping_input input;
    input.domain = domain;
    input.engines = make_engines(count);
    input.pools = {demand_of(count, group_size)};
    return input;
}

void form_from_nothing(benchmark::State& state)
{
    const auto input = make_input(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(form_groups(input));
    }
}
BENCHMARK(form_from_nothing)->Arg(60)->Arg(600)->Arg(6000)->Unit(benchmark::kMicrosecond);

void decide_without_change(benchmark::State& state)
{
    auto input = make_input(static_cast<std::size_t>(state.range(0)));
    const auto first = form_groups(input);
    input.previous = &value(first).plan;
    for (auto _ : state) {
        benchmark::DoNotOptimize(form_groups(input));
    }
}
BENCHMARK(decide_without_change)->Arg(60)->Arg(600)->Arg(6000)->Unit(benchmark::kMicrosecond);

void repair_after_fabric_loss(benchmark::State& state)
{
    auto input = make_input(static_cast<std::size_t>(state.range(0)));
    const auto first = form_groups(input);
    input.previous = &value(first).plan;
    for (std::size_t i = 0; i < engines_per_fabric; ++i) {
        input.engines[i].usable = false;
    }
    // One loss in another fabric domain, which has two spares.
    input.engines[engines_per_fabric].usable = false;
    for (auto _ : state) {
        benchmark::DoNotOptimize(form_groups(input));
    }
}
BENCHMARK(repair_after_fabric_loss)->Arg(60)->Arg(600)->Arg(6000)->Unit(benchmark::kMicrosecond);

committed_plan make_plan(std::size_t engines)
{
    return {value(form_groups(make_input(engines))).plan, 1, "bench"};
}

/// A digest in which every group is healthy.
digest make_digest(const committed_plan& plan)
{
    digest record;
    record.plan_revision = plan.revision;
    record.session = 1;
    record.groups.assign(plan.plan.groups().size(), {true, false, 12});
    return record;
}

void evidence_lookup(benchmark::State& state)
{
    const auto plan = make_plan(600);
    evidence_table table;
    table.install_plan(plan);
    auto record = make_digest(plan);
    const time_point start(seconds(1000));
    table.apply_digest(domain, record, start);
    record.sent_ms = 1000;
    table.apply_digest(domain, record, start + seconds(1));
    std::size_t next = 0;
    std::size_t servable = 0;
    const auto& groups = plan.plan.groups();
    for (auto _ : state) {
        servable += table.servable(groups[next++ % groups.size()].id, start + seconds(2)) ? 1 : 0;
    }
    state.counters["servable_share"] =
        static_cast<double>(servable) / static_cast<double>(state.iterations());
}
BENCHMARK(evidence_lookup);

void digest_apply(benchmark::State& state)
{
    const auto plan = make_plan(60);
    evidence_table table;
    table.install_plan(plan);
    auto record = make_digest(plan);
    time_point now(seconds(1000));
    for (auto _ : state) {
        record.sent_ms += 1000;
        now += seconds(1);
        table.apply_digest(domain, record, now);
    }
}
BENCHMARK(digest_apply);

void digest_encode(benchmark::State& state)
{
    const auto record = make_digest(make_plan(static_cast<std::size_t>(state.range(0))));
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = encode_digest(record).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["groups"] = static_cast<double>(record.groups.size());
}
BENCHMARK(digest_encode)->Arg(60)->Arg(600);

void digest_decode(benchmark::State& state)
{
    const auto bytes = encode_digest(make_digest(make_plan(static_cast<std::size_t>(state.range(0)))));
    for (auto _ : state) {
        benchmark::DoNotOptimize(decode_digest(bytes));
    }
}
BENCHMARK(digest_decode)->Arg(60)->Arg(600);

void observer_report_size(benchmark::State& state)
{
    engine_observer observer(1);
    const auto count = static_cast<std::size_t>(state.range(0));
    for (const auto& view : make_engines(count)) {
        engine_status report;
        report.instance = view.instance;
        observer.record(report, time_point(seconds(1)));
    }
    observer.take_changes(time_point(seconds(1)));
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = encode_observer_report(observer.take_full_report(time_point(seconds(2)))).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(observer_report_size)->Arg(2)->Arg(60);

/// A way to make the next plan. The comparison runs each over the same losses.
class placement
{
public:
    virtual ~placement() = default;
    virtual domain_plan next(grouping_input input) = 0;
};

class repairing_placement : public placement
{
public:
    domain_plan next(grouping_input input) override { return value(form_groups(input)).plan; }
};

/// Gives every group up and forms all anew from the usable engines, in the order of their names.
class naive_placement : public placement
{
public:
    domain_plan next(grouping_input input) override
    {
        std::map<fabric_domain_id, std::vector<instance_id>> usable;
        std::vector<instance_location> locations;
        for (const auto& view : input.engines) {
            locations.push_back({view.instance, view.fabric});
            if (view.usable) {
                usable[view.fabric].push_back(view.instance);
            }
        }
        std::vector<group_record> groups;
        for (const auto& [fabric, members] : usable) {
            const auto size = input.pools[0].group_size;
            for (std::size_t i = 0; i + size <= members.size() && groups.size() < input.pools[0].groups;
                 i += size) {
                group_record group;
                group.id = group_id(fabric.str() + "." + std::to_string(i));
                group.pool = input.pools[0].pool;
                group.fabric = fabric;
                group.members.assign(members.begin() + static_cast<std::ptrdiff_t>(i),
                                     members.begin() + static_cast<std::ptrdiff_t>(i + size));
                groups.push_back(std::move(group));
            }
        }
        return value(domain_plan::create(input.domain, std::move(groups), locations));
    }
};

/// Gives broken groups up and forms new ones from engines in no group: healthy groups stay, survivors are not
/// kept together.
class dissolving_placement : public placement
{
public:
    domain_plan next(grouping_input input) override
    {
        std::vector<group_record> whole;
        if (input.previous != nullptr) {
            for (const auto& group : input.previous->groups()) {
                const bool usable =
                    std::all_of(group.members.begin(), group.members.end(), [&](const instance_id& m) {
                        return std::any_of(
                            input.engines.begin(), input.engines.end(),
                            [&](const engine_view& view) { return view.instance == m && view.usable; });
                    });
                if (usable) {
                    whole.push_back(group);
                }
            }
        }
        const auto kept = value(domain_plan::create(
            input.domain, std::move(whole),
            input.previous == nullptr ? std::vector<instance_location>() : input.previous->locations()));
        input.previous = &kept;
        for (auto& view : input.engines) {
            view.model = model_id(); // places without regard to weights in memory
        }
        return value(form_groups(input)).plan;
    }
};

/// Identifies the members of a group, whatever its epoch.
std::uint64_t hash_of(const group_record& group)
{
    std::string text = group.id.str();
    for (const auto& member : group.members) {
        text += '/' + member.str();
    }
    return hash64(text);
}

struct simulated_engine
{
    std::size_t back_at{0}; ///< step at which a lost engine returns
    std::size_t load_until{0};
    group_id group;
    std::uint64_t members{0}; ///< hash_of the group served last
    bool weights{false};
};

struct comparison
{
    double stranded{0};    ///< healthy engines outside serving groups while the pool wants more, per step
    double reassigned{0};  ///< instances that joined a group, per loss
    double loads{0};       ///< weight loads, per loss
    double downtime{0};    ///< wanted groups that do not serve, per step
    double groups_lost{0}; ///< groups stopped by a loss, per loss event
};

struct comparison_options
{
    bool learn{false};       ///< use shared_risk
    bool warm_spares{false}; ///< engines in no group load the weights while the load limit leaves room
};

/// Sixty engines in six fabric domains, 12 groups of 4 wanted. Losses: single engines, and hidden feeds of 4
/// engines of one fabric domain that do not follow the order of names. A load takes 6 steps, a return 40. One
/// step is 10 s.
comparison run_losses(placement& method, comparison_options options, std::uint32_t seed)
{
    constexpr std::size_t steps = 20000;
    constexpr std::size_t load_steps = 6;
    constexpr std::size_t return_steps = 40;
    constexpr std::size_t parallel_loads = 8;
    std::mt19937 random(seed);
    auto input = make_input(60);
    input.pools[0].groups = 12;
    std::vector<std::size_t> feed_of(60);
    for (std::size_t i = 0; i < 60; ++i) {
        feed_of[i] = i / engines_per_fabric * 3 + (i % engines_per_fabric * 7 % engines_per_fabric) / 4;
    }
    std::vector<simulated_engine> engines(60);
    shared_risk risk;
    std::optional<domain_plan> plan;
    comparison total;
    std::size_t losses = 0;
    std::size_t events = 0;
    for (std::size_t step = 0; step < steps; ++step) {
        input.now = time_point(seconds(10 * step));
        const auto draw = std::uniform_int_distribution<std::size_t>(0, 399)(random);
        const auto victim = std::uniform_int_distribution<std::size_t>(0, 59)(random);
        std::vector<std::size_t> lost;
        if (draw < 4) {
            lost = {victim};
        } else if (draw < 6) {
            for (std::size_t i = 0; i < 60; ++i) {
                if (feed_of[i] == feed_of[victim]) {
                    lost.push_back(i);
                }
            }
        }
        std::vector<group_id> hit;
        for (const auto i : lost) {
            auto& engine = engines[i];
            if (engine.back_at > step) {
                continue;
            }
            ++losses;
            risk.record_loss(input.engines[i].instance, input.now);
            const auto* group = plan ? plan->group_of(input.engines[i].instance) : nullptr;
            if (group != nullptr && std::count(hit.begin(), hit.end(), group->id) == 0) {
                hit.push_back(group->id);
            }
            engine = simulated_engine{};
            engine.back_at = step + return_steps;
        }
        events += lost.empty() ? 0 : 1;
        total.groups_lost += static_cast<double>(hit.size());
        for (std::size_t i = 0; i < 60; ++i) {
            input.engines[i].usable = engines[i].back_at <= step;
            input.engines[i].model = engines[i].weights ? model_id("m") : model_id();
            input.engines[i].version = "1";
            input.engines[i].ready = engines[i].weights;
        }
        input.risk = options.learn ? &risk : nullptr;
        input.previous = plan ? &*plan : nullptr;
        input.previous_revision = step;
        plan = method.next(input);
        // Orders: engines join their groups; loads run a bounded number at once, groups in the order of the
        // plan.
        std::size_t loading = 0;
        for (const auto& engine : engines) {
            loading += engine.load_until > step ? 1 : 0;
        }
        std::size_t serving = 0;
        std::size_t in_serving = 0;
        std::size_t usable = 0;
        for (const auto& group : plan->groups()) {
            bool serves = true;
            for (const auto& member : group.members) {
                const auto i = static_cast<std::size_t>(std::stoul(member.str().substr(7)) - 10000);
                auto& engine = engines[i];
                if (!input.engines[i].usable) {
                    serves = false;
                    continue;
                }
                if (engine.group != group.id) {
                    engine.group = group.id;
                    ++total.reassigned;
                }
                if (!engine.weights && engine.load_until == 0 && loading < parallel_loads) {
                    engine.load_until = step + load_steps;
                    ++loading;
                    ++total.loads;
                }
                if (engine.load_until != 0 && engine.load_until <= step) {
                    engine.load_until = 0;
                    engine.weights = true;
                }
                // A regrouped engine serves from the next step on, also with weights in memory.
                serves = serves && engine.weights && engine.members == hash_of(group);
                engine.members = hash_of(group);
            }
            serving += serves ? 1 : 0;
            in_serving += serves ? group.members.size() : 0;
        }
        for (std::size_t i = 0; options.warm_spares && i < 60; ++i) {
            auto& engine = engines[i];
            if (!input.engines[i].usable || plan->group_of(input.engines[i].instance) != nullptr) {
                continue;
            }
            engine.weights = engine.weights || (engine.load_until != 0 && engine.load_until <= step);
            engine.load_until = engine.load_until <= step ? 0 : engine.load_until;
            if (!engine.weights && engine.load_until == 0 && loading < parallel_loads) {
                engine.load_until = step + load_steps;
                ++loading;
                ++total.loads;
            }
        }
        for (const auto& view : input.engines) {
            usable += view.usable ? 1 : 0;
        }
        if (serving < input.pools[0].groups) {
            total.downtime += static_cast<double>(input.pools[0].groups - serving);
            total.stranded += static_cast<double>(usable - in_serving);
        }
    }
    total.downtime /= steps;
    total.stranded /= steps;
    total.reassigned /= static_cast<double>(losses);
    total.loads /= static_cast<double>(losses);
    total.groups_lost /= static_cast<double>(events);
    return total;
}

void compare(benchmark::State& state, placement& method, comparison_options options)
{
    constexpr std::uint32_t runs = 5; // seeds 1 to 5
    comparison result;
    for (auto _ : state) {
        result = comparison{};
        for (std::uint32_t seed = 1; seed <= runs; ++seed) {
            const auto one = run_losses(method, options, seed);
            result.stranded += one.stranded / runs;
            result.reassigned += one.reassigned / runs;
            result.loads += one.loads / runs;
            result.downtime += one.downtime / runs;
            result.groups_lost += one.groups_lost / runs;
        }
    }
    state.counters["stranded_accelerators"] = 8 * result.stranded;
    state.counters["reassigned_per_loss"] = result.reassigned;
    state.counters["loads_per_loss"] = result.loads;
    state.counters["groups_down"] = result.downtime;
    state.counters["groups_lost_per_event"] = result.groups_lost;
}

void losses_repairing(benchmark::State& state)
{
    repairing_placement method;
    compare(state, method, {});
}
BENCHMARK(losses_repairing)->Iterations(1)->Unit(benchmark::kMillisecond);

void losses_repairing_shared_risk(benchmark::State& state)
{
    repairing_placement method;
    compare(state, method, {true, false});
}
BENCHMARK(losses_repairing_shared_risk)->Iterations(1)->Unit(benchmark::kMillisecond);

void losses_repairing_warm_spares(benchmark::State& state)
{
    repairing_placement method;
    compare(state, method, {false, true});
}
BENCHMARK(losses_repairing_warm_spares)->Iterations(1)->Unit(benchmark::kMillisecond);

void losses_naive(benchmark::State& state)
{
    naive_placement method;
    compare(state, method, {});
}
BENCHMARK(losses_naive)->Iterations(1)->Unit(benchmark::kMillisecond);

void losses_dissolving(benchmark::State& state)
{
    dissolving_placement method;
    compare(state, method, {});
}
BENCHMARK(losses_dissolving)->Iterations(1)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
