#include "caller/request_id.hpp"

#include <array>
#include <cstdint>
#include <cstdio>
#include <random>

namespace rml::caller {

std::string create_random_id()
{
    // One generator per thread, seeded by the operating system: daemons and threads don't share a sequence.
    thread_local std::mt19937_64 generator = [] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device(), device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(generator()),
                  static_cast<unsigned long long>(generator()));
    return std::string(text.data(), text.size() - 1);
}

} // namespace rml::caller
