/// Commands of `rml-ctl`, without its command line.
#pragma once

#include "base/command_line.hpp"
#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "objects/object_parser.hpp"

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace rml {

struct ctl_options
{
    std::string command;
    std::vector<std::string> arguments;  ///< files, folders, or the name of a failure domain
    std::optional<endpoint> store;       ///< key-value store
    std::vector<endpoint> entries;       ///< operator addresses of daemons
    std::string token;                   ///< operator token
    std::string base;                    ///< file or folder to compare with, instead of the store
    std::optional<std::uint64_t> expect; ///< publish only on top of this generation
    std::uint64_t generation{0};         ///< 0: the one in force
    std::uint32_t count{10};             ///< number of generations that `history` lists
    bool json{false};                    ///< one JSON document on standard output
    bool wait{false};                    ///< wait until all given daemons confirm
    milliseconds wait_time{10000};       ///< time limit of `wait`
    milliseconds call_timeout{2000};     ///< for one call of a daemon
    std::string attempt_id;              ///< unique to each run
    std::string author;                  ///< shown in the history
    milliseconds now{0};                 ///< wall clock, since 1970
};

/// Name, arguments and one-line help of a command.
struct ctl_command
{
    std::string_view name;
    std::string_view arguments;
    std::string_view help;
};
const std::vector<ctl_command>& ctl_commands();

/// Runs a command. Writes results to `out` and problems to `err`.
exit_code run_ctl(const ctl_options& options, std::ostream& out, std::ostream& err);

/// Reads object files. A folder stands for its `*.json` files, sorted by name. Fails with
/// `not_found` when a path cannot be read and with `too_large` when a file exceeds the size limit.
result<std::vector<object_source>> read_object_files(const std::vector<std::string>& paths);

} // namespace rml
