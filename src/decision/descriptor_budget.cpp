#include "decision/descriptor_budget.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Parts of all descriptors, as divisors.
constexpr std::uint64_t reserved_divisor = 8;
constexpr std::uint64_t idle_divisor = 8;
/// Shares of the descriptors that are not reserved. The distance between them keeps a number of open ones
/// that varies a little from being reported again and again.
constexpr double shortage_share = 0.875;
constexpr double relaxed_share = 0.75;

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

bool descriptor_budget::is_short(std::size_t open) const
{
    return static_cast<double>(open) >= shortage_share * static_cast<double>(this->shared());
}

bool descriptor_budget::is_relaxed(std::size_t open) const
{
    return static_cast<double>(open) < relaxed_share * static_cast<double>(this->shared());
}

} // namespace rml
