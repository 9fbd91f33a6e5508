/// Remembers which requests, or parts of prompts, have recently been answered, in bounded memory.
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
class answered_features
{
public:
    /// Records an answer at `at`, by the fingerprint of the request or part.
    void record(std::uint64_t feature, time_point at);
    /// Time of the latest answer, if it is remembered.
    std::optional<time_point> find(std::uint64_t feature) const;
    std::size_t size() const { return this->newer.size() + this->older.size(); }

private:
    std::unordered_map<std::uint64_t, time_point> newer;
    std::unordered_map<std::uint64_t, time_point> older;
    time_point newer_since{};
};

} // namespace rml
