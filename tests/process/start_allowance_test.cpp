#include "process/gateway_site.hpp"

using namespace rml;
using rml::test::gateway_site;

namespace {

constexpr std::uint32_t daemons = 3;
constexpr const char* start_line = "all daemons start at once";

/// Lines of the daemon's log, over all its lives, that say that the whole fleet starts.
std::size_t start_lines(const gateway_site& site, std::uint32_t daemon)
{
    const auto log = site.content("daemon-" + std::to_string(daemon) + ".log");
    std::size_t out = 0;
    for (auto at = log.find(start_line); at != std::string::npos; at = log.find(start_line, at + 1)) {
        ++out;
    }
    return out;
}

} // namespace

// Guards against a fleet that uses one slot of each target after all daemons have lost power, and against a
// daemon that takes its own restart for that and fills targets that state limits.
TEST_CASE("daemons tell a restart of all from their own", "[process][gateway][start_allowance]")
{
    gateway_site site(daemons);
    std::this_thread::sleep_for(seconds(5)); // longer than starts of the same fleet are apart

    SECTION("one that restarts alone keeps to one request per target")
    {
        const auto before = start_lines(site, 1);
        site.daemons[1]->kill_now();
        site.start(1);
        REQUIRE(site.eventually([&] { return site.ready(1); }));
        std::this_thread::sleep_for(seconds(4));
        CHECK(start_lines(site, 1) == before);
    }
    SECTION("all that restart together divide the slots, while the store still shows their earlier lives")
    {
        std::vector<std::size_t> before;
        for (std::uint32_t i = 0; i < daemons; ++i) {
            before.push_back(start_lines(site, i));
            site.daemons[i]->kill_now();
        }
        for (std::uint32_t i = 0; i < daemons; ++i) {
            site.start(i);
        }
        for (std::uint32_t i = 0; i < daemons; ++i) {
            CAPTURE(i);
            CHECK(site.eventually([&] { return start_lines(site, i) > before[i]; }));
        }
        for (std::uint32_t i = 0; i < daemons; ++i) {
            CHECK(site.eventually([&] { return site.stream(i, 3).status == 200; }));
        }
    }
}
