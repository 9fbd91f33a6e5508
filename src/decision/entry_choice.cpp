#include "decision/entry_choice.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>

namespace rml {

namespace {

/// A stream of about 27 events costs a daemon 1 to 1.5 ms of a core (docs/measurements.md), so a core can
/// carry about 700 requests a second or more. At a third of that, the daemons can absorb a burst and the loss
/// of a failure domain.
constexpr double requests_per_core = 250;
/// With two daemons in each failure domain, callers still have one in their own domain after the loss of the
/// other.
constexpr std::size_t min_per_domain = 2;
/// A domain's own daemons may be this busy before its callers are told the others too: below the 700 requests
/// a second that a core can carry, and above the rate for which the entries are chosen, because the domain's
/// demand may exceed its mean by half.
constexpr double near_requests_per_core = 500;
/// Callers return to their domain when its demand has fallen to this part of that rate.
constexpr double return_share = 0.8;
/// Then the demand of a domain whose callers are told all daemons is measured again.
constexpr seconds shortage_lifetime{30};

} // namespace

std::vector<std::size_t> choose_entries(const std::vector<entry_candidate>& candidates, double requests_per_s)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto tie_break = [&](std::size_t index) { return hash64(candidates[index].daemon.str()); };
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const auto& first = candidates[a];
        const auto& second = candidates[b];
        if (first.store_reachable != second.store_reachable) {
            return first.store_reachable;
        }
        return first.cores != second.cores ? first.cores > second.cores : tie_break(a) < tie_break(b);
    });
    // The nth candidates of all failure domains make the nth layer.
    std::map<failure_domain_id, std::size_t> seen;
    std::vector<std::vector<std::size_t>> layers;
    for (const auto index : order) {
        const auto layer = seen[candidates[index].failure_domain]++;
        layers.resize(std::max(layers.size(), layer + 1));
        layers[layer].push_back(index);
    }
    std::vector<std::size_t> out;
    double min_cores = std::numeric_limits<double>::max();
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        for (const auto index : layers[layer]) {
            out.push_back(index);
            min_cores = std::min(min_cores, candidates[index].cores);
        }
        // Callers pick a chosen daemon at random, so the smallest one gets as many requests as the others.
        const auto capacity_per_s = static_cast<double>(out.size()) * min_cores * requests_per_core;
        if (layer + 1 >= min_per_domain && capacity_per_s >= requests_per_s) {
            break;
        }
    }
    return out;
}

bool near_entries::suffice(const failure_domain_id& domain, const domain_entries& entries, time_point now)
{
    if (entries.daemons < min_per_domain) {
        return false;
    }
    const auto capacity_per_s =
        static_cast<double>(entries.daemons) * entries.min_cores * near_requests_per_core;
    if (const auto found = this->short_domains.find(domain); found != this->short_domains.end()) {
        const auto demand_per_s = found->second.share * entries.all_requests_per_s;
        if (demand_per_s > return_share * capacity_per_s && now < found->second.since + shortage_lifetime) {
            return false;
        }
        this->short_domains.erase(found);
        return true;
    }
    if (entries.requests_per_s <= capacity_per_s) {
        return true;
    }
    this->short_domains[domain] = {entries.requests_per_s / entries.all_requests_per_s, now};
    return false;
}

} // namespace rml
