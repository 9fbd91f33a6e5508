#include "decision/target_ejection.hpp"

namespace rml {

namespace {

/// Time after which the registry shows that an engine is closing.
constexpr milliseconds refused_ejection{400};
/// Three connection timeouts, since a lost packet can delay a connection to a working target.
constexpr milliseconds unreachable_ejection{1000};
/// The registry expires the entry of a failed target after this many heartbeats.
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
