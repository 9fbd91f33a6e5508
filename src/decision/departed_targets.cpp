#include "decision/departed_targets.hpp"

#include "base/limits.hpp"

#include <algorithm>

namespace rml {

bool departed_targets::record(const target_incarnation& target, departure_source source, time_point now)
{
    if (this->contains(target)) {
        return false;
    }
    if (this->records.size() >= limits::departure_records) {
        const auto oldest =
            std::min_element(this->records.begin(), this->records.end(),
                             [](const auto& a, const auto& b) { return a.second.since < b.second.since; });
        this->records.erase(oldest);
    }
    this->records.emplace(target, record_state{now, source});
    return true;
}

std::vector<target_incarnation> departed_targets::reportable(bool with_registry, time_point now) const
{
    std::vector<target_incarnation> out;
    for (const auto& [target, state] : this->records) {
        const bool wanted = state.source == departure_source::answer ||
                            (with_registry && state.source == departure_source::registry);
        if (wanted && now - state.since < limits::departure_report_time &&
            out.size() < limits::departure_reports) {
            out.push_back(target);
        }
    }
    return out;
}

void departed_targets::expire(time_point now)
{
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        const bool old = now - entry->second.since >= limits::departure_lifetime;
        entry = old ? this->records.erase(entry) : std::next(entry);
    }
}

} // namespace rml
