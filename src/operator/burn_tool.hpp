/// Logic of `rml-burn`, without its command line.
#pragma once

#include "base/command_line.hpp"
#include "base/endpoint.hpp"
#include "base/time.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace rml {

struct burn_tool_options
{
    std::vector<std::string> files; ///< saved JSON lines
    std::vector<endpoint> entries;  ///< operator addresses of daemons
    std::string token;              ///< operator token
    std::string save;               ///< appends what the daemons answered to this file
    std::string html;               ///< writes the page to this file
    bool json{false};
    seconds now{0};                  ///< wall clock since 1970 up to which the report goes
    seconds period{24 * 3600};       ///< of lost times and changes
    milliseconds call_timeout{2000}; ///< of one daemon
};

/// Reads, merges and prints. The report is also printed when some daemon or line could not be read; the exit
/// code then says so.
exit_code run_burn(const burn_tool_options& options, std::ostream& out, std::ostream& err);

} // namespace rml
