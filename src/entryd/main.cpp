/// rml-entryd: the daemon that serves callers.
#include "base/log.hpp"
#include "entryd/daemon.hpp"
#include "objects/settings.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <popt.h>
#include <sstream>
#include <string>

namespace {

constexpr int exit_success = 0;
constexpr int exit_usage = 2;
constexpr int exit_invalid = 3;
constexpr int exit_unavailable = 4;

struct arguments
{
    std::string settings_file;
    bool check{false};
    bool version{false};
};

struct context_deleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};

/// Exits with the usage text on --help; returns false after a usage error.
bool parse_arguments(int argc, char** argv, arguments& out)
{
    char* file = nullptr;
    int check = 0;
    int version = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &file, 0, "Settings, JSON with comments", "FILE"},
        {"check-config", 0, POPT_ARG_NONE, &check, 0, "Check the settings and exit", nullptr},
        {"version", 0, POPT_ARG_NONE, &version, 0, "Print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, context_deleter> context(
        poptGetContext("rml-entryd", argc, const_cast<const char**>(argv), options, 0));
    const int code = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&std::free)> owned(file, &std::free);
    const char* const extra = poptGetArg(context.get());
    if (code < -1) {
        std::cerr << "rml-entryd: " << poptBadOption(context.get(), 0) << ": " << poptStrerror(code) << "\n";
        return false;
    }
    out.settings_file = file == nullptr ? "" : file;
    out.check = check != 0;
    out.version = version != 0;
    if (extra != nullptr || (out.settings_file.empty() && !out.version)) {
        std::cerr << "rml-entryd: "
                  << (extra != nullptr ? "unexpected argument" : "--settings FILE is required") << "\n";
        return false;
    }
    return true;
}

rml::result<rml::settings> read_settings(const std::string& file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
        return rml::failure{rml::failure_kind::invalid_settings, "cannot be read"};
    }
    return rml::parse_settings(text.str());
}

} // namespace

int main(int argc, char** argv)
{
    arguments parsed;
    if (!parse_arguments(argc, argv, parsed)) {
        return exit_usage;
    }
    if (parsed.version) {
        std::cout << "rml-entryd " RML_VERSION "\n";
        return exit_success;
    }
    const auto configured = read_settings(parsed.settings_file);
    if (failed(configured)) {
        std::cerr << "rml-entryd: " << parsed.settings_file << ": " << error(configured).context << "\n";
        return exit_invalid;
    }
    if (parsed.check) {
        return exit_success;
    }
    const auto& checked = value(configured);
    rml::start_log({"rml-entryd", checked.log.level, checked.log.file});
    const auto ended = rml::entryd::run_daemon(checked);
    rml::stop_log();
    if (failed(ended)) {
        std::cerr << "rml-entryd: " << error(ended).context << "\n";
        return exit_unavailable;
    }
    return exit_success;
}
