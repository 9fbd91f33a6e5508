#include "operator/publisher.hpp"

#include "objects/object_generator.hpp"
#include "operator/scheduled_store.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>

using namespace rml;
using rml::testing::numbered;
using rml::testing::small_set;
using rml::testing::store_schedule;

namespace {

publish_options options_for(const std::string& attempt_id)
{
    publish_options options;
    options.attempt_id = attempt_id;
    options.step_attempts = 2;
    options.retry_delay = milliseconds(0);
    options.unfinished_wait = milliseconds(0);
    return options;
}

object_set set_with_rate(double rate)
{
    auto set = small_set();
    set.accounts.front().requests_per_second = rate;
    return set;
}

/// Runs one publisher alone, without faults.
void run_alone(store_schedule& schedule, const store_schedule::body& body)
{
    schedule.run({body});
}

bool in_force(const store_schedule& schedule, const std::string& attempt_id)
{
    const auto& published = schedule.core.published;
    return std::any_of(published.begin(), published.end(),
                       [&](const auto& entry) { return entry.second == attempt_id; });
}

struct race
{
    std::unique_ptr<store_schedule> schedule;
    std::vector<publish_report> reports;
};

/// Runs one to four operators under random faults. Each publishes, edits and publishes again.
race arbitrary_race()
{
    // Uses the nominal size from the first run on, since rapidcheck's initial small sizes generate no faults.
    const auto choices = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<std::uint16_t>>(
                                                                150, rc::gen::arbitrary<std::uint16_t>()));
    const int operators = *rc::gen::element(1, 2, 3, 4);
    race result{std::make_unique<store_schedule>(choices), {}};
    std::vector<std::vector<publish_report>> reports(static_cast<std::size_t>(operators));
    std::vector<store_schedule::body> bodies;
    for (int i = 0; i < operators; ++i) {
        bodies.emplace_back([i, &own_reports = reports[static_cast<std::size_t>(i)]](config_store& store) {
            const auto name = numbered("operator-", i);
            const auto state = i % 2 == 0 ? service_state::drained : service_state::in_service;
            own_reports.push_back(
                publisher(store, options_for(name + "-first")).publish(set_with_rate(i + 1), {}));
            own_reports.push_back(publisher(store, options_for(name + "-edit"))
                                      .edit(set_domain_state(failure_domain_id("domain-0"), state)));
            own_reports.push_back(publisher(store, options_for(name + "-second"))
                                      .publish(set_with_rate(i + 100), own_reports.front().generation));
        });
    }
    result.schedule->run(bodies);
    for (auto& own_reports : reports) {
        result.reports.insert(result.reports.end(), own_reports.begin(), own_reports.end());
    }
    return result;
}

} // namespace

// Guards against a generation that reverts or is replaced, a lost publication that is reported as published,
// and a publication in force that is reported as failed. Several publishers run with lost replies, delayed
// writes and crashes.
TEST_CASE("racing publishers never revert a generation or misreport", "[publisher][property]")
{
    std::map<publish_outcome, int> outcomes;
    int replaced = 0;
    const auto holds = rc::check("reports agree with the head's history", [&] {
        for (int round = 0; round < 10; ++round) {
            const auto [schedule, reports] = arbitrary_race();
            RC_ASSERT(schedule->core.violations == std::vector<std::string>());
            for (const auto& report : reports) {
                ++outcomes[report.outcome];
                replaced += report.replaced_unfinished ? 1 : 0;
                if (report.outcome == publish_outcome::published) {
                    const auto found = schedule->core.published.find(report.generation);
                    RC_ASSERT(found != schedule->core.published.end());
                    RC_ASSERT(found->second == report.attempt_id);
                } else if (report.outcome != publish_outcome::unknown) {
                    RC_ASSERT(!in_force(*schedule, report.attempt_id));
                }
            }
        }
    });
    CHECK(holds);
    // Each outcome must occur, or the property was not tested for it.
    CHECK(outcomes[publish_outcome::published] > 0);
    CHECK(outcomes[publish_outcome::conflict] > 0);
    CHECK(outcomes[publish_outcome::not_published] > 0);
    CHECK(outcomes[publish_outcome::unknown] > 0);
    CHECK(replaced > 0);
}

TEST_CASE("consecutive publications increase the generation", "[publisher]")
{
    store_schedule schedule({});
    publish_report first;
    run_alone(schedule, [&](config_store& store) {
        first = publisher(store, options_for("a")).publish(small_set(), {});
    });
    REQUIRE(first.outcome == publish_outcome::published);
    CHECK(first.generation == 1);

    SECTION("the same content is not published again")
    {
        run_alone(schedule, [](config_store& store) {
            const auto report = publisher(store, options_for("b")).publish(small_set(), {});
            CHECK(report.outcome == publish_outcome::unchanged);
            CHECK(report.generation == 1);
            CHECK(report.set.generation == 1);
        });
    }
    // Guards against overwriting a change that was published after the operator read the files.
    SECTION("an expected generation that is not in force is a conflict")
    {
        run_alone(schedule, [](config_store& store) {
            CHECK(publisher(store, options_for("b")).publish(set_with_rate(5), 1).outcome ==
                  publish_outcome::published);
            const auto late = publisher(store, options_for("c")).publish(set_with_rate(6), 1);
            CHECK(late.outcome == publish_outcome::conflict);
            CHECK(late.generation == 2);
        });
    }
    SECTION("a failure domain is drained and restored, and nothing else changes")
    {
        run_alone(schedule, [](config_store& store) {
            const failure_domain_id domain("domain-1");
            const auto drained =
                publisher(store, options_for("b")).edit(set_domain_state(domain, service_state::drained));
            REQUIRE(drained.outcome == publish_outcome::published);
            CHECK(drained.set.failure_domains[1].state == service_state::drained);
            const auto again =
                publisher(store, options_for("c")).edit(set_domain_state(domain, service_state::drained));
            CHECK(again.outcome == publish_outcome::unchanged);
            const auto restored =
                publisher(store, options_for("d")).edit(set_domain_state(domain, service_state::in_service));
            REQUIRE(restored.outcome == publish_outcome::published);
            CHECK(object_set_digest(restored.set) == object_set_digest(small_set()));
            const auto unknown = publisher(store, options_for("e"))
                                     .edit(set_domain_state(failure_domain_id("x"), service_state::drained));
            CHECK(unknown.outcome == publish_outcome::not_published);
            CHECK(unknown.reason.kind == failure_kind::not_found);
        });
    }
    // Guards against a history that grows without bound in the store.
    SECTION("old generations are removed")
    {
        run_alone(schedule, [](config_store& store) {
            auto options = options_for("b");
            options.retained_generations = 2;
            for (int i = 0; i < 3; ++i) {
                options.attempt_id = numbered("b", i);
                CHECK(publisher(store, options).publish(set_with_rate(20 + i), {}).outcome ==
                      publish_outcome::published);
            }
            publisher reader(store, options);
            CHECK(failed(reader.read_generation(2)));
            CHECK(succeeded(reader.read_generation(3)));
            CHECK(succeeded(reader.read_generation(4)));
        });
        schedule.core.violations.clear(); // the removed sets, which check_sets reports
    }
    CHECK(schedule.core.violations.empty());
}
