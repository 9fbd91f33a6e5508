/// Bounds the bytes that are held of all bodies in progress together. A limit on each body alone lets many
/// bodies exhaust the memory of the process.
#pragma once

#include <cstddef>
#include <functional>
#include <set>

namespace rml {

/// Not thread-safe. Outlives its shares.
class byte_budget
{
public:
    explicit byte_budget(std::size_t total) : limit(total) {}
    byte_budget(const byte_budget&) = delete;
    byte_budget& operator=(const byte_budget&) = delete;

    /// The bytes held of one body; releases them at its end.
    class share
    {
    public:
        /// `on_revoke` is called when the body has to be given up in favour of others; it must end the
        /// reading of the body and must not use the budget.
        share(byte_budget& owner, std::function<void()> on_revoke);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// Adds bytes that were read. If the budget is exceeded then, the largest body is revoked. Returns
        /// false when that is this one, or it was revoked before.
        bool grow(std::size_t bytes);
        bool revoked() const { return this->given_up; }
        /// The body is complete and in use: its bytes count until its end, and it is not revoked any more.
        void settle() { this->settled = true; }

    private:
        friend class byte_budget;
        void release();

        byte_budget& owner;
        std::function<void()> on_revoke;
        std::size_t size{0};
        bool given_up{false};
        bool settled{false};
    };

    std::size_t used() const { return this->sum; }

private:
    /// The largest body that can be revoked. There is one: that which grows.
    share* largest() const;

    std::size_t limit;
    std::size_t sum{0};
    std::set<share*> shares;
};

} // namespace rml
