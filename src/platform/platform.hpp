/// Clients of the platform: key-value store, instance list, weight limit. Each is an abstract interface with
/// an HTTP backend (docs/protocols.md). Calls run in a coroutine and take an absolute deadline.
///
/// Failures of reads: `timeout`, `connection_broken`, `malformed`, `unavailable`, `connection_refused`.
/// Failures of writes: `conflict` (compare-and-swap lost), `unavailable` and `connection_refused` (nothing
/// was written), `outcome_unknown` (the write may have taken effect, at once or later).
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rml::platform {

using yield_context = boost::asio::yield_context;

using lease_id = string_id<struct lease_tag>; ///< a lease of the key-value store

/// A value with the revision of its last change.
struct kv_record
{
    std::string value;
    std::uint64_t revision{0};
};

/// A key without its value.
struct kv_key
{
    std::string key;
    std::uint64_t revision{0};
};

/// Result of a watch.
struct watch_result
{
    bool changed{false};             ///< false: the wait ended without a change
    std::optional<kv_record> record; ///< empty after a deletion
    std::uint64_t revision{0};       ///< pass this as `after` to the next watch; 0 when nothing changed
};

/// Calls since the start, whether successful or not. A retry counts as another call.
struct store_stats
{
    std::uint64_t reads{0};
    std::uint64_t writes{0}; ///< keys and leases
    std::uint64_t watches{0};
    std::uint64_t conflicts{0};
    std::uint64_t unavailable{0}; ///< refused connections and 503
    std::uint64_t unknown{0};     ///< writes with unknown outcome
    std::uint64_t malformed{0};
    std::uint64_t connections{0}; ///< connections opened
};

/// The key-value store. Keys consist of letters, digits and "._-/".
class key_value_store
{
public:
    key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;
    virtual ~key_value_store() = default;

    /// The record, or nothing when the key does not exist.
    virtual result<std::optional<kv_record>> get(const std::string& key, time_point deadline,
                                                 yield_context yield) = 0;
    /// Keys that begin with `prefix`.
    virtual result<std::vector<kv_key>> list(const std::string& prefix, time_point deadline,
                                             yield_context yield) = 0;
    /// Creates the key when it does not exist. Returns the new revision. The store deletes a key
    /// with a lease when the lease lapses.
    virtual result<std::uint64_t> create(const std::string& key, const std::string& value,
                                         const lease_id& lease, time_point deadline, yield_context yield) = 0;
    /// Replaces the value when the key's revision is `expected`. Returns the new revision.
    virtual result<std::uint64_t> update(const std::string& key, const std::string& value,
                                         std::uint64_t expected, const lease_id& lease, time_point deadline,
                                         yield_context yield) = 0;
    /// Deletes the key when its revision is `expected`.
    virtual status destroy(const std::string& key, std::uint64_t expected, time_point deadline,
                           yield_context yield) = 0;
    /// Waits up to `wait` until the key's revision is above `after`. A watch that the store does not
    /// answer fails with `timeout` at the deadline, which must be later than the end of the wait.
    virtual result<watch_result> watch(const std::string& key, std::uint64_t after, milliseconds wait,
                                       time_point deadline, yield_context yield) = 0;

    virtual result<lease_id> create_lease(milliseconds lifetime, time_point deadline,
                                          yield_context yield) = 0;
    /// Fails with `lapsed` when the lease no longer exists.
    virtual status renew_lease(const lease_id& lease, time_point deadline, yield_context yield) = 0;
    /// Destroys the lease and its keys.
    virtual status destroy_lease(const lease_id& lease, time_point deadline, yield_context yield) = 0;

    virtual store_stats stats() const = 0;
};

/// A compare-and-swap that carries its attempt id inside the value.
struct write_once_request
{
    std::string key;
    std::string value;
    std::uint64_t expected{0}; ///< revision of the key; 0: the key must not exist
    lease_id lease;            ///< empty: none
    /// Whether a stored value was written by this attempt.
    std::function<bool(const std::string& value)> is_own_attempt;
};

/// Writes a value and, after a lost reply, reads the key back to find out whether the write took effect.
/// Returns the revision of its write. Fails with `conflict` when another writer certainly won, and with
/// `outcome_unknown` when the write may have taken effect (it was replaced since, may still arrive, or the
/// store did not answer before the deadline). The time of one store call is bounded by
/// limits::store_call_timeout. A create may take effect twice when another client destroys the key between
/// the lost reply and the read-back, since an absent key does not show whether it existed before.
result<std::uint64_t> write_once(key_value_store& store, const write_once_request& request,
                                 time_point deadline, yield_context yield);

enum class instance_kind
{
    engine,
    entry,
    service,
};

enum class instance_state
{
    live,
    leaving,
};

/// One entry of the instance list.
struct instance_record
{
    instance_id instance;
    instance_kind kind{instance_kind::engine};
    instance_state state{instance_state::live};
    std::uint64_t incarnation{0};
    std::optional<endpoint> peer_address; ///< address for links from other daemons
};

/// The platform's list of instances. It may be out of date.
class instance_list
{
public:
    instance_list() = default;
    instance_list(const instance_list&) = delete;
    instance_list& operator=(const instance_list&) = delete;
    virtual ~instance_list() = default;

    virtual result<std::vector<instance_record>> read(time_point deadline, yield_context yield) = 0;
};

/// The load limit of the weight store.
class weight_limit
{
public:
    weight_limit() = default;
    weight_limit(const weight_limit&) = delete;
    weight_limit& operator=(const weight_limit&) = delete;
    virtual ~weight_limit() = default;

    /// Maximum number of concurrent loads.
    virtual result<std::uint32_t> concurrent_loads(time_point deadline, yield_context yield) = 0;
};

/// HTTP backends. They may be used from all threads of the context and must not outlive it.
std::unique_ptr<key_value_store> create_http_store(boost::asio::io_context& context, const endpoint& remote);
std::unique_ptr<instance_list> create_http_instance_list(boost::asio::io_context& context,
                                                         const endpoint& remote);
std::unique_ptr<weight_limit> create_http_weight_limit(boost::asio::io_context& context,
                                                       const endpoint& remote);

} // namespace rml::platform
