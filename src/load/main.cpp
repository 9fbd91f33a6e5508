/// rml-load: open-loop load against a set of entries.
#include "base/command_line.hpp"
#include "load/load_run.hpp"

#include <chrono>
#include <iostream>
#include <sstream>

namespace {

using namespace rml;

constexpr const char* notes = R"(
Accounts: TOKEN or TOKEN:WEIGHT, separated by commas.
Answers are checked token by token against the stand-in engines. Exit code 1: an answer was foreign or incomplete, or
a once-only key contradicts its answers (--service-stats).
)";

/// Values of the command line that need a conversion.
struct load_flags
{
    std::string entries;
    std::string accounts;
    std::string pools{"assistant"};
    std::string call_path;
    std::string service_stats;
    std::string format{"table"};
    std::string key_prefix;
    std::int64_t seed{1};
    std::int64_t length{10};
    std::int64_t rate{20};
    std::int64_t call_rate{0};
    std::int64_t prefixes{16};
    std::int64_t tokens{32};
    std::int64_t stream_percent{50};
    std::int64_t twice_percent{50};
    std::int64_t deadline{10000};
    std::int64_t in_flight{2000};
};

void add_flags(command_line& line, load_flags& flags)
{
    line.add("entries", flags.entries,
             "Entry addresses to ask for the addresses in use, separated by commas");
    line.add("accounts", flags.accounts, "Tokens of the accounts with their weights");
    line.add("pools", flags.pools, "Model pools, separated by commas");
    line.add("call", flags.call_path, "Once-only path of a service, such as workshop/bookings");
    line.add("service-stats", flags.service_stats, "Address of the service stand-in whose runs are checked");
    line.add("format", flags.format, "Output: table, json or csv");
    line.add("key-prefix", flags.key_prefix, "Prefix of idempotency keys; by default differs in each run");
    line.add("seed", flags.seed, "Seed of the arrivals");
    line.add("seconds", flags.length, "Length of the run");
    line.add("rate", flags.rate, "Generations a second");
    line.add("call-rate", flags.call_rate, "Once-only calls a second");
    line.add("prefixes", flags.prefixes, "Different prompt prefixes");
    line.add("tokens", flags.tokens, "Mean tokens of an answer");
    line.add("stream-percent", flags.stream_percent, "Share of streaming generations");
    line.add("twice-percent", flags.twice_percent, "Share of calls that are sent through two entries");
    line.add("deadline-ms", flags.deadline, "Deadline of a request");
    line.add("in-flight", flags.in_flight, "Requests in flight above which arrivals are not sent");
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

result<load::account_share> read_account(const std::string& text)
{
    const auto colon = text.find(':');
    load::account_share account{text.substr(0, colon), 1};
    if (colon != std::string::npos) {
        std::istringstream in(text.substr(colon + 1));
        if (!(in >> account.weight) || !in.eof() || account.weight <= 0) {
            return failure{failure_kind::malformed, "account weight in '" + text + "'"};
        }
    }
    return account;
}

status read_lists(const load_flags& flags, load::run_options& options)
{
    for (const auto& text : split(flags.entries)) {
        const auto entry = parse_endpoint(text);
        if (failed(entry)) {
            return error(entry);
        }
        options.entries.push_back(value(entry));
    }
    for (const auto& text : split(flags.accounts)) {
        const auto account = read_account(text);
        if (failed(account)) {
            return error(account);
        }
        options.schedule.accounts.push_back(value(account));
    }
    options.schedule.pools = split(flags.pools);
    if (options.entries.empty() || options.schedule.accounts.empty() || options.schedule.pools.empty()) {
        return failure{failure_kind::malformed, "--entries, --accounts and --pools need a value"};
    }
    if (flags.call_rate > 0 && flags.call_path.empty()) {
        return failure{failure_kind::malformed, "--call-rate needs --call"};
    }
    return success();
}

result<load::run_options> convert(const load_flags& flags)
{
    load::run_options options;
    if (const auto read = read_lists(flags, options); failed(read)) {
        return error(read);
    }
    if (!flags.service_stats.empty()) {
        const auto service = parse_endpoint(flags.service_stats);
        if (failed(service)) {
            return error(service);
        }
        options.service_stats = value(service);
    }
    constexpr double percent = 100;
    options.schedule.seed = static_cast<std::uint64_t>(flags.seed);
    options.schedule.length = seconds(flags.length);
    options.schedule.generations_per_second = static_cast<double>(flags.rate);
    options.schedule.calls_per_second = static_cast<double>(flags.call_rate);
    options.schedule.prefixes = static_cast<std::size_t>(flags.prefixes);
    options.schedule.mean_tokens = static_cast<std::size_t>(flags.tokens);
    options.schedule.stream_share = static_cast<double>(flags.stream_percent) / percent;
    options.schedule.twice_share = static_cast<double>(flags.twice_percent) / percent;
    options.call_path = flags.call_path;
    options.deadline = milliseconds(flags.deadline);
    options.in_flight = static_cast<std::size_t>(flags.in_flight);
    // The daemons remember keys for two days, so that a second run must not use the first one's.
    options.key_prefix = flags.key_prefix.empty()
                             ? std::to_string(std::chrono::system_clock::now().time_since_epoch().count())
                             : flags.key_prefix;
    return options;
}

result<load::report_format> read_format(const std::string& text)
{
    if (text == "table") {
        return load::report_format::table;
    }
    if (text == "json") {
        return load::report_format::json;
    }
    if (text == "csv") {
        return load::report_format::csv;
    }
    return failure{failure_kind::malformed, "--format '" + text + "'"};
}

int fail(const failure& reason, exit_code code)
{
    std::cerr << "rml-load: " << reason.context << "\n";
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char** argv)
{
    load_flags flags;
    command_line line("rml-load", notes);
    add_flags(line, flags);
    const auto parsed = line.parse(argc, const_cast<const char**>(argv));
    if (failed(parsed)) {
        return fail(error(parsed), exit_code::usage_error);
    }
    if (!value(parsed)) {
        return static_cast<int>(exit_code::success);
    }
    const auto format = read_format(flags.format);
    if (failed(format)) {
        return fail(error(format), exit_code::usage_error);
    }
    const auto options = convert(flags);
    if (failed(options)) {
        return fail(error(options), exit_code::usage_error);
    }
    boost::asio::io_context context(1);
    load::recorder results;
    const auto ended = load::load_run(context, value(options), results).run();
    if (failed(ended)) {
        return fail(error(ended), exit_code::unavailable);
    }
    results.write(std::cout, value(format));
    return static_cast<int>(results.violated() ? exit_code::operation_failed : exit_code::success);
}
