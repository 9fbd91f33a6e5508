/// Decides whether this daemon may send a new request to a target. It joins what the registry, the operators,
/// other daemons and the target's own answers say. Ask it when a target is chosen and again directly before a
/// request is written, because connecting takes time.
#pragma once

#include "base/time.hpp"

namespace rml {

enum class send_right
{
    allowed,
    last_resort, ///< presumed failed: only when no other target is left
    paused,      ///< the target asked for a pause that has not ended
    withdrawn,   ///< leaving, or its failure domain is drained
};

/// What is known of a target.
struct target_standing
{
    bool leaving{false};        ///< by its registry entry, its own answers, or the report of another daemon
    bool domain_drained{false}; ///< operators have taken its failure domain out of service
    time_point paused_until{};
    time_point ejected_until{}; ///< presumed failed until then
};

send_right send_right_of(const target_standing& target, time_point now);

/// Whether a request may be written to the target now.
constexpr bool may_send(send_right right)
{
    return right == send_right::allowed || right == send_right::last_resort;
}

} // namespace rml
