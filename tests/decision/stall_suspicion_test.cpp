#include "decision/stall_suspicion.hpp"

#include "decision/progress_monitor.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>

using namespace rml;

namespace {

/// A working target sends bytes at least this often.
constexpr milliseconds usual_gap{300};
constexpr milliseconds step{50};

/// A fleet in which each daemon has one or two requests at a target. Each target runs as many requests as it
/// has slots and queues the others. Stalls are detected with the code of the daemons.
class simulated_fleet
{
public:
    static constexpr std::size_t daemons = 60;
    static constexpr std::size_t targets = 12;
    static constexpr std::size_t slots = 10;
    static constexpr milliseconds service{1000};
    static constexpr milliseconds ejection_time{2500};

    simulated_fleet() : monitors(daemons), ejected_until(daemons), queues(targets) {}

    void run(milliseconds time, double arrivals_per_step)
    {
        for (const auto end = this->now + time; this->now < end; this->now += step) {
            for (auto& monitor : this->monitors) {
                monitor.tick(this->now);
            }
            for (this->pending_arrivals += arrivals_per_step; this->pending_arrivals >= 1;
                 this->pending_arrivals -= 1) {
                this->send(this->draw(daemons));
            }
            this->serve();
            this->detect_stalls();
        }
    }
    void fail(std::size_t target) { this->failed_targets.insert(target); }
    /// Number of daemons that have ejected the target.
    std::size_t ejecting_daemons(std::size_t target) const
    {
        std::size_t out = 0;
        for (const auto& known : this->ejected_until) {
            const auto found = known.find(target);
            out += found != known.end() && found->second > this->now ? 1U : 0U;
        }
        return out;
    }
    /// Number of working targets that at least half of the daemons have ejected.
    std::size_t ejected_healthy_targets() const
    {
        std::size_t out = 0;
        for (std::size_t target = 0; target < targets; ++target) {
            out += this->failed_targets.count(target) == 0 && this->ejecting_daemons(target) * 2 >= daemons
                       ? 1U
                       : 0U;
        }
        return out;
    }

private:
    struct request
    {
        std::size_t daemon{0};
        milliseconds left{service};
        bool begun{false};
    };

    std::size_t draw(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(this->random);
    }
    static instance_id name(std::size_t target) { return instance_id("t" + std::to_string(target)); }
    bool has_ejected(std::size_t daemon, std::size_t target) const
    {
        const auto found = this->ejected_until[daemon].find(target);
        return found != this->ejected_until[daemon].end() && found->second > this->now;
    }
    void send(std::size_t daemon)
    {
        std::vector<std::size_t> usable;
        for (std::size_t target = 0; target < targets; ++target) {
            if (!this->has_ejected(daemon, target)) {
                usable.push_back(target);
            }
        }
        const auto target = usable.empty() ? this->draw(targets) : usable[this->draw(usable.size())];
        this->queues[target].push_back({daemon, service, false});
        this->monitors[daemon].begin(name(target), this->now);
    }
    void serve()
    {
        for (std::size_t target = 0; target < targets; ++target) {
            auto& queue = this->queues[target];
            std::size_t running = 0;
            for (auto entry = queue.begin();
                 this->failed_targets.count(target) == 0 && entry != queue.end();) {
                if (running++ == slots) {
                    break;
                }
                auto& monitor = this->monitors[entry->daemon];
                monitor.progress(name(target), !entry->begun, this->now);
                entry->begun = true;
                entry->left -= step;
                if (entry->left > milliseconds(0)) {
                    ++entry;
                    continue;
                }
                monitor.end(name(target), true);
                entry = queue.erase(entry);
            }
        }
    }
    void detect_stalls()
    {
        this->votes.expire(this->now);
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            auto& monitor = this->monitors[daemon];
            for (std::size_t target = 0; target < targets; ++target) {
                stall_context context;
                context.usual_gap = usual_gap;
                context.streaming = monitor.streaming(name(target));
                context.suspected_by_peer = this->votes.count(name(target), this->now) > 0;
                if (monitor.silence(name(target), this->now) < stall_timeout(context)) {
                    continue;
                }
                if (context.streaming) {
                    this->votes.record(name(target), daemon_id("d" + std::to_string(daemon)), this->now);
                }
                this->ejected_until[daemon][target] = this->now + ejection_time;
                this->reroute(daemon, target);
            }
        }
        for (std::size_t target = 0; target < targets; ++target) {
            if (this->votes.count(name(target), this->now) >= votes_to_eject) {
                for (auto& known : this->ejected_until) {
                    known[target] = std::max(known[target], this->now + milliseconds(600));
                }
            }
        }
    }
    void reroute(std::size_t daemon, std::size_t from)
    {
        auto& queue = this->queues[from];
        for (auto entry = queue.begin(); entry != queue.end();) {
            if (entry->daemon != daemon) {
                ++entry;
                continue;
            }
            this->monitors[daemon].end(name(from), entry->begun);
            entry = queue.erase(entry);
            this->send(daemon);
        }
    }

    std::mt19937_64 random{20261204}; // fixed, so that every run simulates the same load
    time_point now{seconds(100)};
    double pending_arrivals{0};
    std::vector<progress_monitor> monitors;
    std::vector<std::map<std::size_t, time_point>>
        ejected_until; ///< for each daemon: end of the ejection by target
    std::vector<std::deque<request>> queues;
    suspicion_votes votes{milliseconds(600)};
    std::set<std::size_t> failed_targets;
};

} // namespace

TEST_CASE("the timeout for the first byte is longer than the one between bytes", "[stall_suspicion]")
{
    // Guards against full targets that count as stalled because a request waits in their queue.
    CHECK(stall_timeout({usual_gap, true, false}) == usual_gap);
    CHECK(stall_timeout({usual_gap, false, false}) > usual_gap);
    SECTION("the shorter timeout applies when another daemon suspects the target too")
    {
        CHECK(stall_timeout({usual_gap, false, true}) == usual_gap);
    }
    SECTION("the timeout is never shorter than the usual gap of a slow target")
    {
        CHECK(stall_timeout({seconds(4), false, false}) == seconds(4));
    }
}

TEST_CASE("two daemons that suspect a target are enough for all to eject it", "[stall_suspicion]")
{
    suspicion_votes votes(milliseconds(600));
    const instance_id target("t");
    const time_point now{seconds(5)};
    votes.record(target, daemon_id("d1"), now);

    SECTION("two reports of one daemon are one vote")
    {
        // Guards against a daemon with a broken link that makes all others eject a target.
        votes.record(target, daemon_id("d1"), now + milliseconds(100));
        CHECK(votes.count(target, now + milliseconds(200)) < votes_to_eject);
    }
    SECTION("two daemons are enough, until their votes expire")
    {
        votes.record(target, daemon_id("d2"), now + milliseconds(100));
        CHECK(votes.count(target, now + milliseconds(200)) >= votes_to_eject);
        CHECK(votes.count(target, now + milliseconds(650)) == 1);
        CHECK(votes.count_excluding(target, daemon_id("d2"), now + milliseconds(200)) == 1);
        CHECK(votes.count_excluding(target, daemon_id("d3"), now + milliseconds(200)) == 2);
        CHECK(votes.suspected_by(daemon_id("d2"), now + milliseconds(650)) ==
              std::vector<instance_id>{target});
        CHECK(votes.suspected_by(daemon_id("d1"), now + milliseconds(650)).empty());
        votes.expire(now + milliseconds(800));
        CHECK(votes.count(target, now + milliseconds(200)) == 0);
    }
}

TEST_CASE("a large fleet ejects the failed target, and not the full ones in turn", "[stall_suspicion]")
{
    // Guards against a fleet that uses a fraction of its capacity while the load lasts: full targets counted
    // as stalled, all daemons ejected them, and the next ones filled up.
    simulated_fleet fleet;
    constexpr double full = simulated_fleet::targets * simulated_fleet::slots *
                            std::chrono::duration<double>(step).count() /
                            std::chrono::duration<double>(simulated_fleet::service).count();
    fleet.run(seconds(5), 0.85 * full);
    CHECK(fleet.ejected_healthy_targets() == 0);
    fleet.fail(0);
    fleet.run(milliseconds(700), 0.85 * full);
    CHECK(fleet.ejecting_daemons(0) == simulated_fleet::daemons);

    SECTION("no working target is ejected while the remaining targets are overloaded for some seconds")
    {
        std::size_t most = 0;
        for (int i = 0; i < 40; ++i) {
            fleet.run(milliseconds(100), 1.1 * full);
            most = std::max(most, fleet.ejected_healthy_targets());
        }
        CHECK(most == 0);
    }
}
