/// Delays between failure domains as the configuration states them.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace rml {

class domain_delays
{
public:
    /// Sets the delay in both directions.
    void update(const failure_domain_id& a, const failure_domain_id& b, duration one_way)
    {
        this->by_link[link(a, b)] = one_way;
    }
    /// Zero within a domain; nothing when no delay is stated.
    std::optional<duration> between(const failure_domain_id& a, const failure_domain_id& b) const
    {
        if (a == b) {
            return duration::zero();
        }
        const auto found = this->by_link.find(link(a, b));
        return found == this->by_link.end() ? std::nullopt : std::optional(found->second);
    }
    /// Longest delay of a link of that domain; nothing when none of its links is stated.
    std::optional<duration> longest_from(const failure_domain_id& domain) const
    {
        std::optional<duration> out;
        for (const auto& [ends, one_way] : this->by_link) {
            if (ends.first == domain || ends.second == domain) {
                out = std::max(out.value_or(one_way), one_way);
            }
        }
        return out;
    }
    bool empty() const { return this->by_link.empty(); }

private:
    using link_ends = std::pair<failure_domain_id, failure_domain_id>; ///< in ascending order

    static link_ends link(const failure_domain_id& a, const failure_domain_id& b)
    {
        return a < b ? link_ends(a, b) : link_ends(b, a);
    }

    std::map<link_ends, duration> by_link;
};

} // namespace rml
