#include "gateway/entry_list.hpp"

#include "decision/entry_choice.hpp"

#include <algorithm>

namespace rml::gateway {

namespace {

/// Most addresses that an answer to a caller may name.
constexpr std::size_t longest_list = 64;

} // namespace

std::vector<named_daemon> entry_daemons(const fleet_state& fleet, const own_state& own, time_point now)
{
    std::vector<entry_candidate> candidates;
    std::vector<named_daemon> taking;
    std::vector<named_daemon> silent;
    double requests_per_s = own.requests_per_s;
    const auto add = [&](const daemon_id& daemon, const daemon_entry& entry, bool store_reachable) {
        candidates.push_back({daemon, entry.failure_domain, entry.cores, store_reachable});
        taking.push_back({daemon, entry.caller});
    };
    if (own.ready) {
        add(fleet.self, own.entry, own.store_reachable);
    }
    for (const auto& [daemon, peer] : fleet.peers()) {
        if (daemon == fleet.self || peer.entry.caller.port == 0) {
            continue;
        }
        const bool heard_in_this_life =
            peer.last_report.started_ms >= peer.entry.started_ms && peer.reported_at != time_point{};
        if (fleet.live(peer, now) && heard_in_this_life) {
            requests_per_s += peer.last_report.requests_per_s;
            if (peer.last_report.ready && !peer.last_report.leaving) {
                add(daemon, peer.entry, peer.last_report.store_reachable);
            }
        } else if (peer.registered && !(heard_in_this_life && peer.last_report.leaving)) {
            silent.push_back({daemon, peer.entry.caller});
        }
    }
    std::vector<named_daemon> out;
    for (const auto index : choose_entries(candidates, requests_per_s)) {
        out.push_back(taking[index]);
    }
    if (out.empty()) {
        out = std::move(silent);
    }
    out.resize(std::min(out.size(), longest_list));
    return out;
}

} // namespace rml::gateway
