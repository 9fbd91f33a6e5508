#include "decision/descriptor_budget.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Parts of all descriptors, as divisors.
constexpr std::uint64_t reserved_divisor = 8;
constexpr std::uint64_t idle_divisor = 8;

} // namespace

std::size_t descriptor_budget::shared() const
{
    return this->all - this->all / reserved_divisor;
}

std::size_t descriptor_budget::idle_connections() const
{
    return this->all / idle_divisor;
}

std::size_t descriptor_budget::target_connections(std::size_t clients) const
{
    return this->shared() - std::min(this->shared(), clients);
}

bool descriptor_budget::nearly_used(std::size_t open) const
{
    return open >= this->shared() / 8 * 7;
}

bool descriptor_budget::relaxed(std::size_t open) const
{
    return open < this->shared() / 4 * 3;
}

} // namespace rml
