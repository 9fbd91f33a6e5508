/// Command-line parsing with popt. Every program has --help and --version.
#pragma once

#include "base/failure.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rml {

/// Exit codes of all programs.
enum class exit_code
{
    success = 0,
    operation_failed = 1,
    usage_error = 2,
    invalid_settings = 3,
    unavailable = 4,
};

/// Options of one program. The variables given to add() must outlive parse().
class command_line
{
public:
    /// `notes` are printed below the options by --help.
    command_line(std::string program, std::string notes);

    /// Adds an option with a value; the variable's current value is the default.
    void add(const std::string& name, std::string& value, const std::string& help);
    void add(const std::string& name, std::int64_t& value, const std::string& help);
    /// Adds an option that may be repeated.
    void add(const std::string& name, std::vector<std::string>& values, const std::string& help);
    /// Adds an option without a value.
    void add(const std::string& name, bool& value, const std::string& help);

    /// Returns false after printing --help or --version, when the program must exit, and true otherwise.
    /// Fails with `malformed` on a usage error. Positional arguments are appended to `positional`; when it is
    /// null, they are a usage error.
    result<bool> parse(int argc, const char** argv, std::vector<std::string>* positional = nullptr);

private:
    struct option
    {
        std::string name;
        std::string help;
        std::string* text{nullptr};
        std::int64_t* number{nullptr};
        bool* flag{nullptr};
        std::vector<std::string>* list{nullptr};
    };

    std::string program;
    std::string notes;
    std::vector<option> options;
};

} // namespace rml
