/// Judges the silence of a target. Answers the load of a large fleet, in which a daemon has one or two
/// requests at a target: one that waits in the queue of a full target looks like a standstill. If that made
/// all daemons avoid the target, their requests would fill the next one until all targets are avoided in
/// turns.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace rml {

/// What is known about the requests of this daemon at a silent target.
struct stall_context
{
    duration usual_gap{};          ///< longest pause between bytes of a target that works
    bool streaming{false};         ///< a request in flight there has had bytes, so that the next ones are due
    bool suspected_by_peer{false}; ///< another daemon finds the target silent
};

/// Silence after which the target is taken for standing still.
duration stall_timeout(const stall_context& context);

/// Targets that the daemons find silent: requests that had begun there get no more bytes, or the target takes
/// no connection.
class suspicion_votes
{
public:
    /// `lifetime`: time for which a vote counts.
    explicit suspicion_votes(duration lifetime) : lifetime(lifetime) {}

    void record(const instance_id& target, const daemon_id& from, time_point now);
    /// Daemons that find the target silent now.
    std::size_t count(const instance_id& target, time_point now) const;
    /// The same without that daemon.
    std::size_t count_excluding(const instance_id& target, const daemon_id& excluded, time_point now) const;
    /// Targets that the daemon finds silent now.
    std::vector<instance_id> suspected_by(const daemon_id& from, time_point now) const;
    /// Drops votes that count no more.
    void expire(time_point now);

private:
    bool counts(time_point vote, time_point now) const { return now - vote < this->lifetime; }

    duration lifetime;
    std::map<instance_id, std::map<daemon_id, time_point>> votes; ///< time of the last one
};

/// Daemons that must find a target silent before those without requests there avoid it.
constexpr std::size_t votes_to_eject = 2;

} // namespace rml
