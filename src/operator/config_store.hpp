/// Key-value store interface for publishing configurations.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rml {

/// A value with the revision that wrote it.
struct stored_value
{
    std::string bytes;
    std::uint64_t revision{0};
};

/// Compare-and-swap store. Writes fail with `conflict` when another write came first and they
/// certainly had no effect, and with `connection_refused` when nothing was sent. After any other failure the
/// write may or may not take effect, possibly later.
class config_store
{
public:
    config_store() = default;
    config_store(const config_store&) = delete;
    config_store& operator=(const config_store&) = delete;
    virtual ~config_store() = default;

    /// Value of a key, or nothing when the key does not exist.
    virtual result<std::optional<stored_value>> get(std::string_view key) = 0;
    /// Writes a key that does not exist. Returns the new revision.
    virtual result<std::uint64_t> create(std::string_view key, std::string_view bytes) = 0;
    /// Replaces the value whose revision is `expected`. Returns the new revision.
    virtual result<std::uint64_t> update(std::string_view key, std::string_view bytes,
                                         std::uint64_t expected) = 0;
    /// Removes the value whose revision is `expected`.
    virtual status destroy(std::string_view key, std::uint64_t expected) = 0;
};

/// Store over HTTP (docs/protocols.md), one connection per call. Blocks the calling thread; for tools.
std::unique_ptr<config_store> create_http_config_store(const endpoint& address, milliseconds call_timeout);

} // namespace rml
