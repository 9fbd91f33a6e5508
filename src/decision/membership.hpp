/// Which daemons exist, from replicated member items, link silence and the suspicions of neighbours.
/// No heartbeat is flooded: only changes travel, and liveness is observed by the neighbours of a daemon.
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

/// Ordered: within one incarnation a later state wins.
enum class member_state
{
    alive = 0,
    leaving = 1, ///< serves what it has; is no longer listed to callers
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

/// Item "member/<daemon>" of a record, with version (incarnation, state).
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

/// Member list of one daemon. Returned items are to be handed to replication::update().
class membership
{
public:
    explicit membership(member_record self);

    const member_record& self() const { return this->own; }
    /// All members that are not dead, the daemon itself included, by id.
    std::vector<member_record> live() const;
    /// Daemons to list to callers: alive, not leaving.
    std::vector<member_record> entries() const;
    const member_record* find(const daemon_id& id) const;

    /// The own item, to be published at start.
    item announce() const;
    /// Changes the own state to leaving.
    item leave();

    /// Applies an accepted item "member/..." or "suspicion/...". Returns items to publish, such as a
    /// refutation.
    std::vector<item> receive(const item& accepted, time_point now);

    /// A link to the daemon was silent for link_silence_limit, or could not be opened.
    std::vector<item> raise_suspicion(const daemon_id& id, time_point now);

    /// Keys of dead members and old suspicions that may be dropped.
    std::vector<std::string> expire(time_point now);

    /// Daemons that this one opens links to: the successor on the ring of its region and the successor on the
    /// ring of all daemons. Since others do the same, a daemon has about limits::peer_links links.
    std::vector<member_record> links_to_open() const;
    /// One dead member to try again, picked by `random`: a partition makes whole regions look dead. Null when
    /// none.
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

/// Whether this daemon is cut off: no store answer and fewer than half of its links alive for
/// isolation_limit. A daemon that knows no other member is never isolated.
class isolation_detector
{
public:
    void update_store_answer(time_point now) { this->last_contact = now; }
    /// Called with the number of links opened or accepted and how many delivered a message within
    /// link_silence_limit.
    void update_links(std::size_t expected, std::size_t live, time_point now);
    bool isolated(time_point now) const;

private:
    time_point last_contact{};
    bool started{false};
};

} // namespace rml
