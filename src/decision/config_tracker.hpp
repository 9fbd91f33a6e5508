/// Which configuration generation is in force at this daemon. A generation never goes back.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <set>

namespace rml {

enum class config_source
{
    store,
    peer,
    operator_tool,
};

enum class config_decision
{
    accepted, ///< newer: put it in force
    current,  ///< the generation that is in force already
    stale,    ///< older than what is in force: ignored, whoever sent it
};

/// State of one daemon. The driver reports what it hears and asks what to do.
class config_tracker
{
public:
    /// Decides on a complete set of `generation` from `source`. Accepting puts it in force.
    config_decision receive(std::uint64_t generation, config_source source);

    /// A peer answered with its generation, also when it is 0 or old.
    void update_peer_answer(const daemon_id& peer, std::uint64_t generation);
    /// The store answered with the generation of its head; 0 when nothing was published yet.
    void update_store_answer(std::uint64_t generation);
    /// Number of other live members known now.
    void update_known_peers(std::size_t count);

    std::uint64_t generation() const { return this->in_force; }
    /// Highest generation heard of; larger than generation() while a set has still to be fetched.
    std::uint64_t announced() const { return this->highest_reported; }
    /// True once a fresh process may serve: the store answered, or two peers (or all known ones) did, and the
    /// highest generation heard of was in force. One old peer is not enough, since it may be behind. Stays
    /// true afterwards.
    bool ready() const { return this->started; }

private:
    void update_ready();

    bool started{false};
    std::uint64_t in_force{0};
    std::uint64_t highest_reported{0};
    bool store_answered{false};
    std::set<daemon_id> answered_peers;
    std::size_t known_peers{0};
};

} // namespace rml
