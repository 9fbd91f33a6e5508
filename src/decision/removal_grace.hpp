/// Decides whether the removal of a registry entry takes effect at once. Entries of live targets expire
/// during an outage of the store, and the targets register again when it has recovered; until then removed
/// entries are kept. After an interruption that is too short for entries to expire, removals take effect at
/// once: keeping an entry then would only send requests to a target that has left.
///
/// After a return of the store from an older copy, live targets and operators write again what they had
/// written. Until then the copy proves nothing: what is missing in it is kept, what it shows of known entries
/// waits, and an entry of which only the copy knows is that of a target that has left since.
#pragma once

#include "base/time.hpp"

#include <optional>

namespace rml {

class removal_grace
{
public:
    /// `heartbeat`: interval at which targets renew their entries.
    explicit removal_grace(milliseconds heartbeat);

    /// The store answered, for the first time after `silent`.
    void on_answer(duration silent, time_point now);
    /// The store returned from an older copy and was read for the first time since.
    void on_older_copy(time_point now);
    /// Time until which an entry waits that the copy contains but that was not known before. If its target
    /// has left, it has lapsed by then. Nothing when the entry takes effect at once.
    std::optional<time_point> hold_until(time_point now) const;
    /// End of the grace period of an entry that is removed now; nothing when the removal takes effect at
    /// once.
    std::optional<time_point> keep_until(time_point now) const;

private:
    milliseconds shortest_outage;
    milliseconds lapse_time; ///< within which the registry drops an entry that is not renewed
    time_point grace_until{};
    time_point held_until{};
};

} // namespace rml
