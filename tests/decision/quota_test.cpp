#include "decision/quota.hpp"

#include "decision/random_source.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck.h>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace rml;

namespace {

const account_id account("large");
constexpr milliseconds step{100};

struct network_message
{
    std::variant<quota_request, quota_grant> content;
    std::size_t daemon{0};
    std::size_t owner{0};
    time_point due{};
};

/// Daemons of two regions, two candidate owners per region, and a network that loses, duplicates and delays.
class fleet
{
public:
    static constexpr std::size_t daemon_count = 6;
    static constexpr std::size_t regions = 2;

    explicit fleet(random_source& source) : random(source), division{60, daemon_count, regions}
    {
        for (std::size_t d = 0; d < daemon_count; ++d) {
            this->clients.emplace_back((d + 1) << 32U);
            this->clients[d].update_account(account, this->division, this->now);
            this->demand.push_back(static_cast<double>(this->random.below(80)));
        }
        for (auto& owner : this->owners) {
            owner.update_account(account, this->division, this->now);
        }
    }

    void advance(bool faults)
    {
        this->now += step;
        this->run_leases(faults);
        this->deliver(faults);
        for (std::size_t d = 0; d < daemon_count; ++d) {
            this->run_daemon(d, faults);
        }
    }

    double rate() const
    {
        double sum = 0;
        for (const auto& client : this->clients) {
            sum += client.rate(account, this->now);
        }
        return sum;
    }

    double limit() const { return this->division.limit; }
    std::uint64_t admitted() const
    {
        std::uint64_t sum = 0;
        for (const auto& client : this->clients) {
            sum += client.stats().admitted;
        }
        return sum;
    }
    std::vector<double> demands() const { return this->demand; }
    double rate_of(std::size_t daemon) const { return this->clients[daemon].rate(account, this->now); }

private:
    void send(std::variant<quota_request, quota_grant> content, std::size_t daemon, std::size_t owner,
              bool faults)
    {
        if (this->now < this->partitioned_until[daemon]) {
            return;
        }
        const auto copies = faults ? this->random.pick({1, 1, 1, 1, 0, 2}) : 1;
        for (int i = 0; i < copies; ++i) {
            const auto delay = faults ? this->random.pick({0, 0, 0, 1, 2, 10, 25, 60}) : 0;
            this->network.push_back({content, daemon, owner, this->now + step * delay});
        }
    }

    void run_leases(bool faults)
    {
        for (std::size_t region = 0; region < regions; ++region) {
            auto& end = this->lease_end[region];
            const bool lapsed = this->now >= end;
            if (lapsed && faults) {
                this->owner_of[region] = this->random.below(2);
            }
            if (lapsed || (this->random.one_in(5) && this->renews[region])) {
                end = this->now + seconds(6);
                this->owners[2 * region + this->owner_of[region]].update_lease(end - step, this->now);
                this->renews[region] = !faults || !this->random.one_in(10);
            }
        }
    }

    void deliver(bool faults)
    {
        const auto pending = std::exchange(this->network, {});
        for (const auto& entry : pending) {
            const bool paused = this->now < this->resumes_at[entry.daemon];
            if (entry.due > this->now || (paused && std::holds_alternative<quota_grant>(entry.content))) {
                this->network.push_back(entry);
            } else if (const auto* request = std::get_if<quota_request>(&entry.content)) {
                const daemon_id name("d" + std::to_string(entry.daemon));
                this->send(this->owners[entry.owner].grant(name, *request, this->now), entry.daemon,
                           entry.owner, faults);
            } else {
                this->clients[entry.daemon].accept(std::get<quota_grant>(entry.content), this->now);
            }
        }
    }

    void run_daemon(std::size_t d, bool faults)
    {
        if (faults && this->random.one_in(100)) {
            this->resumes_at[d] = this->now + step * static_cast<int>(this->random.below(80));
        }
        if (faults && this->random.one_in(200)) {
            this->partitioned_until[d] =
                this->now + step * 80; // a partition: messages in both directions are lost
        }
        if (faults && this->random.one_in(50)) {
            this->demand[d] = static_cast<double>(this->random.below(80));
        }
        if (this->now < this->resumes_at[d]) {
            return;
        }
        auto& client = this->clients[d];
        for (this->credit[d] += this->demand[d] * 0.1; this->credit[d] >= 1; this->credit[d] -= 1) {
            client.try_acquire(account, this->now);
        }
        const auto region = d % regions;
        for (const auto& request : client.poll(this->now)) {
            const auto believed_owner =
                faults && this->random.one_in(6) ? 1 - this->owner_of[region] : this->owner_of[region];
            this->send(request, d, 2 * region + believed_owner, faults);
        }
    }

    random_source& random;
    quota_division division;
    time_point now{seconds(1000)};
    std::vector<quota_client> clients;
    quota_owner owners[2 * regions];
    std::vector<network_message> network;
    std::vector<double> demand;
    double credit[daemon_count]{};
    time_point resumes_at[daemon_count]{};
    time_point partitioned_until[daemon_count]{};
    time_point lease_end[regions]{};
    std::size_t owner_of[regions]{};
    bool renews[regions]{};
};

} // namespace

TEST_CASE("the sum of an account's rates never exceeds its limit", "[quota]")
{
    // Guards against a limit that is exceeded after lost, late or duplicated grants, paused daemons and
    // changes of the owner.
    double largest = 0;
    const bool held = rc::check("sum of rates and number of admitted requests", [&] {
        random_source random;
        fleet system(random);
        std::vector<std::uint64_t> history;
        for (int i = 0; i < 1200; ++i) {
            system.advance(true);
            largest = std::max(largest, system.rate());
            RC_ASSERT(system.rate() <= system.limit() + 1e-6);
            history.push_back(system.admitted());
            // The bucket of each daemon holds one second at the rate in force, or one token.
            const auto window = std::min<std::size_t>(history.size() - 1, 100);
            const auto count = history.back() - history[history.size() - 1 - window];
            const auto allowed =
                system.limit() * (0.1 * static_cast<double>(window) + 1) + fleet::daemon_count;
            RC_ASSERT(static_cast<double>(count) <= allowed);
        }
    });
    CHECK(held);
    CHECK(largest > 55); // proves that grants are in force: the limit is 60, the floors sum to 30
}

TEST_CASE("grants follow the demand as max-min filling does", "[quota]")
{
    const bool held = rc::check("rates without faults", [] {
        random_source random;
        fleet system(random);
        for (int i = 0; i < 400; ++i) {
            system.advance(false);
        }
        // Reference: raises, per region, all daemons below their demand in small steps until the share is
        // used.
        for (std::size_t region = 0; region < fleet::regions; ++region) {
            std::vector<double> wanted;
            std::vector<double> rates;
            for (auto d = region; d < fleet::daemon_count; d += fleet::regions) {
                wanted.push_back(std::max(0.0, std::min(1.25 * system.demands()[d], 60.0) - 5));
                rates.push_back(system.rate_of(d) - 5);
            }
            std::vector<double> filled(wanted.size(), 0);
            double left = 15;
            for (bool grew = true; grew && left > 0;) {
                grew = false;
                for (std::size_t i = 0; i < wanted.size(); ++i) {
                    if (filled[i] < wanted[i]) {
                        filled[i] += 0.01;
                        left -= 0.01;
                        grew = true;
                    }
                }
            }
            for (std::size_t i = 0; i < rates.size(); ++i) {
                RC_ASSERT(std::abs(rates[i] - filled[i]) <= 0.15 * wanted[i] + 0.5);
            }
        }
    });
    CHECK(held);
}
