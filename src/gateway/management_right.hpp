/// The right to give orders to engines, which one daemon holds at a time.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace rml::gateway {

class management_right
{
public:
    management_right() = default;
    management_right(const management_right&) = delete;
    management_right& operator=(const management_right&) = delete;
    virtual ~management_right() = default;

    /// True while this daemon may give orders. Checked against the monotonic clock directly before each
    /// order.
    virtual bool manages(time_point now) const = 0;
    /// Revision of the store at which this daemon took over; larger for each later holder.
    virtual std::uint64_t management_revision() const = 0;
};

} // namespace rml::gateway
