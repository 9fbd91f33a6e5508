#include "base/hash.hpp"

#include <xxhash.h>

namespace rml {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate)
{
    return hash64(candidate, hash64(key));
}

} // namespace rml
