#include "gateway/entry_list.hpp"

#include "base/log.hpp"
#include "decision/entry_choice.hpp"

#include <algorithm>
#include <utility>

namespace rml::gateway {

namespace {

constexpr std::size_t max_listed_daemons = 64;

/// Whether this incarnation of the daemon has reported recently.
bool reports(const fleet_state& fleet, const peer_state& peer, time_point now)
{
    return fleet.live(peer, now) && peer.last_report.started_ms >= peer.entry.started_ms &&
           peer.reported_at != time_point{};
}

} // namespace

std::vector<listed_daemon> entry_daemons(const fleet_state& fleet, const own_state& own, time_point now)
{
    std::vector<entry_candidate> candidates;
    std::vector<listed_daemon> serving;
    std::vector<listed_daemon> unresponsive;
    double requests_per_s = own.requests_per_s;
    const auto add = [&](const daemon_id& daemon, const daemon_entry& entry, bool store_reachable) {
        candidates.push_back({daemon, entry.failure_domain, entry.cores, store_reachable});
        serving.push_back({daemon, entry.caller, entry.failure_domain, entry.cores, true});
    };
    if (own.ready) {
        add(fleet.self, own.entry, own.store_reachable);
    }
    for (const auto& [daemon, peer] : fleet.peers()) {
        if (daemon == fleet.self || peer.entry.caller.port == 0) {
            continue;
        }
        const bool reported_in_this_incarnation =
            peer.last_report.started_ms >= peer.entry.started_ms && peer.reported_at != time_point{};
        if (reports(fleet, peer, now)) {
            requests_per_s += peer.last_report.requests_per_s;
            if (peer.last_report.ready && !peer.last_report.leaving) {
                add(daemon, peer.entry, peer.last_report.store_reachable);
            }
        } else if (peer.registered && !(reported_in_this_incarnation && peer.last_report.leaving)) {
            unresponsive.push_back(
                {daemon, peer.entry.caller, peer.entry.failure_domain, peer.entry.cores, false});
        }
    }
    std::vector<listed_daemon> out;
    for (const auto index : choose_entries(candidates, requests_per_s)) {
        out.push_back(serving[index]);
    }
    if (out.empty()) {
        out = std::move(unresponsive);
    }
    out.resize(std::min(out.size(), max_listed_daemons));
    return out;
}

std::vector<listed_daemon> near_entry_list::select(const failure_domain_id& domain, const fleet_state& fleet,
                                                   const own_state& own, time_point now)
{
    auto all = entry_daemons(fleet, own, now);
    const auto& config = fleet.config();
    if (!config || !config->delays().longest_from(domain)) {
        return all;
    }
    domain_entries entries;
    std::vector<listed_daemon> near;
    for (const auto& entry : all) {
        if (entry.failure_domain == domain && entry.ready) {
            entries.min_cores = near.empty() ? entry.cores : std::min(entries.min_cores, entry.cores);
            near.push_back(entry);
        }
    }
    entries.daemons = near.size();
    const auto add = [&](const failure_domain_id& of, double requests_per_s) {
        entries.all_requests_per_s += requests_per_s;
        entries.requests_per_s += of == domain ? requests_per_s : 0;
    };
    add(own.entry.failure_domain, own.requests_per_s);
    for (const auto& [daemon, peer] : fleet.peers()) {
        if (daemon != fleet.self && reports(fleet, peer, now)) {
            add(peer.entry.failure_domain, peer.last_report.requests_per_s);
        }
    }
    const bool suffice = this->decision.suffice(domain, entries, now);
    this->metrics
        .create_counter("rml_entry_lists_total", "Entry lists for callers that name their failure domain",
                        {{"domains", suffice ? "own" : "all"}})
        .add();
    if (const auto [before, first] = this->sufficed.try_emplace(domain, true);
        std::exchange(before->second, suffice) != suffice) {
        log(log_level::info,
            suffice ? "entry daemons of the failure domain suffice"
                    : "entry daemons of the failure domain do not suffice",
            {{"failure_domain", domain.str()},
             {"ready", static_cast<std::int64_t>(entries.daemons)},
             {"requests_per_s", static_cast<std::int64_t>(entries.requests_per_s)}});
    }
    return suffice ? near : all;
}

} // namespace rml::gateway
