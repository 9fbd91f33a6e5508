#include "decision/client_limits.hpp"
#include "decision/descriptor_budget.hpp"

#include <catch2/catch.hpp>
#include <numeric>

using namespace rml;

// Guards against shares of descriptors that exceed the machine when all are taken at once.
TEST_CASE("clients, targets and the rest fit into the descriptors of a machine", "[descriptor_budget]")
{
    for (const std::uint64_t descriptors : {64, 400, 1024, 4100, 65536}) {
        CAPTURE(descriptors);
        const descriptor_budget budget(descriptors);
        machine_limits machine;
        machine.descriptors = descriptors;
        const auto bounds = bounds_for(machine);
        const auto clients =
            std::accumulate(bounds.connections.begin(), bounds.connections.end(), bounds.refused_connections);

        SECTION("idle connections to targets fit beside all clients, " + std::to_string(descriptors))
        {
            CHECK(clients + budget.idle_connections() <= descriptors);
            CHECK(budget.idle_connections() <= budget.target_connections(clients));
        }
        SECTION("what clients leave free is for targets, " + std::to_string(descriptors))
        {
            CHECK(clients + budget.target_connections(clients) < descriptors);
            CHECK(budget.target_connections(0) > budget.target_connections(clients));
            CHECK(budget.target_connections(descriptors) == 0);
        }
        SECTION("a shortage is reported before all are used, " + std::to_string(descriptors))
        {
            CHECK(budget.is_relaxed(0));
            CHECK_FALSE(budget.is_short(0));
            CHECK(budget.is_short(budget.target_connections(0)));
        }
    }
}
