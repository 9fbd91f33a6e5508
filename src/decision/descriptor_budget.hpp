/// Divides the descriptors of a machine between the clients of a daemon, its connections to targets, and the
/// rest: the store, other daemons and files.
#pragma once

#include <cstddef>
#include <cstdint>

namespace rml {

class descriptor_budget
{
public:
    /// `descriptors`: that the process may have open.
    explicit descriptor_budget(std::uint64_t descriptors) : all(descriptors) {}

    /// Idle connections to targets, all together. They fit beside as many clients as `bounds_for` allows.
    std::size_t idle_connections() const;
    /// Connections to targets, idle or not, beside that many connections of clients. A request uses one of
    /// each, so what clients leave free is for targets.
    std::size_t target_connections(std::size_t clients) const;
    /// Whether clients and targets together use nearly all descriptors that are not reserved.
    bool is_short(std::size_t open) const;
    /// Whether they use so few again that the next shortage is another one.
    bool is_relaxed(std::size_t open) const;

private:
    std::size_t shared() const;

    std::uint64_t all;
};

} // namespace rml
