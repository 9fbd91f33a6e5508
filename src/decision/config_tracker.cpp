#include "decision/config_tracker.hpp"

#include <algorithm>

namespace rml {

namespace {

constexpr std::size_t peers_needed_without_store = 2;

} // namespace

config_decision config_tracker::receive(std::uint64_t generation, config_source source)
{
    if (source == config_source::store) {
        this->store_answered = true;
    }
    this->highest_reported = std::max(this->highest_reported, generation);
    if (generation == this->in_force) {
        return config_decision::current;
    }
    if (generation < this->in_force) {
        return config_decision::stale;
    }
    this->in_force = generation;
    this->update_ready();
    return config_decision::accepted;
}

void config_tracker::update_peer_answer(const daemon_id& peer, std::uint64_t generation)
{
    this->answered_peers.insert(peer);
    this->highest_reported = std::max(this->highest_reported, generation);
    this->update_ready();
}

void config_tracker::update_store_answer(std::uint64_t generation)
{
    this->store_answered = true;
    this->highest_reported = std::max(this->highest_reported, generation);
    this->update_ready();
}

void config_tracker::update_known_peers(std::size_t count)
{
    this->known_peers = count;
    this->update_ready();
}

void config_tracker::update_ready()
{
    const bool enough_peers =
        this->known_peers > 0 &&
        this->answered_peers.size() >= std::min(peers_needed_without_store, this->known_peers);
    if ((this->store_answered || enough_peers) && this->in_force > 0 &&
        this->in_force == this->highest_reported) {
        this->started = true;
    }
}

} // namespace rml
