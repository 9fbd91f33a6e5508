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
    std::string save;               ///< file that the daemons' answers are appended to; empty: none
    std::string html;               ///< file that the page is written to; empty: none
    bool json{false};
    seconds now{0};                  ///< end of the report, wall clock since 1970
    seconds period{24 * 3600};       ///< length of the period of lost times and changes
    milliseconds call_timeout{2000}; ///< for one call of a daemon
};

/// Reads and merges burn data and prints the report. When a daemon or a line cannot be read, the report is
/// still printed and the exit code reports the failure.
exit_code run_burn(const burn_tool_options& options, std::ostream& out, std::ostream& err);

} // namespace rml
