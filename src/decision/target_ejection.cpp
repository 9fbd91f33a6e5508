#include "decision/target_ejection.hpp"

namespace rml {

namespace {

/// For about this long the registry may not show yet that an engine closes.
constexpr milliseconds refused_ejection{400};
/// Three of the limits for a connection, since the network may have lost a packet of it.
constexpr milliseconds unreachable_ejection{1000};
/// The registry drops the entry of a target that is gone after this many heartbeats.
constexpr int heartbeats_until_expiry = 3;

} // namespace

target_ejection ejection_after(target_fault fault, milliseconds heartbeat)
{
    switch (fault) {
    case target_fault::unreachable:
        return {unreachable_ejection, true};
    case target_fault::replaced:
        return {heartbeat * heartbeats_until_expiry, true};
    case target_fault::refused:
        break;
    }
    return {refused_ejection, false};
}

} // namespace rml
