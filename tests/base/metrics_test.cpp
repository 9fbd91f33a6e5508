#include "base/limits.hpp"
#include "base/metrics.hpp"

#include <catch2/catch.hpp>

using namespace rml;

// Guards against text that Prometheus rejects and against buckets that are not cumulative.
TEST_CASE("metrics are rendered in Prometheus text format", "[metrics]")
{
    metric_registry registry;
    auto& requests = registry.create_counter("requests_total", "Requests.", {{"outcome", "not-run"}});
    requests.add(3);
    CHECK(&registry.create_counter("requests_total", "Requests.", {{"outcome", "not-run"}}) == &requests);
    registry.create_gauge("level", "Level.").update(-4);
    registry.create_counter("odd", "Odd.", {{"name", "a\"b\\c\nd"}}).add();

    auto& latency = registry.create_histogram("latency_seconds", "Latency.");
    latency.record(microseconds(500));
    latency.record(milliseconds(27));
    latency.record(milliseconds(30));
    latency.record(seconds(500));
    CHECK(latency.count() == 4);

    const auto text = registry.render();
    for (const char* line :
         {"# TYPE requests_total counter\n", "requests_total{outcome=\"not-run\"} 3\n", "level -4\n",
          "odd{name=\"a\\\"b\\\\c\\nd\"} 1\n", "# TYPE latency_seconds histogram\n",
          "latency_seconds_bucket{le=\"0.001\"} 1\n", "latency_seconds_bucket{le=\"0.027\"} 1\n",
          "latency_seconds_bucket{le=\"0.035\"} 3\n", "latency_seconds_bucket{le=\"120\"} 3\n",
          "latency_seconds_bucket{le=\"+Inf\"} 4\n", "latency_seconds_count 4\n"}) {
        INFO(line);
        CHECK(text.find(line) != std::string::npos);
    }

    SECTION("the number of series is bounded")
    {
        // Guards against memory exhaustion by a label with unbounded values, such as a request id.
        for (std::size_t i = 0; i < limits::metric_series + 100; ++i) {
            registry.create_counter("many", "Many.", {{"i", std::to_string(i)}}).add();
        }
        CHECK(registry.render().find("{i=\"" + std::to_string(limits::metric_series + 50)) ==
              std::string::npos);
    }
}
