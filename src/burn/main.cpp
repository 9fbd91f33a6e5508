/// rml-burn: service-level burn report over any number of daemons and saved files.
#include "operator/burn_tool.hpp"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>

namespace {

using namespace rml;

constexpr const char* token_variable = "RML_OPERATOR_TOKEN";

enum class option_code
{
    entry = 1,
    token,
    save,
    html,
    json,
    now,
    period,
    call_timeout,
    version,
    help,
};

struct context_deleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};

int fail_usage(const std::string& what)
{
    std::cerr << "rml-burn: " << what << "; see rml-burn --help\n";
    return static_cast<int>(exit_code::usage_error);
}

/// Applies one option. Answers a problem, or an empty text.
std::string apply(option_code code, const std::string& text, long long number, burn_tool_options& options)
{
    if (number < 0) {
        return "negative number " + std::to_string(number);
    }
    switch (code) {
    case option_code::entry: {
        auto parsed = parse_endpoint(text);
        if (failed(parsed)) {
            return "not an IP number and port: " + text;
        }
        options.entries.push_back(value(std::move(parsed)));
        break;
    }
    case option_code::token:
        options.token = text;
        break;
    case option_code::save:
        options.save = text;
        break;
    case option_code::html:
        options.html = text;
        break;
    case option_code::json:
        options.json = true;
        break;
    case option_code::now:
        options.now = seconds(number);
        break;
    case option_code::period:
        options.period = seconds(number);
        break;
    case option_code::call_timeout:
        options.call_timeout = milliseconds(number);
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
    char* text_value = nullptr;
    long long number_value = 0;
    const auto text = [&](const char* name, option_code code, const char* help, const char* what) {
        return poptOption{name, '\0', POPT_ARG_STRING, &text_value, static_cast<int>(code), help, what};
    };
    const auto number = [&](const char* name, option_code code, const char* help) {
        return poptOption{name, '\0', POPT_ARG_LONGLONG, &number_value, static_cast<int>(code), help, "N"};
    };
    const auto flag = [](const char* name, option_code code, const char* help) {
        return poptOption{name, '\0', POPT_ARG_NONE, nullptr, static_cast<int>(code), help, nullptr};
    };
    const poptOption table[] = {
        text("entry", option_code::entry, "operator address of a daemon; may be repeated", "IP:PORT"),
        text("token", option_code::token, "operator token; default: $RML_OPERATOR_TOKEN", "TOKEN"),
        text("save", option_code::save, "append the daemons' answers as JSON lines", "FILE"),
        text("html", option_code::html, "write a self-contained page", "FILE"),
        flag("json", option_code::json, "print one JSON document"),
        number("now-s", option_code::now, "report up to this time, seconds since 1970; default: now"),
        number("period-s", option_code::period, "period of lost times and changes (86400)"),
        number("timeout-ms", option_code::call_timeout, "longest call of a daemon (2000)"),
        flag("version", option_code::version, "print the version"),
        flag("help", option_code::help, "print this help"),
        POPT_TABLEEND};

    burn_tool_options options;
    if (const char* token = std::getenv(token_variable); token != nullptr) {
        options.token = token;
    }
    options.now = std::chrono::duration_cast<seconds>(std::chrono::system_clock::now().time_since_epoch());
    const std::unique_ptr<std::remove_pointer_t<poptContext>, context_deleter> context(
        poptGetContext("rml-burn", argc, argv, table, 0));
    poptSetOtherOptionHelp(context.get(), "[OPTION...] [FILE...]");
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        const auto option = static_cast<option_code>(code);
        if (option == option_code::help) {
            poptPrintHelp(context.get(), stdout, 0);
            return static_cast<int>(exit_code::success);
        }
        if (option == option_code::version) {
            std::cout << "rml-burn " << RML_VERSION << "\n";
            return static_cast<int>(exit_code::success);
        }
        const std::string given = text_value == nullptr ? "" : text_value;
        std::free(text_value); // NOLINT(cppcoreguidelines-no-malloc): popt allocates with malloc
        text_value = nullptr;
        if (const auto problem = apply(option, given, number_value, options); !problem.empty()) {
            return fail_usage(problem);
        }
    }
    if (code < -1) {
        return fail_usage(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code));
    }
    while (const char* argument = poptGetArg(context.get())) {
        options.files.emplace_back(argument);
    }
    return static_cast<int>(run_burn(options, std::cout, std::cerr));
}
