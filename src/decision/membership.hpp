/// Member list of daemons, derived from replicated member items, stalled links and the suspicions of
/// neighbours. Heartbeats are not broadcast: only changes are replicated, and the neighbours of a daemon
/// detect its failure.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "decision/replication.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rml {

/// Ordered: within one incarnation the higher state overrides the lower.
enum class member_state
{
    alive = 0,
    leaving = 1, ///< finishes its current requests; no longer listed to callers
    dead = 2,
};

struct member_record
{
    daemon_id id;
    std::uint64_t incarnation{0}; ///< raised by the daemon itself, on start and to refute a false `dead`
    member_state state{member_state::alive};
    region_id region;
    failure_domain_id failure_domain;
    endpoint peer_address;
    endpoint caller_address;
};

/// Encodes a record as the item "member/<daemon>" with version (incarnation, state).
item encode_member(const member_record& record);
/// Fails with `malformed`.
result<member_record> decode_member(const item& entry);

struct membership_stats
{
    std::size_t alive{0};
    std::size_t leaving{0};
    std::size_t dead{0};
    std::uint64_t refutations{0};
    std::uint64_t suspicions{0};
};

/// Member list of one daemon. The caller must pass returned items to replication::update().
class membership
{
public:
    explicit membership(member_record self);

    const member_record& self() const { return this->own; }
    /// All members that are not dead, including the daemon itself, sorted by id.
    std::vector<member_record> live() const;
    /// Daemons that are listed to callers: alive and not leaving.
    std::vector<member_record> entries() const;
    const member_record* find(const daemon_id& id) const;

    /// Item of this daemon, published at start.
    item announce() const;
    /// Sets the state of this daemon to leaving and returns its item.
    item leave();

    /// Applies an accepted item "member/..." or "suspicion/...". Returns items to publish, for example a
    /// refutation.
    std::vector<item> receive(const item& accepted, time_point now);

    /// Suspects a daemon whose link delivered nothing for peer_link_timeout or could not be opened. Returns
    /// items to publish.
    std::vector<item> raise_suspicion(const daemon_id& id, time_point now);

    /// Removes expired dead members and suspicions and returns the keys of their items.
    std::vector<std::string> expire(time_point now);

    /// Daemons that this one opens links to: its successors on the hash ring of its region and on the ring of
    /// all daemons. As others open links to this daemon too, it has about limits::peer_links links.
    std::vector<member_record> links_to_open() const;
    /// One dead member to reconnect to, selected by `random`, or null if there is none. Needed because a
    /// partition makes whole regions look dead.
    const member_record* retry_candidate(std::uint64_t random) const;

    membership_stats stats() const;

private:
    struct suspicion
    {
        std::uint64_t incarnation{0};
        std::map<daemon_id, time_point> reporters;
    };

    std::vector<item> apply_member(const item& accepted, time_point now);
    std::vector<item> record_suspicion(const daemon_id& about, const daemon_id& by, std::uint64_t incarnation,
                                       time_point now);
    std::size_t suspicions_needed() const;

    member_record own;
    std::map<daemon_id, member_record> members;
    std::map<daemon_id, suspicion> suspicions;
    std::map<daemon_id, time_point> dead_since;
    membership_stats counters;
};

/// Detects that this daemon is isolated: for isolation_limit the store has not answered and fewer than half
/// of its links were live. A daemon without other members is never isolated.
class isolation_detector
{
public:
    void update_store_answer(time_point now) { this->last_contact = now; }
    /// `expected`: number of links opened or accepted. `live`: how many of them delivered a message within
    /// peer_link_timeout.
    void update_links(std::size_t expected, std::size_t live, time_point now);
    bool isolated(time_point now) const;

private:
    time_point last_contact{};
    bool started{false};
};

} // namespace rml
