/// Report that daemons send each other several times a second over UDP: requests in flight and suspected
/// targets.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "decision/crash_attribution.hpp"
#include "decision/departed_targets.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace rml::gateway {

/// What a target last said about its limit on requests.
struct request_limit_notice
{
    target_incarnation target;
    std::optional<double> requests_per_s; ///< nothing: it named a limit before and names none any more
    milliseconds age{0};                  ///< of the answer that said so, when the report was composed
};

struct peer_report
{
    daemon_id daemon;
    std::int64_t started_ms{0}; ///< identifies the incarnation of the daemon
    std::uint64_t sequence{0};
    bool leaving{false};
    bool ready{false};
    bool store_reachable{false};
    bool manages{false}; ///< the sender is the group manager, so that `ejected` is the complete list
    std::map<instance_id, std::uint32_t> in_flight;
    /// Prompt tokens of requests of the sender that the target has still to read, where there are any.
    std::map<instance_id, std::uint32_t> unread_tokens;
    std::vector<instance_id> stalled;   ///< targets that stalled requests of the sender
    std::vector<instance_id> suspected; ///< targets that stalled within an answer, or could not be reached
    std::vector<instance_id> answering; ///< suspected targets that make progress for the sender
    std::vector<instance_id> ejected;   ///< from the group manager: lost engines, heads of groups that end
    std::map<instance_id, double> slow; ///< from the group manager: slow heads, factor on their service time
    std::map<model_id, double> offered_load; ///< per model, in engine seconds per second
    double requests_per_s{0};                ///< arriving at the sender
    std::vector<crash_notice> crashes;       ///< evidence on requests and prompt parts that crash targets
    std::vector<std::uint64_t> crash_trials; ///< fingerprints of requests and prompt parts on trial there
    milliseconds interval{0}; ///< until the next report to the same receivers, if nothing happens
    std::vector<target_incarnation> departures;       ///< targets that leave
    std::vector<target_incarnation> removals;         ///< from the group manager: entries that were removed
    std::vector<request_limit_notice> request_limits; ///< from answers that the sender received itself
    bool limits_known{false}; ///< the sender knows which targets state limits, see `fleet_state`

    /// Whether the sender has no work, so that others need not know more of it than that it runs.
    bool idle() const
    {
        return this->in_flight.empty() && this->requests_per_s < min_busy_rate && !this->manages &&
               !this->leaving;
    }

private:
    static constexpr double min_busy_rate = 0.5; // requests per second
};

/// Encodes as CBOR. A report with 600 targets has about 20 KB; usual reports fit into one packet.
std::string encode_report(const peer_report& report);
/// Fails with `malformed`.
result<peer_report> decode_report(const nlohmann::json& message);

} // namespace rml::gateway
