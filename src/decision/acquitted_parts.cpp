#include "decision/acquitted_parts.hpp"

#include <algorithm>
#include <utility>

namespace rml {

void acquitted_parts::record(std::uint64_t part, time_point at)
{
    if (this->newer.size() >= limits::crash_acquitted_parts / 2 ||
        at >= this->newer_since + limits::crash_acquittal_lifetime / 2) {
        this->older = std::exchange(this->newer, {});
        this->newer_since = at;
    }
    auto& latest = this->newer[part];
    latest = std::max(latest, at);
}

std::optional<time_point> acquitted_parts::find(std::uint64_t part) const
{
    std::optional<time_point> latest;
    for (const auto* generation : {&this->newer, &this->older}) {
        if (const auto found = generation->find(part); found != generation->end()) {
            latest = std::max(latest, std::optional(found->second));
        }
    }
    return latest;
}

} // namespace rml
