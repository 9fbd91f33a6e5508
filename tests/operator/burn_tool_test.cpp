#include "operator/burn_tool.hpp"

#include "base/json_reader.hpp"
#include "decision/burn.hpp"
#include "operator/burn_page.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace rml;

namespace {

constexpr seconds now{1700000040};

std::string snapshot(const std::string& source, std::uint64_t good, std::uint64_t bad)
{
    burn_ledger ledger;
    ledger.update_objective({"answered", 0.9, seconds(3600), 1});
    ledger.add(source, {burn_series_kind::objective, "answered", ""}, now - seconds(60), {good, bad});
    return encode_burn(ledger) + "\n";
}

} // namespace

// Guards against repeated snapshots that are counted twice, and against a damaged line that hides the others
// or is skipped without an error.
TEST_CASE("rml-burn merges saved files and reports damaged lines", "[burn-tool]")
{
    const auto path =
        std::filesystem::temp_directory_path() / ("rml-burn-test-" + std::to_string(::getpid()) + ".jsonl");
    std::ofstream(path) << snapshot("a@1", 10, 0) << snapshot("a@1", 80, 10) << snapshot("b@1", 10, 0);
    burn_tool_options options;
    options.files = {path.string()};
    options.json = true;
    options.now = now;
    std::ostringstream out;
    std::ostringstream err;
    CHECK(run_burn(options, out, err) == exit_code::success);
    const auto report = parse_json(out.str());
    REQUIRE(succeeded(report));
    CHECK(value(report)["objectives"][0]["counts"] == nlohmann::json{{"good", 90}, {"bad", 10}});

    SECTION("a truncated last line is reported, and the other lines are counted")
    {
        std::ofstream(path, std::ios::app) << snapshot("c@1", 100, 0).substr(0, 50);
        std::ostringstream again;
        CHECK(run_burn(options, again, err) == exit_code::invalid_settings);
        CHECK(again.str() == out.str());
        CHECK(err.str().find(":4: ") != std::string::npos);
    }
    SECTION("an unreachable daemon is reported, and the files are counted")
    {
        options.entries = {endpoint{"127.0.0.1", 1}}; // nothing listens on this port
        std::ostringstream again;
        CHECK(run_burn(options, again, err) == exit_code::unavailable);
        CHECK(again.str() == out.str());
        CHECK(err.str().find("127.0.0.1:1") != std::string::npos);
    }
    std::filesystem::remove(path);
}

// Guards against a page that loads external resources or executes text from a daemon's answer.
TEST_CASE("the page is self-contained and escapes names", "[burn-tool]")
{
    burn_ledger ledger;
    ledger.update_objective({"<script>alert('x')</script>", 0.9, seconds(3600), 1});
    const auto page = render_burn_html(make_burn_report(ledger, now, seconds(3600)), ledger);
    for (const char* forbidden : {"<script", "http:", "https:", "src=", "href=", "@import", "url("}) {
        INFO(forbidden);
        CHECK(page.find(forbidden) == std::string::npos);
    }
    CHECK(page.find("&lt;script&gt;alert(&#39;x&#39;)") != std::string::npos);
    CHECK(page.find("<svg") != std::string::npos);
}
