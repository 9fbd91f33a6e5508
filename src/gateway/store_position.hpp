/// Position in the history of the platform's store: one number with the era in the upper bits, above the
/// revision. A store that returns from an older copy gives out revisions again, in a new era, so only
/// positions of the whole history compare correctly. Only the store client packs and unpacks them; everything
/// else compares positions as numbers.
///
/// Bounds: a revision has 32 bits. An epoch is a position shifted by 16 bits for the counter of its manager,
/// which leaves 15 bits for the era if epochs are to fit into 63 bits, so that signed readers such as logs
/// take them as well. Epochs of eras up to 31 also fit into the 53 bits of a double.
#pragma once

#include "base/failure.hpp"

#include <cstdint>
#include <string>

namespace rml::gateway {

struct store_position
{
    std::uint64_t era{0};
    std::uint64_t revision{0};
};

namespace detail {

constexpr int position_revision_bits = 32;
constexpr std::uint64_t max_position_revision = (std::uint64_t{1} << position_revision_bits) - 1;
constexpr std::uint64_t max_position_era = (std::uint64_t{1} << 15) - 1;

} // namespace detail

/// Fails with `too_large` when the era or the revision is out of bounds.
inline result<std::uint64_t> pack_position(const store_position& position)
{
    if (position.era > detail::max_position_era || position.revision > detail::max_position_revision) {
        return failure{failure_kind::too_large, "store position: era " + std::to_string(position.era) +
                                                    ", revision " + std::to_string(position.revision)};
    }
    return (position.era << detail::position_revision_bits) | position.revision;
}

inline store_position unpack_position(std::uint64_t packed)
{
    return {packed >> detail::position_revision_bits, packed & detail::max_position_revision};
}

/// Position at which the era of a position began; equal for all positions of one era.
inline std::uint64_t era_start(std::uint64_t packed)
{
    return packed & ~detail::max_position_revision;
}

/// Number of the era of a position, for logs and metrics.
inline std::int64_t era_number(std::uint64_t packed)
{
    return static_cast<std::int64_t>(unpack_position(packed).era);
}

} // namespace rml::gateway
