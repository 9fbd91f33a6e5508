/// Interfaces that a platform adapter implements: metadata store, decoding, orders to engines.
#pragma once

#include "base/failure.hpp"
#include "base/time.hpp"
#include "decision/group_assignments.hpp"
#include "gateway/site.hpp"

#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rml::gateway {

using yield_context = boost::asio::yield_context;

/// Names of the headers that carry the gateway's own fields between callers, daemons and targets.
struct header_names
{
    std::string request_id;
    std::string deadline_ms;      ///< time that the sender continues to wait
    std::string account;          ///< set on requests to targets
    std::string expected_target;  ///< a target with another id answers 421
    std::string urgency;          ///< 0 (first) to 9
    std::string last_event_id;    ///< last event that the caller has
    std::string model;            ///< model that the caller asks for
    std::string token_counts;     ///< prompt tokens, most output tokens
    std::string answer_signature; ///< set by targets; a 2xx answer without it is not from a target
    std::string not_executed;     ///< set by targets on answers to requests that they did not run
    std::string prompt_parts;     ///< parts of the prompt in order, `id:tokens,id:tokens,...`
    std::string leaving;          ///< `1`: the target leaves and gets no new requests
    std::string request_limit;    ///< requests per second that the target takes from all daemons together
};

struct store_item
{
    std::string key;
    std::string value;
    std::uint64_t revision{0};
};

/// Items below a prefix, with the store revision at the time of the read.
struct store_snapshot
{
    std::vector<store_item> items;
    std::uint64_t revision{0};
};

/// A change of a key; no value: the key was removed.
struct store_event
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision{0};
};

struct store_changes
{
    std::vector<store_event> events;
    std::uint64_t revision{0}; ///< the next watch continues after this
};

struct lease_handle
{
    std::uint64_t id{0}; ///< 0: none
    milliseconds lifetime{0};
};

struct expected_revision
{
    std::string key;
    std::uint64_t revision{0}; ///< 0: the key must not exist
};

struct store_put
{
    std::string key;
    std::string value;
    std::uint64_t lease{0};
};

/// Atomic: all writes take effect if all expected revisions match, otherwise none.
struct store_commit
{
    std::vector<expected_revision> expected;
    std::vector<store_put> puts;
    std::vector<std::string> removals;
};

/// The platform's store. Revisions are positions in its whole history (`store_position.hpp`), which rise also
/// when the store returns from an older copy. An answer of an earlier era than one that arrived before fails
/// a read with `stale` and a write with `outcome_unknown`: it says nothing about the present content.
/// Failures of reads: `timeout`, `connection_refused`, `connection_broken`,
/// `malformed`, `unavailable`, `rate_limited`. Failures of writes: `conflict`, `lapsed` (no such lease),
/// `unavailable`, `rate_limited` and `connection_refused` (the write had no effect), `outcome_unknown` (the
/// write may take effect, possibly later).
class metadata_store
{
public:
    metadata_store() = default;
    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;
    virtual ~metadata_store() = default;

    /// Returns all items whose key begins with the prefix. Pages are read one after the other, so the result
    /// is not a consistent snapshot; its revision is that of the first page.
    virtual result<store_snapshot> read(const std::string& prefix, time_point deadline,
                                        yield_context yield) = 0;
    /// Returns changes after a revision as soon as there are any, or none when `wait` has passed. Fails with
    /// `stale` when the store no longer has that history, also because the revision is of an earlier era.
    virtual result<store_changes> watch(const std::string& prefix, std::uint64_t after, milliseconds wait,
                                        time_point deadline, yield_context yield) = 0;
    /// Returns the revision of the change. An expected revision of an earlier era is a `conflict`.
    virtual result<std::uint64_t> commit(const store_commit& change, time_point deadline,
                                         yield_context yield) = 0;
    virtual result<lease_handle> create_lease(milliseconds lifetime, time_point deadline,
                                              yield_context yield) = 0;
    /// Fails with `lapsed` when the lease has ended.
    virtual status renew_lease(std::uint64_t lease, time_point deadline, yield_context yield) = 0;
    virtual status end_lease(std::uint64_t lease, time_point deadline, yield_context yield) = 0;

    /// Number of calls since the start, including refused ones.
    virtual std::uint64_t calls() const = 0;

    /// Called for each answer, refusals included, before the call returns, with the position at which the era
    /// of the answer began (`store_position.hpp`).
    std::function<void(std::uint64_t era_start)> on_era;
};

/// Decodes what the platform and its operators write to the store, and encodes the answer to callers.
class site_decoder
{
public:
    site_decoder() = default;
    site_decoder(const site_decoder&) = delete;
    site_decoder& operator=(const site_decoder&) = delete;
    virtual ~site_decoder() = default;

    virtual std::string config_key() const = 0;
    virtual std::string targets_prefix() const = 0;
    /// A key below this prefix, followed by the name of a failure domain, takes that domain out of service.
    virtual std::string drained_domains_prefix() const = 0;

    /// Fails with `malformed`.
    virtual result<std::shared_ptr<const site_config>> decode_config(std::string_view bytes) const = 0;
    /// `instance` is the key without the prefix. Fails with `malformed`.
    virtual result<target_entry> decode_target(std::string_view instance, std::string_view bytes) const = 0;
    /// Failure domain of the caller, from the request target of a request for the entry addresses.
    virtual std::optional<failure_domain_id> caller_domain(std::string_view request_target) const = 0;
    /// Returns the body of the answer that gives callers the entry addresses.
    virtual std::string encode_entry_addresses(const std::vector<endpoint>& addresses,
                                               milliseconds lifetime) const = 0;
};

enum class group_action
{
    join,  ///< become a member
    open,  ///< head: begin to serve
    close, ///< head: finish the requests in progress, then stop serving
    leave, ///< end membership at once
    stage, ///< load weights onto the host
};

std::string_view to_string(group_action action);

/// An order to an engine. An order to join carries the permit that it is built from.
class group_order
{
public:
    /// `members` are the instances of the group; the first is the head.
    static group_order join(join_permit permit, model_id model, std::vector<instance_id> members);
    static group_order open(const group_key& group) { return {group_action::open, group}; }
    static group_order close(const group_key& group) { return {group_action::close, group}; }
    static group_order leave(const group_key& group) { return {group_action::leave, group}; }
    static group_order stage(model_id model);

    group_action action() const { return this->kind; }
    const group_id& group() const { return this->key.first; } ///< empty for `stage`
    std::uint64_t epoch() const { return this->key.second; }
    const model_id& model() const { return this->weights; }                     ///< join and stage
    const std::vector<instance_id>& members() const { return this->instances; } ///< join
    const std::optional<join_permit>& permit() const { return this->evidence; } ///< join

private:
    group_order(group_action action, group_key group) : kind(action), key(std::move(group)) {}

    group_action kind;
    group_key key;
    model_id weights;
    std::vector<instance_id> instances;
    std::optional<join_permit> evidence;
};

/// How an engine answered an order.
enum class order_verdict
{
    started,           ///< the engine has begun to carry it out
    already,           ///< the engine is already in the requested state
    not_now,           ///< not possible in the engine's current state, or it has accepted another order since
    stale,             ///< the engine knows a higher epoch, or this epoch with other members
    wrong_incarnation, ///< another instance answers at the address
    unknown_order,     ///< malformed
};

std::string_view to_string(order_verdict verdict);

/// An engine's own state, some hundred milliseconds old.
struct engine_report
{
    double pace{1}; ///< factor on the usual time; above 1: slower
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    bool busy{false};                             ///< an order is in progress
    std::optional<std::uint64_t> accepted_orders; ///< in this life of the engine; nothing: not stated
    model_id model;
    std::vector<model_id> staged;
    std::optional<group_membership> membership;
};

struct target_signals;

class engine_control
{
public:
    engine_control() = default;
    engine_control(const engine_control&) = delete;
    engine_control& operator=(const engine_control&) = delete;
    virtual ~engine_control() = default;

    /// Fails with `connection_refused` when nothing was sent and with `outcome_unknown` when the engine may
    /// carry out the order, possibly later.
    virtual result<order_verdict> order(const target_entry& engine, const group_order& what,
                                        time_point deadline, yield_context yield) = 0;
    virtual result<engine_report> report(const target_entry& engine, time_point deadline,
                                         yield_context yield) = 0;

    /// Called for each answer with what the engine says of itself.
    std::function<void(const target_entry&, const target_signals&)> on_signals;
};

/// Everything that depends on the platform.
struct platform_ports
{
    header_names headers;
    std::unique_ptr<site_decoder> decoder;
    std::unique_ptr<metadata_store> store;
    std::unique_ptr<engine_control> engines;
};

} // namespace rml::gateway
