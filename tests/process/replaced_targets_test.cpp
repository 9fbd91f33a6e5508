#include "process/gateway_site.hpp"

#include <thread>

using namespace rml;
using rml::test::gateway_site;

namespace {

constexpr int requests_at_once = 12; // the slots of the two instances
constexpr int generations = 10;
/// So long that requests of the same moment overlap, each on a connection of its own.
constexpr milliseconds work_time{150};

std::uint64_t open_descriptors(const gateway_site& site)
{
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(site.daemons[0]->id()) + "/fd");
    return static_cast<std::uint64_t>(std::distance(begin(open), end(open)));
}

/// Uses all instances of the plain service at once.
void use_targets(gateway_site& site)
{
    std::vector<std::thread> callers;
    for (int i = 0; i < requests_at_once; ++i) {
        callers.emplace_back([&site] { site.get(0, "/stock/1"); });
    }
    for (auto& caller : callers) {
        caller.join();
    }
}

using instances = std::vector<std::unique_ptr<site_standin::service_server>>;

std::string name_of(int generation, std::size_t number)
{
    return "p" + (generation == 0 ? "" : std::to_string(generation) + "-") + std::to_string(number);
}

/// Replaces the instances of the plain service by others at new addresses. As in a planned release, the
/// earlier ones close their connections when the daemon no longer sends them requests. They are kept in
/// `ended`, since handlers of their connections may still run.
void replace_targets(gateway_site& site, int generation, instances& ended)
{
    auto& platform = *site.site;
    instances earlier;
    site.on_site([&] {
        earlier.swap(platform.services);
        for (std::size_t i = 0; i < earlier.size(); ++i) {
            auto created =
                site_standin::service_server::create(platform.context, *platform.store, platform.record,
                                                     name_of(generation, i), "office", "zone-a");
            REQUIRE(succeeded(created));
            platform.services.push_back(value(std::move(created)));
            platform.services.back()->faults.work = work_time;
            platform.store->remove(site_wire::prefix_targets + name_of(generation - 1, i));
        }
    });
    for (std::size_t i = 0; i < earlier.size(); ++i) {
        const auto line = R"("target entry removed","target":")" + name_of(generation - 1, i) + '"';
        REQUIRE(
            site.eventually([&] { return site.content("daemon-0.log").find(line) != std::string::npos; }));
    }
    site.on_site([&] {
        for (auto& instance : earlier) {
            instance->stop();
            ended.push_back(std::move(instance));
        }
    });
}

} // namespace

// Guards against a daemon that runs out of descriptors after some hundred replaced targets, because nothing
// asks for its connections to them any more.
TEST_CASE("a daemon closes its connections to targets that were replaced", "[process][gateway]")
{
    instances ended;
    gateway_site site(1);
    replace_targets(site, 1, ended);
    REQUIRE(site.eventually([&] { return site.get(0, "/stock/1").status == 200; }));
    use_targets(site);
    const auto before = open_descriptors(site);
    for (int generation = 2; generation <= generations; ++generation) {
        replace_targets(site, generation, ended);
        REQUIRE(site.eventually([&] { return site.get(0, "/stock/1").status == 200; }));
        use_targets(site);
    }
    std::uint64_t left = 0;
    const bool closed = site.eventually([&] {
        left = open_descriptors(site);
        return left <= before + requests_at_once;
    });
    CAPTURE(before, left);
    CHECK(closed);
}
