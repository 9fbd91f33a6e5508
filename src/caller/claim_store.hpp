/// Access to claim documents in the key-value store.
#pragma once

#include "decision/claim.hpp"

#include <boost/asio/spawn.hpp>
#include <string>

namespace rml::caller {

using yield_context = boost::asio::yield_context;

/// Implemented by the store client. Each function makes one store call, bounded by limits::store_call_timeout
/// and `deadline`. A document expires limits::claim_lifetime after its creation.
class claim_store
{
public:
    claim_store() = default;
    claim_store(const claim_store&) = delete;
    claim_store& operator=(const claim_store&) = delete;
    virtual ~claim_store() = default;

    /// Creates the key. Fails with `conflict` when the key exists; after any other failure the write may have
    /// taken effect, or may take effect later.
    virtual claim_write_reply create(const std::string& key, const claim_document& document,
                                     time_point deadline, yield_context yield) = 0;
    virtual claim_read_reply read(const std::string& key, time_point deadline, yield_context yield) = 0;
    /// Compare-and-swap on the revision `expect`. Fails with `conflict` when the revision differs; other
    /// failures are as ambiguous as those of create().
    virtual claim_write_reply update(const std::string& key, const claim_document& document,
                                     std::uint64_t expect, time_point deadline, yield_context yield) = 0;
};

} // namespace rml::caller
