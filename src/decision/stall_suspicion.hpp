/// Decides when a silent target is suspected of being stalled. In a large fleet a daemon has only one or two
/// requests at a target, and a request that waits in the queue of a full target looks like a stall. If all
/// daemons ejected the target for that, their requests would fill the next one, until all targets are ejected
/// in turn.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace rml {

/// Facts about a silent target at which this daemon has requests in flight.
struct stall_context
{
    duration usual_gap{};          ///< longest gap between bytes of a working target
    bool streaming{false};         ///< a request in flight has received bytes, so more are due
    bool suspected_by_peer{false}; ///< another daemon suspects the target
};

/// Silence after which the target counts as stalled.
duration stall_timeout(const stall_context& context);

/// The daemons' suspicions of targets. A daemon suspects a target when a stream that had begun receives no
/// more bytes, or when the target accepts no connection.
class suspicion_votes
{
public:
    /// `lifetime`: time after which a vote expires.
    explicit suspicion_votes(duration lifetime) : lifetime(lifetime) {}

    void record(const instance_id& target, const daemon_id& from, time_point now);
    /// Number of daemons that suspect the target now.
    std::size_t count(const instance_id& target, time_point now) const;
    /// Like `count`, without the vote of the daemon `excluded`.
    std::size_t count_excluding(const instance_id& target, const daemon_id& excluded, time_point now) const;
    /// Targets that the daemon suspects now.
    std::vector<instance_id> suspected_by(const daemon_id& from, time_point now) const;
    /// Removes expired votes.
    void expire(time_point now);

private:
    bool counts(time_point vote, time_point now) const { return now - vote < this->lifetime; }

    duration lifetime;
    std::map<instance_id, std::map<daemon_id, time_point>> votes; ///< time of the latest vote of each daemon
};

/// Number of daemons that must suspect a target before daemons without requests there eject it too.
constexpr std::size_t votes_to_eject = 2;

} // namespace rml
