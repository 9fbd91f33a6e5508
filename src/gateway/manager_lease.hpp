/// The right to give orders to engines, which one daemon holds at a time.
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

    /// True while this daemon may give orders. Checked against the monotonic clock directly before each
    /// order.
    virtual bool manages(time_point now) const = 0;
    /// Revision of the store at which this daemon took over; larger for each later holder.
    virtual std::uint64_t manager_revision() const = 0;
};

} // namespace rml::gateway
