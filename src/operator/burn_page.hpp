/// Renders a burn report: table for terminals, JSON, and one self-contained HTML page.
#pragma once

#include "decision/burn.hpp"

#include <string>

namespace rml {

std::string render_burn_table(const burn_report& report);
std::string render_burn_json(const burn_report& report);

/// Page with inline SVG charts of the burn rate over each objective's window. It loads no other resource.
std::string render_burn_html(const burn_report& report, const burn_ledger& ledger);

} // namespace rml
