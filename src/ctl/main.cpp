/// rml-ctl: the operators' tool.
#include "operator/ctl.hpp"

#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <memory>
#include <popt.h>
#include <random>
#include <sstream>

namespace {

using namespace rml;

constexpr const char* token_variable = "RML_OPERATOR_TOKEN";

enum class option_code
{
    store = 1,
    entry,
    token,
    base,
    expect,
    generation,
    count,
    json,
    wait,
    wait_time,
    call_timeout,
    author,
    version,
    help,
};

struct context_deleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};

std::string random_attempt_id()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << std::setfill('0');
    for (int word = 0; word < 4; ++word) {
        text << std::setw(8) << device();
    }
    return text.str();
}

int fail_usage(const std::string& what)
{
    std::cerr << "rml-ctl: " << what << "; see rml-ctl --help\n";
    return static_cast<int>(exit_code::usage_error);
}

void print_help(poptContext context)
{
    std::cout << "usage: rml-ctl COMMAND [ARGUMENT...] [OPTION...]\n\ncommands:\n";
    for (const auto& command : ctl_commands()) {
        const auto call = std::string(command.name) + " " + std::string(command.arguments);
        std::cout << "  " << std::left << std::setw(20) << call << command.help << "\n";
    }
    std::cout << "\nexit codes: 0 success, 1 operation failed, 2 usage error, 3 invalid objects, "
                 "4 unavailable\n\n"
              << std::flush;
    poptPrintHelp(context, stdout, 0);
}

/// Values that popt fills.
struct raw_values
{
    char* text{nullptr};
    long long number{0};
};

/// Applies one option. Answers a problem, or an empty text.
std::string apply(option_code code, const std::string& text, long long number, ctl_options& options)
{
    const auto address = [&](auto&& accept) -> std::string {
        auto parsed = parse_endpoint(text);
        if (failed(parsed)) {
            return "not an IP number and port: " + text;
        }
        accept(value(std::move(parsed)));
        return {};
    };
    if (number < 0) {
        return "negative number " + std::to_string(number);
    }
    switch (code) {
    case option_code::store:
        return address([&](endpoint e) { options.store = std::move(e); });
    case option_code::entry:
        return address([&](endpoint e) { options.entries.push_back(std::move(e)); });
    case option_code::token:
        options.token = text;
        break;
    case option_code::base:
        options.base = text;
        break;
    case option_code::expect:
        options.expect = static_cast<std::uint64_t>(number);
        break;
    case option_code::generation:
        options.generation = static_cast<std::uint64_t>(number);
        break;
    case option_code::count:
        options.count = static_cast<std::uint32_t>(number);
        break;
    case option_code::json:
        options.json = true;
        break;
    case option_code::wait:
        options.wait = true;
        break;
    case option_code::wait_time:
        options.wait_time = milliseconds(number);
        break;
    case option_code::call_timeout:
        options.call_timeout = milliseconds(number);
        break;
    case option_code::author:
        options.author = text;
        break;
    case option_code::version:
    case option_code::help:
        break;
    }
    return {};
}

} // namespace

int main(int argc, const char** argv)
{
    raw_values raw;
    const auto text = [&](const char* name, option_code code, const char* help, const char* what) {
        return poptOption{name, '\0', POPT_ARG_STRING, &raw.text, static_cast<int>(code), help, what};
    };
    const auto number = [&](const char* name, option_code code, const char* help) {
        return poptOption{name, '\0', POPT_ARG_LONGLONG, &raw.number, static_cast<int>(code), help, "N"};
    };
    const auto flag = [](const char* name, option_code code, const char* help) {
        return poptOption{name, '\0', POPT_ARG_NONE, nullptr, static_cast<int>(code), help, nullptr};
    };
    const poptOption table[] = {
        text("store", option_code::store, "key-value store", "IP:PORT"),
        text("entry", option_code::entry, "operator address of a daemon; may be repeated", "IP:PORT"),
        text("token", option_code::token, "operator token; default: $RML_OPERATOR_TOKEN", "TOKEN"),
        text("base", option_code::base, "diff: compare with this file or folder", "PATH"),
        number("expect-generation", option_code::expect, "publish: only on top of this generation"),
        number("generation", option_code::generation, "get, list, deliver, diff: this generation"),
        number("count", option_code::count, "history: number of generations (10)"),
        flag("wait", option_code::wait, "wait until every --entry shows the generation"),
        number("wait-ms", option_code::wait_time, "longest wait (10000)"),
        number("timeout-ms", option_code::call_timeout, "longest call of a daemon (2000)"),
        text("author", option_code::author, "name shown in the history; default: $USER", "NAME"),
        flag("json", option_code::json, "print one JSON document"),
        flag("version", option_code::version, "print the version"),
        flag("help", option_code::help, "print this help"),
        POPT_TABLEEND};

    ctl_options options;
    if (const char* token = std::getenv(token_variable); token != nullptr) {
        options.token = token;
    }
    if (const char* user = std::getenv("USER"); user != nullptr) {
        options.author = user;
    }
    options.attempt_id = random_attempt_id();
    options.now =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());

    const std::unique_ptr<std::remove_pointer_t<poptContext>, context_deleter> context(
        poptGetContext("rml-ctl", argc, argv, table, 0));
    poptSetOtherOptionHelp(context.get(), "COMMAND [ARGUMENT...] [OPTION...]");
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        const auto option = static_cast<option_code>(code);
        if (option == option_code::help) {
            print_help(context.get());
            return static_cast<int>(exit_code::success);
        }
        if (option == option_code::version) {
            std::cout << "rml-ctl " << RML_VERSION << "\n";
            return static_cast<int>(exit_code::success);
        }
        const std::string given = raw.text == nullptr ? "" : raw.text;
        std::free(raw.text); // NOLINT(cppcoreguidelines-no-malloc): popt allocates with malloc
        raw.text = nullptr;
        if (const auto problem = apply(option, given, raw.number, options); !problem.empty()) {
            return fail_usage(problem);
        }
    }
    if (code < -1) {
        return fail_usage(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code));
    }
    const char* command = poptGetArg(context.get());
    if (command == nullptr) {
        return fail_usage("no command");
    }
    options.command = command;
    while (const char* argument = poptGetArg(context.get())) {
        options.arguments.emplace_back(argument);
    }
    return static_cast<int>(run_ctl(options, std::cout, std::cerr));
}
