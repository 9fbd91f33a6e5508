#include "decision/burn_recorder.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

constexpr seconds start{1700000040};

burn_counts counts_of(const burn_recorder& recorder, burn_series_kind kind, const std::string& name,
                      const std::string& domain = "")
{
    return recorder.ledger().sum({kind, name, domain}, start, start + seconds(3600));
}

} // namespace

// Guards against failed requests that improve an objective, and against counting requests of another pool.
TEST_CASE("requests count for the objectives of their pool or service", "[burn]")
{
    const model_pool_id pool("pool");
    const service_id office("office");
    object_set set;
    set.generation = 4;
    set.failure_domains = {{failure_domain_id("d"), region_id("r"), service_state::in_service}};
    set.objectives = {
        {"answered", pool, {}, objective_kind::answered, milliseconds(0), 0.99, seconds(3600)},
        {"first", pool, {}, objective_kind::first_token, milliseconds(500), 0.9, seconds(3600)},
        {"between", pool, {}, objective_kind::between_tokens, milliseconds(27), 0.9, seconds(3600)},
        {"booked", {}, office, objective_kind::answered, milliseconds(0), 0.999, seconds(3600)}};
    burn_recorder recorder("entry-1@1");
    recorder.install_objects(set, start);
    const auto objective = [&](const char* name) {
        return counts_of(recorder, burn_series_kind::objective, name);
    };

    recorder.record_request({pool, {}, true, milliseconds(500), milliseconds(28)}, start);
    recorder.record_request({pool, {}, false, milliseconds(900), {}}, start + seconds(60));
    recorder.record_request({pool, {}, false, {}, {}}, start + seconds(120));
    recorder.record_request({model_pool_id("other"), {}, true, milliseconds(1), {}}, start);
    recorder.record_request({{}, office, true, {}, {}}, start);
    CHECK(objective("answered") == burn_counts{1, 2});
    CHECK(objective("first") == burn_counts{1, 2});
    CHECK(objective("between") == burn_counts{0, 1});
    CHECK(objective("booked") == burn_counts{1, 0});
    CHECK(recorder.ledger().all_changes().empty());

    SECTION("a drain is recorded as one domain change")
    {
        set.generation = 5;
        set.failure_domains.front().state = service_state::drained;
        recorder.install_objects(set, start + seconds(10));
        set.generation = 6;
        recorder.install_objects(set, start + seconds(20));
        REQUIRE(recorder.ledger().all_changes().size() == 1);
        const auto& change = recorder.ledger().all_changes().begin()->second;
        CHECK(change.generation == 5);
        CHECK(change.drained);
        CHECK(recorder.ledger().all_objectives().at("first").generation == 6);
    }
    SECTION("lost time is multiplied by groups and accelerators, and never negative")
    {
        const failure_domain_id domain("d");
        recorder.record_groups({pool, domain, 4, 3}, milliseconds(1000), start);
        recorder.record_groups({pool, domain, 4, 9}, milliseconds(1000), start);
        recorder.record_groups({pool, domain, 4, 0}, milliseconds(-5), start);
        CHECK(counts_of(recorder, burn_series_kind::groups, "pool", "d") == burn_counts{7000, 1000});
        recorder.record_accelerators({domain, 32, 8}, milliseconds(1000), start);
        CHECK(counts_of(recorder, burn_series_kind::accelerators, "", "d") == burn_counts{24000, 8000});
    }
    SECTION("counts older than a day are dropped")
    {
        recorder.destroy_old(start + burn_retention + seconds(60));
        CHECK(objective("answered") == burn_counts{0, 2});
    }
}
