#include "objects/object_check.hpp"

#include "objects/object_generator.hpp"
#include "objects/object_parser.hpp"
#include "objects/settings.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace rml;
using rml::testing::small_set;

namespace {

namespace fs = std::filesystem;

const fs::path examples = fs::path(RML_SOURCE_DIR) / "examples";

std::string read(const fs::path& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::vector<fs::path> json_files(const fs::path& folder)
{
    std::vector<fs::path> files;
    for (const auto& entry : fs::directory_iterator(folder)) {
        if (entry.path().extension() == ".json") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

std::string lines(const std::vector<object_problem>& problems)
{
    std::string text;
    for (const auto& problem : problems) {
        text += to_string(problem) + "\n";
    }
    return text;
}

bool has_warning(const object_set& set, object_problem_kind kind, const std::string& object)
{
    const auto problems = check_objects(set);
    CHECK_FALSE(has_errors(problems));
    return std::any_of(problems.begin(), problems.end(), [&](const object_problem& problem) {
        return problem.kind == kind && problem.object == object;
    });
}

} // namespace

// Guards against example deployments that the checks refuse or report a warning for.
TEST_CASE("the example deployments are accepted without problems", "[objects][examples]")
{
    for (const auto* name : {"hungary", "texas"}) {
        INFO(name);
        std::vector<object_source> sources;
        for (const auto& file : json_files(examples / name / "objects")) {
            sources.push_back({file.filename().string(), read(file)});
        }
        const auto loaded = load_objects(sources);
        CHECK(lines(loaded.problems).empty());
        CHECK(loaded.set.failure_domains.size() == 3);
        CHECK(loaded.set.engines.size() == 50);
        CHECK(loaded.set.accounts.size() == 10);
        const auto settings = json_files(examples / name);
        CHECK(settings.size() == 6);
        for (const auto& file : settings) {
            const auto parsed = parse_settings(read(file));
            REQUIRE(succeeded(parsed));
            CHECK(value(parsed).region == loaded.set.regions.front().name);
        }
    }
}

// Guards against an operator's mistake that is accepted, or refused without its location and cause.
TEST_CASE("each broken example is refused with the expected message", "[objects][examples]")
{
    const auto files = json_files(examples / "broken");
    CHECK(files.size() == 38);
    for (const auto& file : files) {
        const auto loaded = load_objects({{file.filename().string(), read(file)}});
        INFO(file.filename());
        CHECK(has_errors(loaded.problems));
        auto expected = file;
        CHECK(lines(loaded.problems) == read(expected.replace_extension(".expected")));
    }
}

// Guards against draining the last failure domain without a warning.
TEST_CASE("a set without a failure domain in service gives a warning", "[objects]")
{
    auto set = small_set();
    CHECK(check_objects(set).empty());
    set.failure_domains[0].state = service_state::drained;
    CHECK(check_objects(set).empty());
    set.failure_domains[1].state = service_state::drained;
    CHECK(has_warning(set, object_problem_kind::all_drained, "set"));
    CHECK(has_warning(set, object_problem_kind::all_drained, "model_pool pool"));

    set.pools.front().groups = 3;
    CHECK(has_warning(set, object_problem_kind::capacity, "model_pool pool"));
    CHECK(has_warning(set, object_problem_kind::capacity, "set"));
}

// Guards against a set that is larger than the tables of the daemons.
TEST_CASE("more engines than the fleet's limit are refused", "[objects]")
{
    auto set = small_set();
    for (int i = 0; i < 600; ++i) {
        set.engines.push_back({instance_id("more-" + std::to_string(i)),
                               endpoint{"127.0.0.2", static_cast<std::uint16_t>(i + 1)},
                               fabric_domain_id("fabric-0"), 8, true});
    }
    CHECK(lines(check_objects(set)) == "set: engine: found 608, allowed at most 600 [out_of_range]\n");
}

// Guards against an endless traversal of references if a new kind makes a cycle possible.
TEST_CASE("a reference cycle is found wherever it starts", "[objects]")
{
    const auto key = [](const char* name) { return object_key{object_kind::model_pool, name}; };
    const std::vector<object_reference> line{
        {key("a"), "x", key("b")}, {key("a"), "x", key("c")}, {key("b"), "x", key("c")}};
    CHECK(find_cycle(line).empty());
    CHECK(find_cycle(references_of(small_set())).empty());
    auto cycle = line;
    cycle.push_back({key("c"), "x", key("b")});
    CHECK(find_cycle(cycle) == std::vector<object_key>{key("b"), key("c"), key("b")});
    CHECK(find_cycle({{key("a"), "x", key("a")}}) == std::vector<object_key>{key("a"), key("a")});
}
