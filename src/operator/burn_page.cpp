#include "operator/burn_page.hpp"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace rml {

namespace {

using json = nlohmann::ordered_json;

constexpr int chart_width = 720;
constexpr int chart_height = 120;
constexpr int chart_points = 120;
/// Highest rate that the chart shows, a little above the threshold of the fast alert. A higher limit would
/// flatten the rest of the line.
constexpr double chart_max_rate = 16;

std::string utc_text(seconds at)
{
    const auto time = static_cast<std::time_t>(at.count());
    std::tm parts{};
    std::ostringstream text;
    if (gmtime_r(&time, &parts) != nullptr) {
        text << std::put_time(&parts, "%Y-%m-%d %H:%M:%S UTC");
    }
    return text.str();
}

std::string fixed(double number, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << number;
    return text.str();
}

std::string percent(double share, int digits = 2)
{
    return fixed(100 * share, digits) + "%";
}

double good_share(const burn_counts& counts)
{
    return counts.total() == 0 ? 1 : static_cast<double>(counts.good) / static_cast<double>(counts.total());
}

std::string good_text(const burn_counts& counts)
{
    return counts.total() == 0 ? "no events" : percent(good_share(counts), 3);
}

std::string firing_alerts(const objective_burn& burn)
{
    std::string names;
    for (const auto& alert : burn.alerts) {
        if (alert.firing) {
            names += (names.empty() ? "" : " ") + std::string(alert.rule);
        }
    }
    return names.empty() ? "-" : names;
}

std::string change_text(const domain_change& change)
{
    return change.failure_domain + (change.drained ? " drained" : " restored") + " (generation " +
           std::to_string(change.generation) + ")";
}

struct table
{
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

table lost_table(const std::string& title, const std::string& column, const std::vector<lost_time>& lost)
{
    table t{title, {"pool", "failure domain", column, "minutes"}, {}};
    constexpr double ms_per_minute = 60.0 * 1000;
    for (const auto& entry : lost) {
        t.rows.push_back({entry.series.name.empty() ? "-" : entry.series.name,
                          entry.series.failure_domain.empty() ? "-" : entry.series.failure_domain,
                          percent(entry.lost_share, 3),
                          fixed(static_cast<double>(entry.counts_ms.bad) / ms_per_minute, 2)});
    }
    return t;
}

std::vector<table> tables_of(const burn_report& report)
{
    table objectives{"Objectives",
                     {"objective", "target", "window", "events", "good", "budget left", "long rate",
                      "short rate", "alerts due"},
                     {}};
    for (const auto& burn : report.objectives) {
        const auto& first = burn.alerts.front();
        objectives.rows.push_back({burn.objective.name, percent(burn.objective.target_share),
                                   fixed(static_cast<double>(burn.objective.window.count()) / 3600, 1) + " h",
                                   std::to_string(burn.counts.total()), good_text(burn.counts),
                                   percent(burn.budget_left, 1), fixed(first.long_rate, 2),
                                   fixed(first.short_rate, 2), firing_alerts(burn)});
    }
    table changes{
        "Service after failure-domain changes", {"change", "time", "objective", "events", "good"}, {}};
    for (const auto& row : report.changes) {
        changes.rows.push_back({change_text(row.change), utc_text(row.change.at), row.objective,
                                std::to_string(row.counts.total()), good_text(row.counts)});
    }
    return {std::move(objectives), lost_table("Group downtime", "down", report.group_downtime),
            lost_table("Stranded accelerators", "stranded", report.stranded), std::move(changes)};
}

/// Escapes text for elements and quoted attributes.
std::string escape_html(const std::string& text)
{
    std::string safe;
    for (const char c : text) {
        switch (c) {
        case '&':
            safe += "&amp;";
            break;
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '"':
            safe += "&quot;";
            break;
        case '\'':
            safe += "&#39;";
            break;
        default:
            safe += c;
        }
    }
    return safe;
}

/// Burn rate over the objective's window, one point for each 1/120 of it.
std::string chart(const objective_burn& burn, const burn_ledger& ledger, seconds now)
{
    const burn_series series{burn_series_kind::objective, burn.objective.name, ""};
    const auto step = std::max(burn_bucket, burn.objective.window / chart_points);
    std::ostringstream points;
    for (int i = 0; i < chart_points; ++i) {
        const auto to = now - step * (chart_points - 1 - i);
        const auto rate = burn_rate(ledger.sum(series, to - step, to), burn.objective.target_share);
        const auto y = chart_height * (1 - std::min(rate, chart_max_rate) / chart_max_rate);
        points << (i == 0 ? "" : " ") << fixed(chart_width * static_cast<double>(i) / (chart_points - 1), 1)
               << "," << fixed(y, 1);
    }
    std::ostringstream svg;
    svg << "<svg viewBox=\"0 0 " << chart_width << " " << chart_height
        << "\" role=\"img\" aria-label=\"burn rate of " << escape_html(burn.objective.name) << "\">";
    for (const auto& rule : burn_rules()) {
        const auto y = fixed(chart_height * (1 - rule.rate / chart_max_rate), 1);
        svg << "<line x1=\"0\" x2=\"" << chart_width << "\" y1=\"" << y << "\" y2=\"" << y
            << "\" class=\"rule\"/><text x=\"4\" y=\"" << y << "\">" << rule.name << " " << rule.rate
            << "</text>";
    }
    svg << "<polyline points=\"" << points.str() << "\"/></svg>";
    return svg.str();
}

json counts_json(const burn_counts& counts)
{
    return {{"good", counts.good}, {"bad", counts.bad}};
}

json lost_json(const std::vector<lost_time>& lost)
{
    auto list = json::array();
    for (const auto& entry : lost) {
        list.push_back({{"pool", entry.series.name},
                        {"failure_domain", entry.series.failure_domain},
                        {"lost_ms", entry.counts_ms.bad},
                        {"total_ms", entry.counts_ms.total()},
                        {"lost_share", entry.lost_share}});
    }
    return list;
}

json objective_json(const objective_burn& burn)
{
    json entry{{"objective", burn.objective.name},          {"target_share", burn.objective.target_share},
               {"window_s", burn.objective.window.count()}, {"counts", counts_json(burn.counts)},
               {"budget_left", burn.budget_left},           {"alerts", json::array()}};
    for (const auto& alert : burn.alerts) {
        entry["alerts"].push_back({{"rule", alert.rule},
                                   {"long_window_s", alert.long_window.count()},
                                   {"short_window_s", alert.short_window.count()},
                                   {"long_rate", alert.long_rate},
                                   {"short_rate", alert.short_rate},
                                   {"due", alert.firing}});
    }
    return entry;
}

} // namespace

std::string render_burn_table(const burn_report& report)
{
    std::ostringstream out;
    out << "until " << utc_text(report.now) << "\n";
    for (const auto& t : tables_of(report)) {
        std::vector<std::size_t> widths;
        for (std::size_t column = 0; column < t.columns.size(); ++column) {
            auto width = t.columns[column].size();
            for (const auto& row : t.rows) {
                width = std::max(width, row[column].size());
            }
            widths.push_back(width);
        }
        const auto print = [&](const std::vector<std::string>& cells) {
            for (std::size_t column = 0; column < cells.size(); ++column) {
                out << "  " << std::left << std::setw(static_cast<int>(widths[column])) << cells[column];
            }
            out << "\n";
        };
        out << "\n" << t.title << "\n";
        print(t.columns);
        for (const auto& row : t.rows) {
            print(row);
        }
    }
    return out.str();
}

std::string render_burn_json(const burn_report& report)
{
    json document{{"now_s", report.now.count()},
                  {"period_s", report.period.count()},
                  {"objectives", json::array()},
                  {"group_downtime", lost_json(report.group_downtime)},
                  {"stranded_accelerators", lost_json(report.stranded)},
                  {"domain_changes", json::array()}};
    for (const auto& burn : report.objectives) {
        document["objectives"].push_back(objective_json(burn));
    }
    for (const auto& row : report.changes) {
        document["domain_changes"].push_back({{"failure_domain", row.change.failure_domain},
                                              {"generation", row.change.generation},
                                              {"drained", row.change.drained},
                                              {"at_s", row.change.at.count()},
                                              {"objective", row.objective},
                                              {"counts", counts_json(row.counts)}});
    }
    return document.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string render_burn_html(const burn_report& report, const burn_ledger& ledger)
{
    std::ostringstream out;
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level "
           "burn</title>"
           "<style>body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}"
           "th,td{padding:.2em .8em;text-align:left;border-bottom:1px solid #ccc}"
           "svg{width:100%;border:1px solid #ccc}polyline{fill:none;stroke:#06c;stroke-width:1.5}"
           ".rule{stroke:#c66;stroke-dasharray:4}text{font-size:9px;fill:#844}</style></head><body>\n"
        << "<h1>Service-level burn</h1><p>Until " << utc_text(report.now) << "</p>\n";
    for (const auto& t : tables_of(report)) {
        out << "<h2>" << escape_html(t.title) << "</h2><table><tr>";
        for (const auto& column : t.columns) {
            out << "<th>" << escape_html(column) << "</th>";
        }
        out << "</tr>\n";
        for (const auto& row : t.rows) {
            out << "<tr>";
            for (const auto& cell : row) {
                out << "<td>" << escape_html(cell) << "</td>";
            }
            out << "</tr>\n";
        }
        out << "</table>\n";
    }
    for (const auto& burn : report.objectives) {
        out << "<h2>Burn rate of " << escape_html(burn.objective.name) << "</h2>"
            << chart(burn, ledger, report.now) << "\n";
    }
    out << "</body></html>\n";
    return out.str();
}

} // namespace rml
