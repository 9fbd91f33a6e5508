/// The lease that permits its holder, at most one daemon at a time, to send orders to engines.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace rml::gateway {

class manager_lease
{
public:
    manager_lease() = default;
    manager_lease(const manager_lease&) = delete;
    manager_lease& operator=(const manager_lease&) = delete;
    virtual ~manager_lease() = default;

    /// True while this daemon may send orders. Callers check it against the monotonic clock directly before
    /// each order.
    virtual bool manages(time_point now) const = 0;
    /// Store revision at which this daemon acquired the lease; larger for each later manager.
    virtual std::uint64_t manager_revision() const = 0;
    /// Store revision up to which this daemon knows all changes.
    virtual std::uint64_t mirrored_revision() const = 0;
};

} // namespace rml::gateway
