#include "control/claims.hpp"

#include "base/limits.hpp"

#include <algorithm>

namespace rml::control {

namespace {

constexpr std::chrono::hours lease_period{1};

time_point call_deadline(time_point deadline)
{
    return std::min(deadline, steady_clock::now() + limits::store_call_timeout);
}

} // namespace

result<platform::lease_id> store_claims::current_lease(time_point deadline, yield_context yield)
{
    const auto now = steady_clock::now();
    {
        const std::lock_guard guard(this->lease_mutex);
        if (!this->lease.empty() && now - this->lease_start < lease_period) {
            return this->lease;
        }
    }
    auto created =
        this->store.create_lease(limits::claim_lifetime + lease_period, call_deadline(deadline), yield);
    if (succeeded(created)) {
        const std::lock_guard guard(this->lease_mutex);
        this->lease = value(created);
        this->lease_start = now;
    }
    return created;
}

claim_write_reply store_claims::create(const std::string& key, const claim_document& document,
                                       time_point deadline, yield_context yield)
{
    const auto claim_lease = this->current_lease(deadline, yield);
    if (failed(claim_lease)) {
        return error(claim_lease);
    }
    return this->store.create(key, encode_claim(document), value(claim_lease), call_deadline(deadline),
                              yield);
}

claim_read_reply store_claims::read(const std::string& key, time_point deadline, yield_context yield)
{
    const auto found = this->store.get(key, call_deadline(deadline), yield);
    if (failed(found)) {
        return error(found);
    }
    if (!value(found)) {
        return std::optional<stored_claim>{};
    }
    auto document = decode_claim(value(found)->value);
    if (failed(document)) {
        return error(document);
    }
    return std::optional<stored_claim>(stored_claim{value(document), value(found)->revision});
}

claim_write_reply store_claims::update(const std::string& key, const claim_document& document,
                                       std::uint64_t expected_revision, time_point deadline,
                                       yield_context yield)
{
    const auto claim_lease = this->current_lease(deadline, yield);
    if (failed(claim_lease)) {
        return error(claim_lease);
    }
    return this->store.update(key, encode_claim(document), expected_revision, value(claim_lease),
                              call_deadline(deadline), yield);
}

} // namespace rml::control
