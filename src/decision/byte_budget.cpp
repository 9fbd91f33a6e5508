#include "decision/byte_budget.hpp"

#include <algorithm>
#include <utility>

namespace rml {

byte_budget::share::share(byte_budget& all, std::function<void()> revoke)
    : owner(all), on_revoke(std::move(revoke))
{
    this->owner.shares.insert(this);
}

byte_budget::share::~share()
{
    this->release();
    this->owner.shares.erase(this);
}

void byte_budget::share::release()
{
    this->owner.sum -= std::exchange(this->size, 0);
}

bool byte_budget::share::grow(std::size_t bytes)
{
    if (this->given_up) {
        return false;
    }
    this->size += bytes;
    this->owner.sum += bytes;
    while (this->owner.sum > this->owner.limit) {
        auto* found = this->owner.largest();
        found->release();
        found->given_up = true;
        if (found == this) {
            return false;
        }
        found->on_revoke();
    }
    return true;
}

byte_budget::share* byte_budget::largest() const
{
    const auto size_of = [](const share* body) { return body->settled ? 0 : body->size + 1; };
    return *std::max_element(this->shares.begin(), this->shares.end(),
                             [&](const share* a, const share* b) { return size_of(a) < size_of(b); });
}

} // namespace rml
