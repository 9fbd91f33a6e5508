/// 64-bit hashes over xxHash, stable across processes and releases.
#pragma once

#include <cstdint>
#include <string_view>

namespace rml {

/// XXH3 64-bit hash of the bytes.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Rendezvous weight of `candidate` for `key`: the highest weight wins.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

} // namespace rml
