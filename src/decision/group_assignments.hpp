/// Groups that engines may belong to, from the orders sent to them and from their own reports. The registry
/// entry of an engine that is cut off from the store is old until it expires, so an entry without a group
/// does not prove that its engine is in none.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rml {

using group_key = std::pair<group_id, std::uint64_t>; ///< group and epoch

/// Why the head of a group no longer serves, so that its members may join other groups.
enum class release_evidence
{
    never_opened,  ///< no order to open the group was sent
    head_left,     ///< the head has accepted the order to leave
    head_moved_on, ///< the head has seen a newer epoch, or another instance answers at its address
    head_fenced,   ///< the head has left and refuses late orders by a newer epoch
    head_stalled,  ///< the head does not answer; a member left, and the stall time has passed since
    head_unknown,  ///< the same, but no address of the head is known
};

std::string_view to_string(release_evidence evidence);

/// Whether the head itself gave no answer. It may be idle, serve again, and count as open, so that each
/// member has to leave the group before it joins another one.
inline bool is_without_answer(release_evidence evidence)
{
    return evidence == release_evidence::head_stalled || evidence == release_evidence::head_unknown;
}

/// Identifies one life of an engine.
struct engine_life
{
    instance_id instance;
    std::int64_t started_ms{0};
};

/// Epoch of the fence of an ended group: newer than the group and older than every later group.
inline std::uint64_t fence_epoch(const group_key& ended)
{
    return ended.second + 1;
}

/// The fence group with that epoch: a group of one engine that is never opened. An engine joins one to see a
/// newer epoch than that of an ended group, or to load a model.
group_key fence_group(std::uint64_t epoch);
/// Whether the group is a fence group by its name, and therefore never serves.
bool is_fence_group(const group_id& group);

/// Right to order one engine to join one group. Only `group_assignments` grants it: on evidence that the
/// engine is in no other group that may serve, or for the fence of an ended group.
class join_permit
{
public:
    const engine_life& engine() const { return this->holder; }
    const group_key& group() const { return this->target; }
    /// Orders that the engine had accepted when it reported the evidence. It refuses the order to join if it
    /// has accepted another one since, also if it carries out the order late. Nothing: not known.
    const std::optional<std::uint64_t>& accepted_orders() const { return this->as_of; }

private:
    friend class group_assignments;
    join_permit(engine_life engine, group_key group, bool fence, std::optional<std::uint64_t> accepted_orders)
        : holder(std::move(engine)), target(std::move(group)), is_fence(fence), as_of(accepted_orders)
    {
    }

    engine_life holder;
    group_key target;
    bool is_fence;
    std::optional<std::uint64_t> as_of;
};

class group_assignments
{
public:
    struct membership
    {
        group_key group;
        std::uint32_t rank{0}; ///< 0 is the head
        /// False while the engine has not accepted the order to join a fence group.
        bool confirmed{true};
    };

    /// Records that the engine is in the group or has been ordered to join it. Does nothing if the same life
    /// of the engine is known in a group with a newer epoch.
    void assign(const engine_life& engine, const membership& in);
    /// Assigns the engine to the group and permits the order to join it. Returns none if it is unknown
    /// whether this life of the engine is in a group, if it may be in another group that serves, or if it is
    /// assigned to a newer one.
    std::optional<join_permit> permit_join(const engine_life& engine, const membership& in);
    /// Permits the fence of an ended group at its head, which has reported to be in no group when it had
    /// accepted that many orders (nothing: it does not state the number). Needs no record of the engine: the
    /// epoch of the fence follows that of the group, so an engine in any later group refuses it.
    static join_permit permit_fence(const engine_life& head, const group_key& ended,
                                    std::optional<std::uint64_t> accepted_orders);
    /// Whether the engine is still assigned to the group of the permit. Check it before each order.
    bool in_force(const join_permit& permit) const;
    /// Records that the engine has accepted the order of the permit, if that is still in force.
    void confirm(const join_permit& permit);
    /// Number of changes to what is known of the engine. An answer that the engine was asked for before the
    /// latest change may be older than it.
    std::uint64_t changes_of(const instance_id& engine) const;
    /// Forgets what is known of the engine, so that it is asked before it joins a group again.
    void forget(const instance_id& engine);
    /// Records that the engine has reported to be in no group that may serve, when it had accepted that many
    /// orders; nothing if it may have accepted another one since.
    void record_free(const engine_life& engine, std::optional<std::uint64_t> accepted_orders);
    /// The permit with the evidence of a later report, for an engine that has refused the order because it
    /// had accepted another one since the first report, and that is still in no group that may serve.
    static join_permit renew(const join_permit& permit, std::optional<std::uint64_t> accepted_orders);
    /// Records that the group no longer serves and cannot serve again under that life of its head. Its
    /// members are vacant; without an answer of the head they are unknown, because a late order may take them
    /// back.
    void release(const group_key& group, release_evidence evidence, std::int64_t head_started_ms,
                 time_point now);

    /// Group that this life of the engine may belong to, or null if none is known.
    const membership* find(const engine_life& engine) const;
    /// Whether this life of the engine is known to be in no group that may serve. An order that it has not
    /// accepted is no evidence of that.
    bool vacant(const engine_life& engine) const;
    /// Whether anything is known about this life of the engine.
    bool knows(const engine_life& engine) const;
    /// The engine's last group with the evidence of its release, for logs.
    std::string describe(const engine_life& engine) const;
    /// Evidence that the group does not serve; none if it may serve or its release was forgotten.
    std::optional<release_evidence> released(const group_key& group) const;
    /// Start of the life of the head that the release is about; 0: not released, or no head was known.
    std::int64_t released_life(const group_key& group) const;
    /// Engines that may belong to the group, by rank.
    std::vector<instance_id> members_of(const group_key& group) const;

    /// Forgets engines whose entry was removed. Their next entry is newer than what is known here, and
    /// without a record they count as unknown.
    void forget_if(const std::function<bool(const instance_id&)>& removed);
    /// Forgets groups that were released at `time` or earlier.
    void forget_released_before(time_point time);
    void clear();

private:
    struct record
    {
        std::int64_t started_ms{0};
        std::optional<membership> current;
        std::optional<std::pair<group_id, release_evidence>> previous;
        std::optional<std::uint64_t> accepted_orders; ///< as reported by an engine without a group
    };
    struct release_record
    {
        release_evidence evidence{release_evidence::head_left};
        std::int64_t head_started_ms{0};
        time_point at{};
    };

    record& update(const engine_life& engine);

    std::map<instance_id, record> records;
    std::map<instance_id, std::uint64_t> changes;
    std::map<group_key, release_record> releases;
};

} // namespace rml
