// Prints the encoded sizes of control messages and documents at the two-year size, and the time to encode and
// decode the large ones. docs/CAPACITY.md takes its sizes from here.

#include "control/config_snapshot.hpp"
#include "control/duty_loop.hpp"
#include "decision/membership.hpp"
#include "decision/observation.hpp"
#include "model/engine_status.hpp"
#include "model/plan.hpp"
#include "objects/object_codec.hpp"
#include "peer/messages.hpp"

#include <chrono>
#include <cstdio>
#include <string>

namespace {

using namespace rml;

constexpr int domains = 10;
constexpr int fabrics_per_domain = 6;
constexpr int engines_per_domain = 60;
constexpr int groups_per_domain = 15;
constexpr int group_size = 4;
constexpr int accounts = 10;

std::string domain_name(int d)
{
    return "budapest-" + std::to_string(d);
}

std::string instance_name(int domain, int engine)
{
    return "engine-" + std::to_string(100 + domain * engines_per_domain + engine);
}

std::string fabric_name(int domain, int fabric)
{
    return domain_name(domain) + "-fabric-" + std::to_string(fabric);
}

engine_status status_of(int engine)
{
    engine_status report;
    report.instance = instance_id(instance_name(0, engine));
    report.incarnation = 1796366645123456789ULL;
    report.group = group_id("assistant-budapest-0-12");
    report.group_epoch = 123456;
    report.rank = 3;
    report.model = model_id("planner");
    report.version = "2026-11";
    report.loaded = true;
    report.running = 60;
    report.queued = 3;
    report.fencing = 123456;
    return report;
}

object_set full_set()
{
    object_set set;
    set.generation = 30000;
    for (int r = 0; r < 3; ++r) {
        set.regions.push_back({region_id("region-" + std::to_string(r))});
    }
    for (int d = 0; d < domains; ++d) {
        failure_domain_object domain;
        domain.name = failure_domain_id(domain_name(d));
        domain.region = set.regions[static_cast<std::size_t>(d % 3)].name;
        set.failure_domains.push_back(domain);
        for (int f = 0; f < fabrics_per_domain; ++f) {
            fabric_domain_object fabric;
            fabric.name = fabric_domain_id(fabric_name(d, f));
            fabric.failure_domain = domain.name;
            set.fabric_domains.push_back(fabric);
        }
        for (int e = 0; e < engines_per_domain; ++e) {
            engine_object engine;
            engine.instance = instance_id(instance_name(d, e));
            engine.address = value(parse_endpoint("10.120.130." + std::to_string(100 + e) + ":8000"));
            engine.fabric_domain = fabric_domain_id(fabric_name(d, e % fabrics_per_domain));
            set.engines.push_back(engine);
        }
    }
    model_object model;
    model.name = model_id("planner");
    model.version = "2026-11";
    model.weights_gib = 640;
    model.group_size = group_size;
    set.models.push_back(model);
    model_pool_object pool;
    pool.name = model_pool_id("assistant");
    pool.model = model.name;
    pool.groups = domains * groups_per_domain;
    for (const auto& domain : set.failure_domains) {
        pool.failure_domains.push_back(domain.name);
    }
    set.pools.push_back(pool);
    for (int a = 0; a < accounts; ++a) {
        account_object account;
        account.name = account_id("account-" + std::to_string(a));
        account.token_sha256 = std::string(64, 'a');
        account.pools = {pool.name};
        set.accounts.push_back(account);
    }
    return set;
}

domain_plan full_plan()
{
    std::vector<group_record> groups;
    std::vector<instance_location> locations;
    for (int e = 0; e < engines_per_domain; ++e) {
        locations.push_back({instance_id(instance_name(0, e)),
                             fabric_domain_id(fabric_name(0, e / group_size % fabrics_per_domain))});
    }
    for (int g = 0; g < groups_per_domain; ++g) {
        group_record group;
        group.id = group_id("assistant-budapest-0-" + std::to_string(g));
        group.epoch = 123456;
        group.pool = model_pool_id("assistant");
        group.model = model_id("planner");
        group.version = "2026-11";
        group.fabric = fabric_domain_id(fabric_name(0, g % fabrics_per_domain));
        for (int m = 0; m < group_size; ++m) {
            group.members.push_back(instance_id(instance_name(0, g * group_size + m)));
            group.incarnations.push_back(1796366645123456789ULL);
        }
        groups.push_back(group);
    }
    auto plan = domain_plan::create(failure_domain_id(domain_name(0)), groups, locations);
    if (failed(plan)) {
        std::fprintf(stderr, "plan: %s\n", error(plan).context.c_str());
        std::exit(1);
    }
    return value(std::move(plan));
}

std::size_t push_size(const std::string& key, item_version version, const std::string& payload)
{
    return peer::encode(push_message{{item{key, version, item_class::durable, payload}}}).size();
}

template <class F>
double mean_us(F run)
{
    constexpr int repetitions = 50;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < repetitions; ++i) {
        run();
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() /
           repetitions;
}

void print_size(const char* what, std::size_t bytes)
{
    std::printf("| %s | %zu B |\n", what, bytes);
}

} // namespace

int main()
{
    const item_version version{1234567, 345678};
    print_size("keepalive", peer::encode(peer::keepalive_message{30000}).size());
    summary_message summary;
    summary.durable_hash = 0xfedcba9876543210ULL;
    print_size("summary over an eager link", peer::encode(summary).size());
    for (std::uint32_t d = 0; d < domains; ++d) {
        summary.periodic.push_back({0xfedcba98U - d, static_cast<std::uint16_t>(version.minor)});
    }
    print_size("summary over a lazy link, 10 domains", peer::encode(summary).size());

    digest record;
    record.groups.resize(groups_per_domain);
    const auto digest_payload = control::encode_published_digest(daemon_id("entry-123"), record);
    print_size("digest of 15 groups, packed", encode_digest(record).size());
    print_size("digest of 15 groups, push frame",
               push_size("digest/" + domain_name(0), version, digest_payload));

    engine_observer observer(17);
    const auto now = std::chrono::steady_clock::now();
    observer.record(status_of(0), now);
    observer.record(status_of(1), now);
    const auto observe_size = [&] {
        return peer::encode(peer::observe_message{failure_domain_id(domain_name(0)),
                                                  encode_observer_report(observer.take_full_report(now))})
            .size();
    };
    print_size("observe, 2 engines in full", observe_size());
    print_size("observe, 2 engines unchanged", observe_size());
    engine_observer single(17);
    single.record(status_of(0), now);
    single.take_full_report(now);
    print_size("observe, 1 engine unchanged",
               peer::encode(peer::observe_message{failure_domain_id(domain_name(0)),
                                                  encode_observer_report(single.take_full_report(now))})
                   .size());
    print_size("engine status, JSON body", encode_engine_status(status_of(0)).size());

    member_record member;
    member.id = daemon_id("entry-123");
    member.incarnation = 1796366645123456789ULL;
    member.region = region_id("region-0");
    member.failure_domain = failure_domain_id(domain_name(0));
    member.peer_address = value(parse_endpoint("10.120.130.100:8001"));
    member.caller_address = value(parse_endpoint("10.120.130.100:8000"));
    print_size("member, push frame", peer::encode(push_message{{encode_member(member)}}).size());

    const auto plan = full_plan();
    const auto plan_bytes = encode_plan(plan, "entry-123:1796366645123456789:17");
    print_size("plan of a failure domain, push frame",
               push_size("plan/" + domain_name(0), version, plan_bytes));
    const auto set = full_set();
    const auto set_bytes = value(encode_objects(set));
    print_size("configuration, push frame", push_size("config", version, set_bytes));
    graft_message graft;
    graft.durable = true;
    for (std::uint64_t i = 0; i < 390; ++i) {
        graft.known.emplace_back(0xfedcba9876543210ULL - i, item_version{1796366645123456789ULL, 0});
    }
    for (std::uint64_t i = 0; i < 11; ++i) {
        graft.known.emplace_back(0xedcba9876543210fULL - i, version);
    }
    print_size("graft of a new link, 390 members, 10 plans, configuration", peer::encode(graft).size());
    slot_request ask;
    ask.target = group_id("assistant-budapest-0-12");
    ask.incarnation = 123456;
    ask.count = 2;
    print_size("slot_ask", peer::encode(ask).size());
    print_size("slot_grant", peer::encode(slot_grant{123456, 2, milliseconds(3000), false}).size());

    print_size("quota_ask", peer::encode(quota_request{123456, account_id("account-3"), 12.5}).size());
    print_size("quota_grant",
               peer::encode(quota_grant{123456, account_id("account-3"), 12.5, milliseconds(3000)}).size());

    std::printf("| plan: encode, decode | %.0f us, %.0f us |\n",
                mean_us([&] { return encode_plan(plan, "entry-123:1796366645123456789:17").size(); }),
                mean_us([&] { return succeeded(decode_plan(plan_bytes, 1)); }));
    std::printf("| configuration: encode, decode, snapshot | %.0f us, %.0f us, %.0f us |\n",
                mean_us([&] { return value(encode_objects(set)).size(); }),
                mean_us([&] { return succeeded(decode_objects(set_bytes)); }),
                mean_us([&] { return control::config_snapshot::create(set); }));
    return 0;
}
