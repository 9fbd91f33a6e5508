/// Simulates the decision modules of one failure domain with random engine losses, process pauses, delayed
/// orders, two holders, delayed digests and lost store replies. Guards against groups that are servable
/// without all members (invariant 1), instances in two groups (invariant 2) and orders sent after the lease
/// lapsed.
#include "decision/assignment.hpp"
#include "decision/evidence.hpp"
#include "decision/grouping.hpp"
#include "decision/plan_epochs.hpp"
#include "store_model.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace rml;
using test::at;

namespace {

constexpr std::int64_t step_ms = 50;
constexpr std::int64_t run_ms = 60000;
constexpr std::size_t engine_count = 10;
const failure_domain_id domain("waco-a");
const std::string plan_key = "plan/waco-a";
const std::string duty_key = "duty/waco-a";

struct engine_model
{
    engine_status report;
    bool fenced{false};
    bool alive{true};
    std::int64_t back_at{0};
    std::int64_t loaded_at{0};
    time_point broken_at{}; ///< when the daemon under test last saw its connection break
    std::map<std::pair<std::string, std::uint64_t>, time_point>
        last_match; ///< when it last served this (group, epoch)
};

struct message
{
    std::int64_t due{0};
    std::function<void()> deliver;
};

struct holder
{
    holder(const char* name, std::uint16_t session)
        : name(name), role(domain, daemon_id(name), 1), commit(domain), observer(session), session(session)
    {
    }

    std::string name;
    duty role;
    plan_commit commit;
    engine_observer observer;
    observation_table observations;
    assignment control;
    std::uint16_t session;
    std::int64_t paused_until{0};
    std::int64_t probe_at{0};
    std::int64_t digest_at{0};
    std::uint64_t takeovers{0};
    std::uint64_t attempts{0};
    bool writing{false};
    time_point assumed_valid_until{};
    std::vector<assign_order> prepared; ///< decided but not sent yet; a pause may occur in between
};

class simulation
{
public:
    /// `overrun`: time for which a holder still treats an ended lease as valid, due to a faulty clock.
    explicit simulation(std::uint32_t seed, milliseconds overrun) : random(seed), overrun(overrun)
    {
        for (std::size_t i = 0; i < engine_count; ++i) {
            engine_model engine;
            engine.report.instance = instance_id("i" + std::to_string(i));
            engine.report.incarnation = 1;
            engine.fenced = this->chance(0.5);
            this->engines.push_back(engine);
        }
    }

    void run()
    {
        for (this->ms = 0; this->ms < run_ms; this->ms += step_ms) {
            this->deliver_messages();
            this->change_engines();
            for (auto* each : {&this->first, &this->second}) {
                if (this->ms >= each->paused_until) {
                    this->run_holder(*each);
                    // Most pauses occur when they do most harm: orders are decided but not sent, or a store
                    // write is pending.
                    if (this->chance(each->prepared.empty() && !each->writing ? 0.002 : 0.03)) {
                        each->paused_until = this->ms + this->between(500, 12000);
                    }
                }
            }
            this->send_due_probes();
            this->check();
        }
    }

    std::uint64_t served{0}; ///< servable groups summed over all steps; 0 would make the run vacuous
    std::uint64_t sent{0};

private:
    bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(this->random) < p; }
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
    }
    time_point now() const { return at(this->ms); }
    void post(std::int64_t delay, std::function<void()> deliver)
    {
        this->messages.push_back({this->ms + delay, std::move(deliver)});
    }

    void deliver_messages()
    {
        const auto split = std::stable_partition(this->messages.begin(), this->messages.end(),
                                                 [&](const message& m) { return m.due > this->ms; });
        std::vector<message> due(std::make_move_iterator(split),
                                 std::make_move_iterator(this->messages.end()));
        this->messages.erase(split, this->messages.end());
        for (auto& each : due) {
            each.deliver();
        }
    }

    void change_engines()
    {
        for (auto& engine : this->engines) {
            if (engine.alive && this->chance(0.001)) {
                engine.alive = false;
                engine.back_at = this->ms + this->between(200, 20000);
                if (this->chance(0.7)) {
                    engine.broken_at = this->now();
                    this->evidence.invalidate(engine.report.instance, this->now());
                }
            } else if (!engine.alive && this->ms >= engine.back_at) {
                const auto id = engine.report.instance;
                const auto incarnation = engine.report.incarnation + 1;
                engine.alive = true;
                engine.report = engine_status{};
                engine.report.instance = id;
                engine.report.incarnation = incarnation;
            }
            engine.report.loaded = !engine.report.model.empty() && this->ms >= engine.loaded_at;
            if (engine.alive && engine.report.loaded) {
                engine.last_match[{engine.report.group.str(), engine.report.group_epoch}] = this->now();
            }
        }
    }

    /// Makes a store call that takes effect after a delay or never. Its reply may be lost or exceed the
    /// timeout.
    template <class Call, class Role>
    void call_store(holder& daemon, const Call& call, Role& role, bool held_back = false)
    {
        const auto long_delay = this->between(500, held_back ? 15000 : 4000);
        const auto request_delay = held_back || this->chance(0.1) ? long_delay : this->between(0, 100);
        const auto reply_delay = this->chance(0.1) ? this->between(500, 4000) : this->between(0, 100);
        const bool arrives = !this->chance(0.05);
        const bool answered = !this->chance(0.05);
        const auto replied = [this, &daemon, &role](auto reply) {
            const auto wait = std::max<std::int64_t>(0, daemon.paused_until - this->ms);
            this->post(wait, [this, &role, reply] { role.on_reply(reply, this->now()); });
        };
        if (arrives) {
            this->post(request_delay, [this, call, reply_delay, answered, replied] {
                const auto reply = this->store.apply(call, this->now());
                this->check_stored_plan();
                if (answered) {
                    this->post(reply_delay, [replied, reply] { replied(reply); });
                }
            });
        }
        auto lost = decltype(this->store.apply(call, this->now())){};
        lost.number = call.number;
        this->post(limits::store_call_timeout.count(), [replied, lost] { replied(lost); });
    }

    /// Checks invariant 2 in the store: a group and epoch always identify the same member list, and no
    /// instance is in two groups.
    void check_stored_plan()
    {
        const auto revision = this->store.revision_of(plan_key);
        if (revision == 0 || revision == this->plan_revision) {
            return;
        }
        this->plan_revision = revision;
        const auto plan = decode_plan(this->store.peek(plan_key, this->now()), revision);
        RC_ASSERT(succeeded(plan));
        for (const auto& group : value(plan).plan.groups()) {
            const auto [known, added] =
                this->members_of.try_emplace({group.id.str(), group.epoch}, group.members);
            RC_ASSERT(known->second == group.members);
            // A plan derived from an outdated one would return a group to an earlier epoch.
            auto& latest = this->latest_epoch[group.id.str()];
            RC_ASSERT(group.epoch >= latest);
            latest = group.epoch;
        }
        this->post(this->between(0, 1500), [this, plan] { this->evidence.install_plan(value(plan)); });
    }

    duty_lease lease_of(holder& daemon)
    {
        auto lease = daemon.role.lease();
        if (this->overrun > milliseconds(0) && lease.valid_until != time_point{}) {
            daemon.assumed_valid_until =
                std::max(daemon.assumed_valid_until, lease.valid_until + this->overrun);
        }
        lease.valid_until = std::max(lease.valid_until, daemon.assumed_valid_until);
        return lease;
    }

    void observe(holder& daemon)
    {
        daemon.probe_at = this->ms + 500;
        for (const auto& engine : this->engines) {
            if (engine.alive) {
                daemon.observer.record(engine.report, this->now());
            } else {
                daemon.observer.record_probe_failure(engine.report.instance);
            }
        }
        daemon.observations.apply(daemon_id("observer"), daemon.observer.take_full_report(this->now()),
                                  this->now());
    }

    void propose_plan(holder& daemon)
    {
        if (!daemon.commit.ready() || !this->lease_of(daemon).permits_orders(this->now())) {
            return;
        }
        grouping_input input;
        input.domain = domain;
        input.previous = daemon.commit.committed() == nullptr ? nullptr : &daemon.commit.committed()->plan;
        input.previous_revision = daemon.commit.revision();
        input.settled = this->lease_of(daemon).permits_reassignment(this->now(), false);
        input.now = this->now();
        input.pools = {{model_pool_id("drafts"), model_id("m"), "1", 2, 3},
                       {model_pool_id("estimates"), model_id("n"), "1", 1, 3}};
        for (std::size_t i = 0; i < engine_count; ++i) {
            const auto& engine = this->engines[i];
            const auto* seen = daemon.observations.fresh(engine.report.instance, this->now());
            input.engines.push_back({engine.report.instance, fabric_domain_id(i < 5 ? "f0" : "f1"),
                                     seen != nullptr, engine.fenced, false,
                                     seen == nullptr ? model_id() : seen->report.model, "1"});
        }
        auto outcome = form_groups(input);
        RC_ASSERT(succeeded(outcome));
        auto epochs = record_incarnations(value(outcome).plan.groups(), daemon.observations,
                                          input.previous_revision + 1, this->now());
        if (value(outcome).changed || epochs.changed) {
            auto plan =
                domain_plan::create(domain, std::move(epochs.groups), value(outcome).plan.locations());
            RC_ASSERT(succeeded(plan));
            daemon.commit.propose(value(std::move(plan)), daemon.name + std::to_string(++daemon.attempts));
        }
    }

    void send_orders(holder& daemon)
    {
        for (const auto& order : std::exchange(daemon.prepared, {})) {
            if (failed(daemon.control.start_order(order, this->lease_of(daemon),
                                                  daemon.commit.orderable_revision(), this->now()))) {
                continue;
            }
            ++this->sent;
            if (this->overrun == milliseconds(0)) {
                // No order is sent after the lease lapsed or for a plan that is not in force.
                RC_ASSERT(this->store.peek(duty_key, this->now()).find(daemon.name) != std::string::npos);
                RC_ASSERT(order.fencing == this->store.revision_of(plan_key));
            }
            const auto delay = this->chance(0.1) ? this->between(2000, 20000) : this->between(0, 300);
            this->post(delay, [this, order] { this->apply_order(order); });
            this->post(limits::order_timeout.count(),
                       [&daemon, order] { daemon.control.finish_order(order.instance); });
        }
        if (daemon.commit.certain()) {
            if (daemon.commit.committed() != nullptr) {
                daemon.control.install_plan(*daemon.commit.committed());
            }
            daemon.prepared =
                daemon.control.next_orders(daemon.observations, {this->lease_of(daemon), 4, this->now()});
        }
    }

    void apply_order(const assign_order& order)
    {
        auto& engine =
            *std::find_if(this->engines.begin(), this->engines.end(), [&](const engine_model& candidate) {
                return candidate.report.instance == order.instance;
            });
        if (!engine.alive || (engine.fenced && order.fencing < engine.report.fencing)) {
            return;
        }
        const bool loads = !order.group.empty() && engine.report.model != order.model;
        engine.report.group = order.group;
        engine.report.group_epoch = order.epoch;
        engine.report.rank = order.rank;
        engine.report.fencing = order.fencing;
        if (loads) {
            engine.report.model = order.model;
            engine.report.version = order.version;
            engine.report.loaded = false;
            engine.loaded_at = this->ms + this->between(100, 3000);
        }
    }

    void run_holder(holder& daemon)
    {
        while (const auto call = daemon.role.next_call(this->now(), true)) {
            this->call_store(daemon, *call, daemon.role);
        }
        if (daemon.role.stats().acquired != daemon.takeovers) {
            daemon.takeovers = daemon.role.stats().acquired;
            daemon.commit.take_over(daemon.name + "-takeover-" + std::to_string(daemon.takeovers));
        }
        if (this->ms >= daemon.probe_at) {
            this->observe(daemon);
        }
        this->send_orders(daemon);
        if (daemon.takeovers > 0) {
            this->propose_plan(daemon);
            const auto call = daemon.commit.next_call(this->lease_of(daemon), this->now());
            daemon.writing = call && call->kind == plan_call_kind::replace;
            if (call) {
                const bool held_back = daemon.writing && this->chance(0.1);
                this->call_store(daemon, *call, daemon.commit, held_back);
                daemon.paused_until = held_back ? this->ms + this->between(5000, 12000) : daemon.paused_until;
            }
        }
        if (daemon.role.holds() && daemon.commit.committed() != nullptr && this->ms >= daemon.digest_at) {
            daemon.digest_at = this->ms + 1000;
            const auto record = build_digest(
                *daemon.commit.committed(), daemon.observations,
                {1, daemon.session, this->lease_of(daemon).permits_orders(this->now()), this->now()});
            const auto delay = this->chance(0.1) ? this->between(300, 15000) : this->between(0, 300);
            this->post(delay, [this, record] { this->evidence.apply_digest(domain, record, this->now()); });
        }
    }

    /// Sends the probes that the daemon under test needs; their answers may be delayed.
    void send_due_probes()
    {
        for (const auto& [key, members] : this->members_of) {
            for (const auto& instance : this->evidence.probes_due(group_id(key.first), this->now())) {
                const auto& engine =
                    *std::find_if(this->engines.begin(), this->engines.end(),
                                  [&](const engine_model& each) { return each.report.instance == instance; });
                if (engine.alive) {
                    const auto probe_sent_at = this->now();
                    const auto report = engine.report;
                    this->post(
                        this->between(50, this->chance(0.1) ? 5000 : 200),
                        [this, report, probe_sent_at] { this->evidence.apply_probe(report, probe_sent_at); });
                }
            }
        }
    }

    void check()
    {
        std::map<std::string, std::string> group_of;
        for (const auto& [key, members] : this->members_of) {
            const auto* record = this->evidence.find(group_id(key.first));
            if (record == nullptr || record->epoch != key.second ||
                !this->evidence.servable(record->id, this->now())) {
                continue;
            }
            ++this->served;
            for (const auto& member : record->members) {
                // Invariant 2 at the daemon under test: no instance is in two servable groups.
                RC_ASSERT(group_of.try_emplace(member.str(), key.first).second);
                const auto& engine =
                    *std::find_if(this->engines.begin(), this->engines.end(),
                                  [&](const engine_model& each) { return each.report.instance == member; });
                // Invariant 1: every member served this group and epoch within the lifetime of evidence, and
                // after the last break of its connection.
                const auto match = engine.last_match.find(key);
                RC_ASSERT(match != engine.last_match.end());
                RC_ASSERT(this->now() - match->second <= limits::evidence_lifetime);
                RC_ASSERT(match->second >= engine.broken_at);
            }
        }
    }

    std::mt19937 random;
    milliseconds overrun;
    std::int64_t ms{0};
    std::vector<engine_model> engines;
    std::vector<message> messages;
    test::store_model store;
    holder first{"d1", 1};
    holder second{"d2", 2};
    evidence_table evidence;
    std::uint64_t plan_revision{0};
    std::map<std::string, std::uint64_t> latest_epoch;
    std::map<std::pair<std::string, std::uint64_t>, std::vector<instance_id>> members_of;
};

} // namespace

TEST_CASE("no fault makes an incomplete group servable or puts an instance in two groups", "[invariant]")
{
    const auto run_simulation = [](milliseconds overrun) {
        simulation each(*rc::gen::arbitrary<std::uint32_t>(), overrun);
        each.run();
        RC_ASSERT(each.served > 0U);
        RC_ASSERT(each.sent > 0U);
        RC_CLASSIFY(each.served > 1000U, "more than 1000 servable groups over all steps");
    };
    CHECK(rc::check("pauses, delayed orders, lost replies", [&] { run_simulation(milliseconds(0)); }));
    CHECK(
        rc::check("two holders that both treat their lease as valid", [&] { run_simulation(seconds(20)); }));
}
