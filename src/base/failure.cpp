#include "base/failure.hpp"

namespace rml {

std::string_view to_string(failure_kind kind)
{
    switch (kind) {
    case failure_kind::timeout:
        return "timeout";
    case failure_kind::connection_refused:
        return "connection_refused";
    case failure_kind::connection_broken:
        return "connection_broken";
    case failure_kind::malformed:
        return "malformed";
    case failure_kind::too_large:
        return "too_large";
    case failure_kind::unauthorized:
        return "unauthorized";
    case failure_kind::not_found:
        return "not_found";
    case failure_kind::conflict:
        return "conflict";
    case failure_kind::unavailable:
        return "unavailable";
    case failure_kind::refused:
        return "refused";
    case failure_kind::stale:
        return "stale";
    case failure_kind::lapsed:
        return "lapsed";
    case failure_kind::rate_limited:
        return "rate_limited";
    case failure_kind::invalid_settings:
        return "invalid_settings";
    case failure_kind::outcome_unknown:
        return "outcome_unknown";
    }
    return "unknown";
}

} // namespace rml
