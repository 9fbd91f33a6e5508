#include "decision/target_doubt.hpp"

namespace rml {

namespace {

/// For about this long the registry may not show yet that an engine closes.
constexpr milliseconds refusal_doubt{400};
/// Three of the limits for a connection, since the network may have lost a packet of it.
constexpr milliseconds unreachable_doubt{1000};
/// The registry drops the entry of a target that is gone after this many heartbeats.
constexpr int heartbeats_to_lapse = 3;

} // namespace

target_doubt doubt_after(target_fault fault, milliseconds heartbeat)
{
    switch (fault) {
    case target_fault::unreachable:
        return {unreachable_doubt, true};
    case target_fault::replaced:
        return {heartbeat * heartbeats_to_lapse, true};
    case target_fault::refused:
        break;
    }
    return {refusal_doubt, false};
}

} // namespace rml
