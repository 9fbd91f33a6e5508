#include "decision/plan_epochs.hpp"

namespace rml {

epoch_outcome record_incarnations(std::vector<group_record> groups, const observation_table& observations,
                                  std::uint64_t next_epoch, time_point now)
{
    epoch_outcome outcome;
    for (auto& group : groups) {
        bool differs = group.incarnations.size() != group.members.size();
        std::vector<std::uint64_t> seen = group.incarnations;
        seen.resize(group.members.size(), 0);
        for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
            // A member without a fresh observation keeps its entry, since it cannot serve unobserved.
            if (const auto* fresh = observations.fresh(group.members[rank], now)) {
                differs = differs || seen[rank] != fresh->report.incarnation;
                seen[rank] = fresh->report.incarnation;
            }
        }
        if (differs) {
            group.incarnations = std::move(seen);
            group.epoch = next_epoch;
            outcome.changed = true;
        }
    }
    outcome.groups = std::move(groups);
    return outcome;
}

} // namespace rml
