/// rml-burn: service-level burn report over any number of daemons and saved files.
#include "base/command_line.hpp"
#include "operator/burn_tool.hpp"

#include <chrono>
#include <cstdlib>
#include <iostream>

namespace {

using namespace rml;

constexpr const char* token_variable = "RML_OPERATOR_TOKEN";

/// Options as the command line gives them.
struct raw_options
{
    std::vector<std::string> entries;
    std::int64_t now{0};
    std::int64_t period{24 * 3600};
    std::int64_t call_timeout{2000};
};

result<bool> read_options(int argc, const char** argv, burn_tool_options& options)
{
    raw_options raw;
    raw.now =
        std::chrono::duration_cast<seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    command_line line("rml-burn",
                      "\nArguments: files with saved answers of daemons, JSON lines.\n"
                      "Exit codes: 0 success, 1 operation failed, 2 usage error, 3 invalid files, "
                      "4 unavailable\n");
    line.add("entry", raw.entries, "Operator address of a daemon, IP:PORT");
    line.add("token", options.token, "Operator token; $RML_OPERATOR_TOKEN when not given");
    line.add("save", options.save, "Append the daemons' answers to this file as JSON lines");
    line.add("html", options.html, "Write a self-contained page to this file");
    line.add("json", options.json, "Print one JSON document");
    line.add("now-s", raw.now, "Report up to this time, seconds since 1970");
    line.add("period-s", raw.period, "Period of lost times and changes");
    line.add("timeout-ms", raw.call_timeout, "Longest call of a daemon");
    auto go_on = line.parse(argc, argv, &options.files);
    if (failed(go_on) || !value(go_on)) {
        return go_on;
    }
    if (raw.now < 0 || raw.period < 0 || raw.call_timeout < 0) {
        return failure{failure_kind::malformed, "times must not be negative"};
    }
    for (const auto& text : raw.entries) {
        auto parsed = parse_endpoint(text);
        if (failed(parsed)) {
            return error(parsed);
        }
        options.entries.push_back(value(std::move(parsed)));
    }
    options.now = seconds(raw.now);
    options.period = seconds(raw.period);
    options.call_timeout = milliseconds(raw.call_timeout);
    if (const char* token = std::getenv(token_variable); token != nullptr && options.token.empty()) {
        options.token = token;
    }
    return true;
}

} // namespace

int main(int argc, const char** argv)
{
    burn_tool_options options;
    const auto go_on = read_options(argc, argv, options);
    if (failed(go_on)) {
        std::cerr << "rml-burn: " << error(go_on).context << "; see rml-burn --help\n";
        return static_cast<int>(exit_code::usage_error);
    }
    if (!value(go_on)) {
        return static_cast<int>(exit_code::success);
    }
    return static_cast<int>(run_burn(options, std::cout, std::cerr));
}
