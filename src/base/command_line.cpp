#include "base/command_line.hpp"

#include <charconv>
#include <cstdio>
#include <iostream>
#include <memory>
#include <popt.h>

namespace rml {

namespace {

constexpr int help_value = 1;
constexpr int version_value = 2;
constexpr int first_option_value = 3;

struct context_deleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using context_pointer = std::unique_ptr<std::remove_pointer_t<poptContext>, context_deleter>;

struct text_deleter
{
    void operator()(char* text) const { std::free(text); } // NOLINT: popt allocates with malloc
};

failure usage_error(const std::string& context)
{
    return failure{failure_kind::malformed, context};
}

status read_number(const std::string& name, const std::string& text, std::int64_t& out)
{
    const auto* const last = text.data() + text.size();
    if (const auto [end, code] = std::from_chars(text.data(), last, out);
        code != std::errc() || end != last || text.empty()) {
        return usage_error("--" + name + ": '" + text + "' is not a whole number");
    }
    return success();
}

} // namespace

command_line::command_line(std::string program_name, std::string help_notes)
    : program(std::move(program_name)), notes(std::move(help_notes))
{
}

void command_line::add(const std::string& name, std::string& value, const std::string& help)
{
    this->options.push_back({name, value.empty() ? help : help + " (default " + value + ")", &value});
}

void command_line::add(const std::string& name, std::int64_t& value, const std::string& help)
{
    this->options.push_back({name, help + " (default " + std::to_string(value) + ")", nullptr, &value});
}

void command_line::add(const std::string& name, std::vector<std::string>& values, const std::string& help)
{
    this->options.push_back({name, help + "; may be repeated", nullptr, nullptr, nullptr, &values});
}

void command_line::add(const std::string& name, bool& value, const std::string& help)
{
    this->options.push_back({name, help, nullptr, nullptr, &value});
}

result<bool> command_line::parse(int argc, const char** argv, std::vector<std::string>* positional)
{
    std::vector<poptOption> table;
    int next = first_option_value;
    for (const auto& entry : this->options) {
        const bool flag = entry.flag != nullptr;
        table.push_back({entry.name.c_str(), '\0', flag ? POPT_ARG_NONE : POPT_ARG_STRING, nullptr, next++,
                         entry.help.c_str(), flag ? nullptr : "VALUE"});
    }
    table.push_back({"help", 'h', POPT_ARG_NONE, nullptr, help_value, "Print this help and exit", nullptr});
    table.push_back(
        {"version", 'V', POPT_ARG_NONE, nullptr, version_value, "Print the version and exit", nullptr});
    table.push_back(POPT_TABLEEND);
    const context_pointer context(poptGetContext(this->program.c_str(), argc, argv, table.data(), 0));
    int option_code = 0;
    while ((option_code = poptGetNextOpt(context.get())) > 0) {
        if (option_code == help_value) {
            poptPrintHelp(context.get(), stdout, 0);
            std::cout << this->notes;
            return false;
        }
        if (option_code == version_value) {
            std::cout << this->program << " " << RML_VERSION << "\n";
            return false;
        }
        const auto& entry = this->options[static_cast<std::size_t>(option_code - first_option_value)];
        const std::unique_ptr<char, text_deleter> argument(poptGetOptArg(context.get()));
        if (entry.flag != nullptr) {
            *entry.flag = true;
        } else if (entry.text != nullptr) {
            *entry.text = argument ? argument.get() : "";
        } else if (entry.list != nullptr) {
            entry.list->emplace_back(argument ? argument.get() : "");
        } else if (auto read = read_number(entry.name, argument ? argument.get() : "", *entry.number);
                   failed(read)) {
            return error(read);
        }
    }
    if (option_code < -1) {
        return usage_error(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
                           poptStrerror(option_code));
    }
    while (const char* argument = poptGetArg(context.get())) {
        if (positional == nullptr) {
            return usage_error(std::string("unexpected argument '") + argument + "'");
        }
        positional->emplace_back(argument);
    }
    return true;
}

} // namespace rml
