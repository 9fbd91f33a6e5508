// Costs of the decisions on the request path, memory of the bounded tables, and a model of how choices over
// old load figures spread requests over groups.
#include "decision/admission.hpp"
#include "decision/crash_attribution.hpp"
#include "decision/quota.hpp"
#include "decision/ramp.hpp"
#include "decision/retry_budget.hpp"
#include "decision/routing.hpp"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace rml;

constexpr std::uint64_t seed = 20261204;
constexpr time_point start{seconds(1000)};

routing_group make_group(std::size_t i, std::size_t groups)
{
    routing_group group;
    group.id = group_id("waco-a/design/" + std::to_string(i));
    group.domain = failure_domain_id("d" + std::to_string(i * 10 / groups));
    // Ten failure domains in three regions, 30 ms apart.
    group.distance = i < groups * 4 / 10 ? microseconds(500) : microseconds(30000);
    group.servable = true;
    group.drained = i < groups / 10;
    return group;
}

routing make_router(std::size_t groups)
{
    routing router(routing_settings{});
    for (std::size_t i = 0; i < groups; ++i) {
        router.update_group(make_group(i, groups));
        router.update_load(make_group(i, groups).id, static_cast<std::uint8_t>(i * 37 % 200), start);
    }
    return router;
}

/// One choice with one failure domain of ten drained. Argument 1: prompt blocks, with 8 of them cached
/// somewhere.
void routing_choice(benchmark::State& state)
{
    const auto groups = static_cast<std::size_t>(state.range(0));
    auto router = make_router(groups);
    prefix_cache cache({1024, 2000, seconds(60)});
    route_request request;
    for (std::int64_t block = 1; block <= state.range(1); ++block) {
        request.prefix.push_back(static_cast<prefix_block>(block));
    }
    for (std::size_t i = 0; i < groups; i += 3) {
        cache.update(make_group(i, groups).id, {1, 1, prefix_event_kind::stored, {1, 2, 3, 4, 5, 6, 7, 8}},
                     start);
    }
    std::mt19937_64 random(seed);
    for (auto _ : state) {
        request.random = random();
        benchmark::DoNotOptimize(router.choose(request, cache, start + seconds(1)));
    }
}
BENCHMARK(routing_choice)->ArgsProduct({{15, 150, 1500}, {0, 64}});

/// A request through a busy queue: offered, and started when another ends. Argument: accounts.
void admission_offer_and_finish(benchmark::State& state)
{
    admission_settings settings;
    settings.max_wait = seconds(1000);
    admission queue(settings);
    queue.update_capacity(64, start);
    std::vector<admission_request> requests(static_cast<std::size_t>(state.range(0)));
    for (std::size_t i = 0; i < requests.size(); ++i) {
        requests[i].account = account_id("account-" + std::to_string(i));
        requests[i].weight = 1 + static_cast<double>(i % 4);
        requests[i].deadline = start + std::chrono::hours(1);
    }
    admission_ticket ticket = 0;
    const auto offer = [&] {
        auto& request = requests[++ticket % requests.size()];
        request.ticket = ticket;
        queue.offer(request, start);
    };
    for (int i = 0; i < 1000; ++i) {
        offer();
    }
    for (auto _ : state) {
        offer();
        benchmark::DoNotOptimize(queue.finish(milliseconds(500), 1, start));
    }
}
BENCHMARK(admission_offer_and_finish)->Arg(10)->Arg(1000);

void quota_check(benchmark::State& state)
{
    quota_client client(1);
    std::vector<account_id> accounts;
    for (int i = 0; i < 100; ++i) {
        accounts.emplace_back("account-" + std::to_string(i));
        client.update_account(accounts.back(), {1e6, 8, 1}, start);
    }
    auto now = start;
    std::size_t i = 0;
    for (auto _ : state) {
        now += microseconds(100);
        benchmark::DoNotOptimize(client.try_acquire(accounts[++i % accounts.size()], now));
    }
}
BENCHMARK(quota_check);

/// A request at the owner. Argument: daemons with a demand for the account.
void quota_owner_grant(benchmark::State& state)
{
    quota_owner owner;
    const account_id account("large");
    owner.update_lease(start + std::chrono::hours(1000000), start);
    owner.update_account(account, {1000, 390, 3}, start);
    std::vector<daemon_id> daemons;
    for (int i = 0; i < state.range(0); ++i) {
        daemons.emplace_back("daemon-" + std::to_string(i));
    }
    auto now = start + seconds(20);
    std::uint64_t request_id = 0;
    for (auto _ : state) {
        now += milliseconds(1000) / state.range(0);
        ++request_id;
        benchmark::DoNotOptimize(
            owner.grant(daemons[request_id % daemons.size()], {request_id, account, 5}, now));
    }
}
BENCHMARK(quota_owner_grant)->Arg(8)->Arg(130);

/// One request, grant, use and release, both sides.
void slot_cycle(benchmark::State& state)
{
    slot_allocator allocator;
    slot_client client(1);
    const group_id target("g");
    const daemon_id daemon("d");
    allocator.update_lease(start + std::chrono::hours(10), start);
    allocator.update_target(target, 1, {2, 64, std::chrono::hours(1)}, start);
    const auto now = start + seconds(10);
    allocator.observe(target, 1, 0, now);
    for (auto _ : state) {
        client.accept(allocator.grant(daemon, client.make_request(target, 1, slot_kind::ramp, 1, now), now),
                      now);
        const auto use = client.acquire(target, 1, slot_kind::ramp, now);
        if (!use) {
            state.SkipWithError("no slot");
            break;
        }
        allocator.release(daemon, client.release(*use, true), now);
    }
}
BENCHMARK(slot_cycle);

void retry_check(benchmark::State& state)
{
    retry_budget budget;
    auto now = start;
    for (auto _ : state) {
        now += microseconds(40);
        budget.record_first_try(now);
        benchmark::DoNotOptimize(budget.try_retry(now));
    }
}
BENCHMARK(retry_check);

/// Check, begin and end of an innocent request, with the table of records full.
void crash_check(benchmark::State& state)
{
    crash_attribution table;
    for (std::uint64_t i = 0; i < limits::crash_records; ++i) {
        table.apply({{i}, 0, i % 2 == 0, {{i, false}}, milliseconds(3600000)}, start);
    }
    const group_run target{group_id("g"), 1, fabric_domain_id("f"), failure_domain_id("d")};
    std::uint64_t ticket = 0;
    for (auto _ : state) {
        const request_fingerprint print{1000000 + ++ticket};
        benchmark::DoNotOptimize(table.check(print, start));
        table.begin(ticket, print, target, start);
        benchmark::DoNotOptimize(table.end(ticket, true, start));
    }
    state.counters["bytes_per_record"] = static_cast<double>(table.memory()) / limits::crash_records;
}
BENCHMARK(crash_check);

/// A notice that displaces another, with the table of records full.
void crash_apply_full(benchmark::State& state)
{
    crash_attribution table;
    std::uint64_t print = 0;
    const auto apply = [&] {
        table.apply({{++print}, 0, false, {{print, false}}, milliseconds(3600000)}, start);
    };
    for (std::size_t i = 0; i < limits::crash_records; ++i) {
        apply();
    }
    for (auto _ : state) {
        apply();
    }
}
BENCHMARK(crash_apply_full);

void prefix_cache_update(benchmark::State& state)
{
    prefix_cache cache;
    const group_id group("g");
    std::mt19937_64 random(seed);
    std::uint64_t sequence = 0;
    for (auto _ : state) {
        cache.update(group, {1, ++sequence, prefix_event_kind::stored, {random()}}, start);
    }
    state.counters["bytes_per_group"] = static_cast<double>(cache.memory());
    state.counters["bytes_150_groups"] = 150 * static_cast<double>(cache.memory());
}
BENCHMARK(prefix_cache_update);

enum class policy
{
    sampled, ///< `routing::choose`
    least,   ///< lowest score of all groups
    random,
};

/// Requests over 150 groups of 64 servers from 50 daemons. Load reports are made each second and arrive a
/// second later. Service times are exponential with a mean of 0.5 s; each group serves first come, first
/// served.
class spread_model
{
public:
    static constexpr std::size_t groups = 150;
    static constexpr std::size_t daemons = 50;
    static constexpr std::size_t servers = 64;

    spread_model(policy chosen, double utilisation, double mean_service)
        : how(chosen), service(mean_service), rate(utilisation * groups * servers / mean_service)
    {
        for (std::size_t i = 0; i < groups; ++i) {
            auto group = make_group(i, groups);
            group.distance = microseconds(500);
            group.drained = false;
            this->ids.push_back(group.id);
        }
        for (std::size_t d = 0; d < daemons; ++d) {
            routing_settings settings;
            settings.full_slots = servers;
            settings.service_time = milliseconds(static_cast<int>(1000 * mean_service));
            this->routers.emplace_back(settings);
            for (std::size_t i = 0; i < groups; ++i) {
                auto group = make_group(i, groups);
                group.distance = microseconds(500);
                group.drained = false;
                this->routers[d].update_group(group);
            }
        }
        this->free_at.resize(groups);
        this->open.resize(groups);
        for (auto& heap : this->free_at) {
            for (std::size_t i = 0; i < servers; ++i) {
                heap.push(start);
            }
        }
    }

    void run(seconds length)
    {
        std::exponential_distribution<double> gap(this->rate);
        for (auto now = start; now < start + length;) {
            now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(this->random)));
            while (now >= this->next_report) {
                this->report();
            }
            while (!this->ending.empty() && this->ending.top().at <= now) {
                const auto& over = this->ending.top();
                this->routers[over.daemon].end(over.chosen, duration::zero(), over.at);
                this->ending.pop();
            }
            this->request(now);
        }
    }

    /// Share of the waits, in ms.
    double wait_ms(double share)
    {
        const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(this->waits.size()));
        std::nth_element(this->waits.begin(), this->waits.begin() + position, this->waits.end());
        return this->waits[static_cast<std::size_t>(position)];
    }
    /// Most over mean requests of a group at a report, averaged over the reports after the warm-up.
    double imbalance() const
    {
        const auto first = this->ratios.begin() + this->warm_up.count();
        return std::accumulate(first, this->ratios.end(), 0.0) /
               static_cast<double>(std::distance(first, this->ratios.end()));
    }

private:
    using earliest = std::priority_queue<time_point, std::vector<time_point>, std::greater<>>;
    struct ended
    {
        time_point at;
        std::size_t daemon;
        route chosen;
        bool operator<(const ended& other) const { return this->at > other.at; }
    };

    void report()
    {
        for (std::size_t i = 0; i < groups && !this->delayed.empty(); ++i) {
            for (auto& router : this->routers) {
                router.update_load(this->ids[i], this->delayed[i], this->next_report - seconds(1));
            }
        }
        this->delayed.clear();
        std::size_t most = 0;
        std::size_t sum = 0;
        for (auto& heap : this->open) {
            while (!heap.empty() && heap.top() <= this->next_report) {
                heap.pop();
            }
            most = std::max(most, heap.size());
            sum += heap.size();
            const std::chrono::duration<double> wait(static_cast<double>(heap.size()) * this->service /
                                                     servers);
            this->delayed.push_back(encode_load(std::chrono::duration_cast<microseconds>(wait)));
        }
        this->ratios.push_back(static_cast<double>(most * groups) /
                               static_cast<double>(std::max<std::size_t>(sum, 1)));
        this->next_report += seconds(1);
    }

    std::size_t choose(routing& router, time_point now)
    {
        if (this->how == policy::random) {
            return this->random() % groups;
        }
        route_request request;
        request.random = this->random();
        if (this->how == policy::sampled) {
            const auto chosen = value(router.choose(request, this->cache, now)).group;
            return static_cast<std::size_t>(std::find(this->ids.begin(), this->ids.end(), chosen) -
                                            this->ids.begin());
        }
        std::size_t best = 0;
        auto best_score = microseconds::max();
        for (std::size_t i = 0; i < groups; ++i) {
            const auto score = value(router.score(this->ids[i], request, this->cache, now));
            if (score < best_score) {
                best = i;
                best_score = score;
            }
        }
        return best;
    }

    void request(time_point now)
    {
        const auto daemon = static_cast<std::size_t>(this->random() % daemons);
        const auto group = this->choose(this->routers[daemon], now);
        const route chosen{this->ids[group], microseconds(0), false, now};
        this->routers[daemon].begin(chosen);
        auto& servers_free = this->free_at[group];
        const auto begins = std::max(now, servers_free.top());
        servers_free.pop();
        std::exponential_distribution<double> length(1 / this->service);
        const auto ends = begins + std::chrono::duration_cast<duration>(
                                       std::chrono::duration<double>(length(this->random)));
        servers_free.push(ends);
        this->open[group].push(ends);
        this->ending.push({ends, daemon, chosen});
        if (now >= start + this->warm_up) {
            this->waits.push_back(std::chrono::duration<double, std::milli>(begins - now).count());
        }
    }

    policy how;
    double service; ///< seconds
    double rate;
    seconds warm_up{20};
    std::mt19937_64 random{seed};
    prefix_cache cache;
    std::vector<group_id> ids;
    std::vector<routing> routers;
    std::vector<earliest> free_at; ///< per group, when each server is free
    std::vector<earliest> open;    ///< per group, ends of the requests
    std::priority_queue<ended> ending;
    std::vector<std::uint8_t> delayed;
    time_point next_report{start};
    std::vector<double> waits;
    std::vector<double> ratios;
};

/// Arguments: utilisation in percent, mean service time in ms. At the design load of 2.3 M tokens/s in 10,000
/// requests/s with 27 ms per token, a request takes about 6 s.
void spread(benchmark::State& state, policy how)
{
    for (auto _ : state) {
        spread_model model(how, static_cast<double>(state.range(0)) / 100,
                           static_cast<double>(state.range(1)) / 1000);
        model.run(seconds(state.range(1) > 1000 ? 120 : 40));
        state.counters["imbalance"] = model.imbalance();
        state.counters["wait_p50_ms"] = model.wait_ms(0.5);
        state.counters["wait_p95_ms"] = model.wait_ms(0.95);
        state.counters["wait_p99_ms"] = model.wait_ms(0.99);
    }
}
BENCHMARK_CAPTURE(spread, sampled, policy::sampled)
    ->ArgsProduct({{80, 90, 95}, {500, 6000}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(spread, least, policy::least)
    ->ArgsProduct({{80, 90, 95}, {500, 6000}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(spread, random, policy::random)
    ->ArgsProduct({{80, 90, 95}, {500, 6000}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
