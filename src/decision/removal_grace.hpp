/// Decides whether the removal of a registry entry is believed. Entries also lapse while the store is away,
/// and targets that live write them again after its return. An interruption that is too short for entries to
/// lapse says nothing about removals: believing them late sends requests to targets that have left.
#pragma once

#include "base/time.hpp"

#include <optional>

namespace rml {

class removal_grace
{
public:
    /// `heartbeat`: interval in which targets renew their entries.
    explicit removal_grace(milliseconds heartbeat);

    /// The store answers after `silent` without an answer.
    void on_answer(duration silent, time_point now);
    /// Time until which an entry that vanishes now is kept; nothing when its removal holds at once.
    std::optional<time_point> keep_until(time_point now) const;

private:
    milliseconds shortest_outage;
    time_point grace_until{};
};

} // namespace rml
