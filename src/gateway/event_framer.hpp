/// Splits a stream of server-sent events at event boundaries and checks the ids, so that a stream that breaks
/// within an event can continue at another target without a gap or a repeated event.
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
    /// `last_id` is the last event that the receiver has, if any.
    explicit event_framer(std::optional<std::uint64_t> last_id = std::nullopt) : last(last_id) {}

    /// Discards a partial event and starts reading another answer, which continues after the last event.
    void restart()
    {
        this->pending.clear();
        this->expects_next_id = this->last.has_value();
    }

    /// Appends received bytes and returns the bytes of all events that are now complete, unchanged. Fails
    /// with `malformed` when an event id is not the successor of the previous one, when the first event after
    /// restart() has no id, or when the head of another answer is in place of an event, and with `too_large`
    /// for an event above limits::event_bytes.
    result<std::string> append(std::string_view bytes);

    /// True when bytes of an incomplete event are buffered.
    bool partial() const { return !this->pending.empty(); }
    /// False when an event without an id was returned after `last_id`, so that no other answer can continue
    /// after exactly the returned events.
    bool resumable() const { return this->ends_with_id; }
    /// True after restart() until an event that continues the stream has been returned.
    bool expects_next() const { return this->expects_next_id; }
    const std::optional<std::uint64_t>& last_id() const { return this->last; }

private:
    std::string pending;
    std::optional<std::uint64_t> last;
    bool ends_with_id{true};
    bool expects_next_id{false}; ///< the answer has to begin with the successor of `last`
};

} // namespace rml::gateway
