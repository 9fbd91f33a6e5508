/// Decides which configuration generation is in force at this daemon. The generation never decreases.
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
    accepted, ///< newer than the generation in force, which it replaces
    current,  ///< already in force
    stale,    ///< older than the generation in force: ignored, whatever its source
};

/// State of one daemon. The driver reports received generations and applies the decisions.
class config_tracker
{
public:
    /// Decides on the complete configuration of `generation` that was received from `source`. An accepted one
    /// is in force from then on.
    config_decision receive(std::uint64_t generation, config_source source);

    /// A peer reported its generation, which may be 0 or older than the own one.
    void update_peer_answer(const daemon_id& peer, std::uint64_t generation);
    /// The store reported its current generation; 0 when nothing was published yet.
    void update_store_answer(std::uint64_t generation);
    /// Updates the number of other live members that are known.
    void update_known_peers(std::size_t count);

    std::uint64_t generation() const { return this->in_force; }
    /// Highest generation reported so far; larger than generation() while a configuration has yet to be
    /// fetched.
    std::uint64_t announced() const { return this->highest_reported; }
    /// True once a new process may serve: the store has answered, or two peers (or all known ones) have, and
    /// the highest generation reported was in force. One peer is not enough, since it may be outdated. Stays
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
