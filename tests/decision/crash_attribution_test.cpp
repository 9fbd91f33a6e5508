#include "decision/crash_attribution.hpp"

#include "decision/random_source.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <utility>
#include <vector>

using namespace rml;

namespace {

constexpr milliseconds step{50};

/// Three daemons, twelve groups in four failure domains, blackouts, and callers that repeat their requests.
/// The request of the first caller crashes each group that runs it.
class fleet
{
public:
    static constexpr std::size_t daemon_count = 3;
    static constexpr std::size_t domain_count = 4;
    static constexpr std::size_t groups_per_domain = 3;
    static constexpr std::size_t caller_count = 25;

    explicit fleet(random_source& source) : random(source)
    {
        for (std::size_t g = 0; g < domain_count * groups_per_domain; ++g) {
            group created;
            created.run.group = group_id("g" + std::to_string(g));
            created.run.incarnation = 1;
            created.run.fabric = fabric_domain_id("f" + std::to_string(g));
            created.run.domain = failure_domain_id("d" + std::to_string(g / groups_per_domain));
            this->groups.push_back(created);
        }
        for (std::size_t c = 0; c < caller_count; ++c) {
            caller created;
            created.fingerprint = {c + 1};
            created.sends_at = this->now + step * static_cast<int>(this->random.below(100));
            this->callers.push_back(created);
        }
        this->crasher_starts_at = this->now + step * static_cast<int>(100 + this->random.below(200));
    }

    void advance(bool blackouts)
    {
        this->now += step;
        if (blackouts && this->now >= this->no_blackout_until && this->random.one_in(60)) {
            this->start_blackout();
        }
        this->run_groups();
        this->deliver();
        for (std::size_t d = 0; d < daemon_count; ++d) {
            this->share(d, this->daemons[d].poll(this->now));
        }
        for (std::size_t c = 0; c < caller_count; ++c) {
            this->run_caller(c);
        }
    }

    /// Losses caused by the crashing request, except those within 2 s of a blackout's loss in the same
    /// domain, which cannot be distinguished from the blackout.
    std::size_t crashes() const
    {
        const auto uncorrelated = [&](const loss& crash) {
            return this->now > crash.at + limits::correlated_loss_window &&
                   std::none_of(this->losses.begin(), this->losses.end(), [&](const loss& other) {
                       const auto apart = other.at > crash.at ? other.at - crash.at : crash.at - other.at;
                       return !other.by_crash && other.domain == crash.domain &&
                              apart <= limits::correlated_loss_window;
                   });
        };
        return static_cast<std::size_t>(
            std::count_if(this->losses.begin(), this->losses.end(),
                          [&](const loss& entry) { return entry.by_crash && uncorrelated(entry); }));
    }
    std::size_t blackout_losses() const
    {
        return static_cast<std::size_t>(std::count_if(this->losses.begin(), this->losses.end(),
                                                      [](const loss& entry) { return !entry.by_crash; }));
    }
    bool crasher_blocked() const
    {
        return std::all_of(std::begin(this->daemons), std::end(this->daemons), [&](const auto& daemon) {
            return daemon.check({1}, this->now) == crash_verdict::blocked;
        });
    }
    bool innocent_blocked() const
    {
        for (const auto& daemon : this->daemons) {
            for (std::size_t c = 1; c < caller_count; ++c) {
                if (daemon.check(this->callers[c].fingerprint, this->now) == crash_verdict::blocked) {
                    return true;
                }
            }
        }
        return false;
    }

private:
    struct group
    {
        group_run run;
        std::optional<time_point> fails_at;
        std::optional<time_point> returns_at;
        bool fails_by_crash{false};
        std::optional<std::size_t> trial; ///< caller that holds the trial slot
    };
    struct loss
    {
        failure_domain_id domain;
        time_point at{};
        bool by_crash{false};
    };
    struct caller
    {
        request_fingerprint fingerprint;
        time_point sends_at{};
        std::size_t daemon{0};
        std::optional<std::size_t> running_on; ///< group that runs the request
        bool trial{false};
        bool waiting{false}; ///< for the classification after a loss
        std::uint64_t ticket{0};
        time_point ends_at{};
        std::vector<failure_domain_id> avoid;
        bool retried_by_same_daemon{false};
    };
    struct network_message
    {
        std::size_t daemon{0};
        std::optional<crash_notice> notice;
        group_run lost;
        time_point at{};
        time_point due{};
    };

    void start_blackout()
    {
        const auto domain = this->random.below(domain_count);
        const auto first = domain * groups_per_domain;
        const auto last = first + groups_per_domain;
        std::size_t alive = 0;
        for (auto g = first; g < last; ++g) {
            alive += this->groups[g].returns_at || this->groups[g].fails_at ? 0 : 1;
        }
        if (alive < 2) {
            return; // a single loss cannot be distinguished from a crash
        }
        this->no_blackout_until = this->now + seconds(8);
        for (auto g = first; g < last; ++g) {
            if (!this->groups[g].returns_at && !this->groups[g].fails_at) {
                this->groups[g].fails_at = this->now + step * static_cast<int>(this->random.below(30));
                this->groups[g].fails_by_crash = false;
            }
        }
    }

    void run_groups()
    {
        for (std::size_t g = 0; g < this->groups.size(); ++g) {
            auto& target = this->groups[g];
            if (target.returns_at && this->now >= *target.returns_at) {
                target.returns_at.reset();
                ++target.run.incarnation;
            }
            if (target.fails_at && this->now >= *target.fails_at) {
                this->lose(g);
            }
        }
    }

    void lose(std::size_t g)
    {
        auto& target = this->groups[g];
        this->losses.push_back({target.run.domain, this->now, target.fails_by_crash});
        target.fails_at.reset();
        target.fails_by_crash = false;
        target.returns_at = this->now + seconds(3);
        target.trial.reset();
        std::vector<bool> had_request(daemon_count, false);
        for (auto& entry : this->callers) {
            if (entry.running_on == g) {
                entry.running_on.reset();
                entry.waiting = true;
                had_request[entry.daemon] = true;
            }
        }
        for (std::size_t d = 0; d < daemon_count; ++d) {
            if (had_request[d]) {
                this->share(d, this->daemons[d].group_lost(target.run, this->now, this->now));
            }
            // Every daemon receives the loss by digest later.
            this->network.push_back({d, std::nullopt, target.run, this->now,
                                     this->now + step * static_cast<int>(this->random.below(24))});
        }
    }

    void share(std::size_t from, const crash_changes& changes)
    {
        for (const auto& notice : changes.notices) {
            for (std::size_t d = 0; d < daemon_count; ++d) {
                for (int copies = this->random.pick({1, 1, 2}); d != from && copies > 0; --copies) {
                    this->network.push_back(
                        {d, notice, {}, {}, this->now + step * this->random.pick({0, 1, 4, 8})});
                }
            }
        }
        for (const auto& answer : changes.classified) {
            for (auto& entry : this->callers) {
                if (entry.waiting && entry.daemon == from && entry.ticket == answer.ticket) {
                    entry.waiting = false;
                    entry.avoid = answer.avoid_domains;
                    const bool again =
                        answer.verdict == crash_verdict::run || answer.verdict == crash_verdict::trial;
                    entry.retried_by_same_daemon = again;
                    entry.sends_at = again ? this->now : this->retry_time();
                }
            }
        }
    }

    void deliver()
    {
        for (const auto& entry : std::exchange(this->network, {})) {
            if (entry.due > this->now) {
                this->network.push_back(entry);
            } else if (entry.notice) {
                this->daemons[entry.daemon].apply(*entry.notice, this->now);
            } else {
                this->share(entry.daemon,
                            this->daemons[entry.daemon].group_lost(entry.lost, entry.at, this->now));
            }
        }
    }

    time_point retry_time()
    {
        return this->now + milliseconds(1000) + step * static_cast<int>(this->random.below(40));
    }

    void run_caller(std::size_t c)
    {
        auto& self = this->callers[c];
        const bool crasher = c == 0;
        if (self.running_on && this->now >= self.ends_at) {
            auto& target = this->groups[*self.running_on];
            target.trial = target.trial == c ? std::nullopt : target.trial;
            self.running_on.reset();
            this->share(self.daemon, this->daemons[self.daemon].end(self.ticket, true, this->now));
            self.sends_at = this->retry_time();
            self.avoid = {};
            self.retried_by_same_daemon = false;
        }
        if (self.running_on || self.waiting || this->now < self.sends_at ||
            (crasher && this->now < this->crasher_starts_at)) {
            return;
        }
        if (!self.retried_by_same_daemon) {
            self.daemon = this->random.below(daemon_count);
        }
        auto& daemon = this->daemons[self.daemon];
        const auto verdict = daemon.check(self.fingerprint, this->now);
        const auto g = this->random.below(this->groups.size());
        auto& target = this->groups[g];
        const bool usable = !target.returns_at && std::find(self.avoid.begin(), self.avoid.end(),
                                                            target.run.domain) == self.avoid.end();
        if (verdict == crash_verdict::run || verdict == crash_verdict::trial) {
            self.trial = verdict == crash_verdict::trial;
            if (!usable || (self.trial && target.trial)) {
                return; // tries another group in the next step
            }
            this->start(c, g);
            return;
        }
        self.sends_at = this->retry_time();
        self.avoid = {};
        self.retried_by_same_daemon = false;
    }

    void start(std::size_t c, std::size_t g)
    {
        auto& self = this->callers[c];
        auto& target = this->groups[g];
        self.running_on = g;
        self.ticket = ++this->tickets;
        self.ends_at = this->now + milliseconds(500) + step * static_cast<int>(this->random.below(30));
        if (self.trial) {
            target.trial = c;
        }
        this->daemons[self.daemon].begin(self.ticket, self.fingerprint, target.run, this->now);
        if (c != 0) {
            return;
        }
        self.ends_at = time_point::max();
        const auto crash = this->now + step * static_cast<int>(1 + this->random.below(8));
        if (!target.fails_at || crash < *target.fails_at) {
            target.fails_at = crash;
            target.fails_by_crash = true;
        }
    }

    random_source& random;
    time_point now{seconds(1000)};
    time_point no_blackout_until{};
    time_point crasher_starts_at{};
    crash_attribution daemons[daemon_count];
    std::vector<group> groups;
    std::vector<caller> callers;
    std::vector<network_message> network;
    std::uint64_t tickets{0};
    std::vector<loss> losses;
};

group_run make_run(const char* id, const char* domain)
{
    return {group_id(id), 1, fabric_domain_id(id), failure_domain_id(domain)};
}

} // namespace

TEST_CASE("a crashing request causes at most two losses and other requests are never blocked", "[crash]")
{
    // Guards against a request that crashes one group after another, and against blocking requests that were
    // in flight when a power feed failed.
    for (const bool blackouts : {false, true}) {
        std::size_t blocked = 0;
        std::size_t lost = 0;
        const bool held = rc::check(blackouts ? "with blackouts" : "without blackouts", [&] {
            random_source random;
            fleet system(random);
            for (int i = 0; i < 1200; ++i) {
                system.advance(blackouts);
                RC_ASSERT(system.crashes() <= 2U);
                RC_ASSERT(!system.innocent_blocked());
            }
            blocked += system.crasher_blocked() ? 1 : 0;
            lost += system.blackout_losses();
        });
        CAPTURE(blackouts, blocked, lost);
        CHECK(held);
        CHECK(blocked >= 90);
        CHECK((lost > 500) == blackouts);
    }
}

TEST_CASE("losses are classified by the other losses at the same time", "[crash]")
{
    crash_attribution daemon;
    const request_fingerprint fingerprint = make_fingerprint(account_id("a"), "/v1", "body");
    time_point now{seconds(1000)};
    daemon.begin(1, fingerprint, make_run("g1", "d1"), now);
    daemon.group_lost(make_run("g1", "d1"), now, now);
    CHECK(daemon.check(fingerprint, now) == crash_verdict::hold);
    SECTION("a request is suspected after an unexplained loss")
    {
        now += limits::classification_delay;
        const auto changes = daemon.poll(now);
        REQUIRE(changes.classified.size() == 1);
        CHECK(changes.classified[0].verdict == crash_verdict::trial);
        crash_attribution other;
        other.apply(changes.notices.at(0), now);
        CHECK(other.check(fingerprint, now) == crash_verdict::trial);

        SECTION("and a successful trial clears it at all daemons")
        {
            daemon.begin(2, fingerprint, make_run("g2", "d2"), now);
            const auto cleared = daemon.end(2, true, now);
            CHECK(daemon.check(fingerprint, now) == crash_verdict::run);
            other.apply(cleared.notices.at(0), now);
            other.apply(changes.notices.at(0), now); // late
            CHECK(other.check(fingerprint, now) == crash_verdict::run);
        }
        SECTION("and a second loss blocks it at all daemons for an hour")
        {
            other.begin(2, fingerprint, make_run("g2", "d2"), now);
            const auto second = other.group_lost(make_run("g2", "d2"), now, now);
            daemon.apply(second.notices.at(0), now);
            CHECK(daemon.check(fingerprint, now) == crash_verdict::refuse);
            now += seconds(4);
            other.poll(now);
            CHECK(other.check(fingerprint, now) == crash_verdict::blocked);
            CHECK(daemon.check(fingerprint, now) == crash_verdict::blocked);
            CHECK(other.check(fingerprint, now + limits::block_lifetime) == crash_verdict::run);
        }
        SECTION("and a second loss of its own in the same failure domain does not explain the first")
        {
            daemon.begin(2, fingerprint, make_run("g2", "d1"), now);
            daemon.group_lost(make_run("g2", "d1"), now, now);
            now += seconds(4);
            daemon.poll(now);
            CHECK(daemon.check(fingerprint, now) == crash_verdict::blocked);
        }
        SECTION("and its retry avoids the failure domains of all its losses")
        {
            daemon.begin(2, fingerprint, make_run("g2", "d2"), now);
            daemon.group_lost(make_run("g2", "d2"), now, now);
            now += limits::classification_delay;
            const auto second = daemon.poll(now);
            const std::vector<failure_domain_id> both{failure_domain_id("d1"), failure_domain_id("d2")};
            CHECK(second.classified.at(0).avoid_domains == both);
        }
        SECTION("and a late report of another loss in the failure domain clears it")
        {
            daemon.group_lost(make_run("g3", "d1"), now + milliseconds(900), now + seconds(1));
            CHECK(daemon.check(fingerprint, now + seconds(1)) == crash_verdict::run);
        }
    }
    SECTION("the records are bounded, and blocked requests are evicted last")
    {
        crash_notice blocked{fingerprint, 0, true, {}, milliseconds(1000000)};
        daemon.apply(blocked, now);
        for (std::uint64_t i = 0; i < limits::crash_records + 100; ++i) {
            daemon.apply({{i}, 0, false, {{i, false}}, milliseconds(3000000)}, now);
        }
        daemon.poll(now);
        CHECK(daemon.stats().records == limits::crash_records);
        CHECK(daemon.check(fingerprint, now) == crash_verdict::blocked);
    }
}
