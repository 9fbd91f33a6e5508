/// Remembers which parts of prompts have recently been answered, in bounded memory.
#pragma once

#include "base/limits.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace rml {

/// Keeps two generations: the older one is discarded when the newer one is full or has reached half of the
/// lifetime. An entry is therefore kept for at least half of the lifetime unless too many others are
/// recorded.
class acquitted_parts
{
public:
    /// Records an acquittal at `at`, by the fingerprint of the part.
    void record(std::uint64_t part, time_point at);
    /// Time of the latest acquittal, if it is remembered.
    std::optional<time_point> find(std::uint64_t part) const;
    std::size_t size() const { return this->newer.size() + this->older.size(); }

private:
    std::unordered_map<std::uint64_t, time_point> newer;
    std::unordered_map<std::uint64_t, time_point> older;
    time_point newer_since{};
};

} // namespace rml
