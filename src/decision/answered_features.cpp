#include "decision/answered_features.hpp"

#include <algorithm>
#include <utility>

namespace rml {

void answered_features::record(std::uint64_t feature, time_point at)
{
    if (this->newer.size() >= limits::crash_acquitted_parts / 2 ||
        at >= this->newer_since + limits::crash_acquittal_lifetime / 2) {
        this->older = std::exchange(this->newer, {});
        this->newer_since = at;
    }
    auto& latest = this->newer[feature];
    latest = std::max(latest, at);
}

std::optional<time_point> answered_features::find(std::uint64_t feature) const
{
    std::optional<time_point> latest;
    for (const auto* generation : {&this->newer, &this->older}) {
        if (const auto found = generation->find(feature); found != generation->end()) {
            latest = std::max(latest, std::optional(found->second));
        }
    }
    return latest;
}

} // namespace rml
