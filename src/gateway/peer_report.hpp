/// What daemons tell each other several times a second over UDP: requests in flight and doubtful targets.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace rml::gateway {

struct peer_report
{
    daemon_id daemon;
    std::int64_t started_ms{0}; ///< tells lives of a daemon apart
    std::uint64_t sequence{0};
    bool leaving{false};
    bool ready{false};
    bool store_reachable{false};
    bool manages{false}; ///< holds the management of groups, so that `ejected` is the whole list
    std::map<instance_id, std::uint32_t> in_flight;
    std::vector<instance_id> stalled;        ///< targets that stand still for the sender
    std::vector<instance_id> suspected;      ///< had begun to answer the sender, or took no connection of it
    std::vector<instance_id> answering;      ///< targets that somebody suspects and that answer the sender
    std::vector<instance_id> ejected;        ///< by the group manager: lost engines, heads of groups that end
    std::map<instance_id, double> slow;      ///< by the group manager: slow heads, factor on their times
    std::map<model_id, double> offered_load; ///< arriving work per model, in engine seconds per second
    double requests_per_s{0};                ///< arriving at the sender
};

/// CBOR. A report of 600 targets has about 20 KB; usual ones fit into one packet.
std::string encode_report(const peer_report& report);
/// Fails with `malformed`.
result<peer_report> decode_report(const nlohmann::json& message);

} // namespace rml::gateway
