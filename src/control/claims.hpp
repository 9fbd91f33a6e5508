/// Claim documents in the platform's key-value store.
#pragma once

#include "caller/claim_store.hpp"
#include "platform/platform.hpp"

#include <mutex>

namespace rml::control {

using yield_context = boost::asio::yield_context;

/// Claims expire with a store lease. All claims of one lease period share a lease, so that a claim costs one
/// write instead of two. A claim lives at least limits::claim_lifetime and at most one lease period longer.
class store_claims final : public caller::claim_store
{
public:
    explicit store_claims(platform::key_value_store& store) : store(store) {}

    claim_write_reply create(const std::string& key, const claim_document& document, time_point deadline,
                             yield_context yield) override;
    claim_read_reply read(const std::string& key, time_point deadline, yield_context yield) override;
    claim_write_reply update(const std::string& key, const claim_document& document,
                             std::uint64_t expected_revision, time_point deadline,
                             yield_context yield) override;

private:
    result<platform::lease_id> current_lease(time_point deadline, yield_context yield);

    platform::key_value_store& store;
    std::mutex lease_mutex;
    platform::lease_id lease;
    time_point lease_start{};
};

} // namespace rml::control
