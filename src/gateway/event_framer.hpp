/// Cuts a stream of server-sent events at event boundaries and checks their ids, so that a stream that breaks
/// in the middle of an event can go on at another target without a gap or a repeat.
#pragma once

#include "base/failure.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rml::gateway {

class event_framer
{
public:
    /// `last_id` is the last event that the receiver has; empty: none.
    explicit event_framer(std::optional<std::uint64_t> last_id = std::nullopt) : last(last_id) {}

    /// Starts reading another answer that goes on after the last event.
    void restart() { this->pending.clear(); }

    /// Adds received bytes and returns the bytes of all events that are complete now, unchanged. Fails with
    /// `malformed` when an event's id does not follow the one before, and with `too_large` for an event above
    /// limits::event_bytes.
    result<std::string> append(std::string_view bytes);

    /// True when bytes of an unfinished event remain.
    bool partial() const { return !this->pending.empty(); }
    const std::optional<std::uint64_t>& last_id() const { return this->last; }

private:
    std::string pending;
    std::optional<std::uint64_t> last;
};

} // namespace rml::gateway
