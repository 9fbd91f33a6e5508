#include "gateway/entry_list.hpp"

#include "decision/entry_choice.hpp"

#include <algorithm>

namespace rml::gateway {

namespace {

constexpr std::size_t max_listed_daemons = 64;

} // namespace

std::vector<listed_daemon> entry_daemons(const fleet_state& fleet, const own_state& own, time_point now)
{
    std::vector<entry_candidate> candidates;
    std::vector<listed_daemon> serving;
    std::vector<listed_daemon> unresponsive;
    double requests_per_s = own.requests_per_s;
    const auto add = [&](const daemon_id& daemon, const daemon_entry& entry, bool store_reachable) {
        candidates.push_back({daemon, entry.failure_domain, entry.cores, store_reachable});
        serving.push_back({daemon, entry.caller});
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
        if (fleet.live(peer, now) && reported_in_this_incarnation) {
            requests_per_s += peer.last_report.requests_per_s;
            if (peer.last_report.ready && !peer.last_report.leaving) {
                add(daemon, peer.entry, peer.last_report.store_reachable);
            }
        } else if (peer.registered && !(reported_in_this_incarnation && peer.last_report.leaving)) {
            unresponsive.push_back({daemon, peer.entry.caller});
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

} // namespace rml::gateway
