#include "decision/admission.hpp"

#include "decision/random_source.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace rml;

namespace {

constexpr time_point start{seconds(1000)};

admission_request make_request(admission_ticket ticket, const std::string& account, double weight = 1)
{
    admission_request request;
    request.ticket = ticket;
    request.account = account_id(account);
    request.weight = weight;
    request.deadline = start + std::chrono::hours(10);
    return request;
}

/// Exact weighted max-min fair rates: raises all rates in proportion to their weights, each up to its demand,
/// until the capacity is used.
std::vector<double> water_filling(const std::vector<double>& demands, const std::vector<double>& weights,
                                  double capacity)
{
    std::vector<double> rates(demands.size(), 0);
    for (;;) {
        double open_weight = 0;
        double left = capacity;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            left -= rates[i];
            open_weight += rates[i] < demands[i] ? weights[i] : 0;
        }
        if (open_weight == 0 || left < 1e-9) {
            return rates;
        }
        double level = left / open_weight;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            level = rates[i] < demands[i] ? std::min(level, (demands[i] - rates[i]) / weights[i]) : level;
        }
        for (std::size_t i = 0; i < demands.size(); ++i) {
            const auto grown = rates[i] + level * weights[i];
            rates[i] = rates[i] < demands[i] ? (grown >= demands[i] - 1e-9 ? demands[i] : grown) : rates[i];
        }
    }
}

} // namespace

TEST_CASE("admission shares the service rate as exact water-filling does", "[admission]")
{
    // Guards against an account that gets more than its share by sending more requests.
    const bool held = rc::check("served rates equal the water-filling rates", [] {
        random_source random;
        const auto accounts = 2 + random.below(5);
        std::vector<double> weights(accounts);
        std::vector<double> demands(accounts);
        for (std::size_t i = 0; i < accounts; ++i) {
            weights[i] = static_cast<double>(1 + random.below(4));
            demands[i] = static_cast<double>(1 + random.below(39));
        }
        // One slot and 50 ms of service give 20 requests a second.
        admission_settings settings;
        settings.max_wait = milliseconds(3000);
        settings.initial_service = milliseconds(50);
        admission queue(settings);
        queue.update_capacity(1, start);
        std::map<admission_ticket, std::size_t> owner;
        std::vector<double> served(accounts, 0);
        std::vector<double> credit(accounts, 0);
        admission_ticket ticket = 0;
        constexpr int ticks = 4000;
        constexpr int warm_up = 400;
        for (int tick = 0; tick < ticks; ++tick) {
            const auto now = start + milliseconds(50) * tick;
            const auto changes = queue.finish(milliseconds(50), 1, now);
            std::vector<admission_ticket> begun = changes.started;
            for (std::size_t i = 0; i < accounts; ++i) {
                credit[i] += demands[i] * 0.05;
                while (credit[i] >= 1) {
                    credit[i] -= 1;
                    auto request = make_request(++ticket, "a" + std::to_string(i), weights[i]);
                    owner[ticket] = i;
                    if (queue.offer(request, now).verdict == admission_verdict::started) {
                        begun.push_back(ticket);
                    }
                }
            }
            for (const auto which : begun) {
                served[owner[which]] += tick >= warm_up ? 1 : 0;
            }
        }
        const auto expected = water_filling(demands, weights, 20);
        for (std::size_t i = 0; i < accounts; ++i) {
            const auto rate = served[i] / (0.05 * (ticks - warm_up));
            RC_ASSERT(std::abs(rate - expected[i]) <= 0.05 * expected[i] + 0.1);
        }
    });
    CHECK(held);
}

TEST_CASE("admission refuses early and starts in priority order", "[admission]")
{
    admission_settings settings;
    settings.max_wait = milliseconds(1000);
    settings.initial_service = milliseconds(100);
    admission queue(settings);
    SECTION("without a servable group nothing is queued")
    {
        CHECK(queue.offer(make_request(1, "a"), start).reason == refusal_reason::no_capacity);
    }
    SECTION("a full queue refuses before the wait exceeds the bound")
    {
        queue.update_capacity(1, start);
        CHECK(queue.offer(make_request(1, "a"), start).verdict == admission_verdict::started);
        int queued = 0;
        admission_ticket ticket = 1;
        while (queue.offer(make_request(++ticket, "a"), start).verdict == admission_verdict::queued) {
            ++queued;
        }
        CHECK(queued == 10);
        CHECK(queue.stats().refused_wait == 1);

        SECTION("another account is still queued, as its own share is free")
        {
            CHECK(queue.offer(make_request(100, "b"), start).verdict == admission_verdict::queued);
        }
        SECTION("a request of higher priority is queued and started first")
        {
            auto urgent = make_request(100, "a");
            urgent.priority = 0;
            CHECK(queue.offer(urgent, start).verdict == admission_verdict::queued);
            CHECK(queue.finish(milliseconds(100), 1, start).started == std::vector<admission_ticket>{100});
        }
        SECTION("a best-effort request waits for all others")
        {
            auto best_effort = make_request(100, "b");
            best_effort.best_effort = true;
            CHECK(queue.offer(best_effort, start).reason == refusal_reason::wait);
        }
        SECTION("losing all capacity refuses all queued requests")
        {
            const auto changes = queue.update_capacity(0, start);
            CHECK(changes.refused.size() == 10);
            CHECK(queue.stats().queued == 0);
        }
        SECTION("requests whose deadline can no longer be met are refused, not started late")
        {
            auto brief = make_request(100, "b");
            brief.deadline = start + milliseconds(320);
            CHECK(queue.offer(brief, start).verdict == admission_verdict::queued);
            const auto changes = queue.expire(start + milliseconds(300));
            REQUIRE(changes.refused.size() == 1);
            CHECK(changes.refused[0].ticket == 100);
            CHECK(changes.refused[0].reason == refusal_reason::deadline);
        }
        SECTION("a cancelled request frees its room in the queue")
        {
            CHECK(queue.cancel(2));
            CHECK_FALSE(queue.cancel(2));
            CHECK(queue.offer(make_request(100, "a"), start).verdict == admission_verdict::queued);
        }
    }
    SECTION("halving the capacity refuses the requests that would wait too long")
    {
        queue.update_capacity(4, start);
        for (admission_ticket ticket = 1; ticket <= 44; ++ticket) {
            CHECK(queue.offer(make_request(ticket, "a"), start).verdict != admission_verdict::refused);
        }
        const auto changes = queue.update_capacity(2, start);
        CHECK(queue.stats().queued == 30);
        CHECK(changes.refused.size() == 10);
    }
}
