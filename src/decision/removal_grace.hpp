/// Decides whether the removal of a registry entry takes effect at once. Entries of live targets expire
/// during an outage of the store, and the targets register again when it has recovered; until then removed
/// entries are kept. After an interruption that is too short for entries to expire, removals take effect at
/// once: keeping an entry then would only send requests to a target that has left.
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
    /// End of the grace period of an entry that is removed now; nothing when the removal takes effect at
    /// once.
    std::optional<time_point> keep_until(time_point now) const;

private:
    milliseconds shortest_outage;
    time_point grace_until{};
};

} // namespace rml
