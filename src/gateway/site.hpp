/// Model of the site: routes, services, accounts and registered targets. The platform's adapter decodes it;
/// nothing here depends on the wire format.
#pragma once

#include "base/endpoint.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "decision/domain_delays.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rml::gateway {

/// How often the targets may execute a request.
enum class route_kind
{
    repeatable, ///< any number of executions
    once,       ///< at most one execution per request id
    stream,     ///< answered as a series of numbered events
};

struct weighted_service
{
    service_id service;
    double weight{1};
};

struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    route_kind kind{route_kind::once};
    bool resumable{false};     ///< a broken stream may continue at another target
    bool without_key{false};   ///< callers need no API key
    milliseconds timeout{0};   ///< until the complete answer
    milliseconds objective{0}; ///< answers within this time meet the latency objective
    milliseconds gap_objective{0};
    std::uint32_t max_attempts{1}; ///< targets that one request may be sent to
    std::uint32_t priority{0};     ///< 0 is the highest
    std::vector<weighted_service> services;

    /// True if a request may be executed twice.
    bool idempotent() const
    {
        return this->kind == route_kind::repeatable || (this->kind == route_kind::stream && this->resumable);
    }
};

/// A model whose replicas are groups of engines.
struct served_model
{
    model_id model;
    std::uint32_t group_size{1};
    double engine_share{0}; ///< configured share of the engines, 0 to 1
    double pace{1};         ///< factor on all step times of its groups
    milliseconds load{0};   ///< time to load weights from the weight store
    milliseconds warm{0};   ///< time to load weights that are staged on the host
};

/// Published timing of the engines of a service.
struct engine_profile
{
    std::uint32_t batch_slots{1}; ///< requests that a group runs concurrently
    std::uint32_t steps_per_pass{1};
    milliseconds form{0}; ///< from the order to open a group until it serves
    std::chrono::duration<double, std::milli> step{0};
    std::chrono::duration<double, std::milli> step_per_request{0};
    double prompt_tokens_per_s{0};
    std::uint32_t prompt_chunk_tokens{0}; ///< prompt tokens read per step at most
    double loads_per_s{0};                ///< loads from the weight store that may start, over all engines
    std::uint32_t concurrent_loads{1};    ///< beyond this, loads slow each other down
    std::vector<served_model> models;

    const served_model* find(const model_id& model) const;
};

struct service
{
    service_id name;
    std::string health_path;
    std::uint32_t max_connections{0}; ///< per target, over all callers
    milliseconds cold_start{0};
    double cold_requests_per_s{0};         ///< per target while it is cold, over all callers; 0: no limit
    std::optional<engine_profile> engines; ///< absent for plain services
    domain_delays delays;                  ///< empty: not stated by this service
};

/// Limits on the requests of callers.
struct caller_limits
{
    std::size_t header_bytes{16 * 1024};
    std::size_t body_bytes{4 * 1024 * 1024};
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

struct client_account
{
    account_id name;
    std::optional<std::uint32_t> priority; ///< overrides the route's priority
};

using accounts_by_key = std::unordered_map<std::string, client_account>;

/// One version of the configuration. Immutable once built.
class site_config
{
public:
    /// `accounts`: absent if the configuration states no accounts, so that callers need no key. It may be
    /// empty: accounts are stated, and none has a key.
    site_config(std::uint64_t version, std::vector<route> routes, std::vector<service> services,
                const caller_limits& limits, std::optional<accounts_by_key> accounts);

    std::uint64_t version() const { return this->number; }
    const caller_limits& limits() const { return this->bounds; }

    /// The route of that host with the longest prefix of the path, or null.
    const route* find_route(std::string_view host, std::string_view path) const;
    const service* find_service(const service_id& name) const;
    /// Delays between failure domains that the service states, or else any other service.
    const domain_delays& delays_of(const service& of) const;
    /// Delays of the first service that states some; empty if none does.
    const domain_delays& delays() const { return this->stated_delays; }
    const std::map<service_id, service>& services() const { return this->by_service; }
    /// The account that holds the key, or null.
    const client_account* find_account(const std::string& key) const;
    /// Whether callers need a key, except on routes without one. When the last key is taken away, nobody has
    /// one.
    bool requires_key() const { return this->accounts.has_value(); }

private:
    std::uint64_t number;
    std::vector<route> all_routes;
    /// Indices into all_routes by host, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_host;
    std::map<service_id, service> by_service;
    domain_delays stated_delays;
    caller_limits bounds;
    std::optional<accounts_by_key> accounts;
};

enum class group_phase
{
    joining,
    ready, ///< member of a group; for the head: not serving yet
    open,  ///< head that serves
    closing,
    broken,
};

std::string_view to_string(group_phase phase);

/// Membership that an engine reports.
struct group_membership
{
    group_id group;
    std::uint64_t epoch{0};
    std::uint32_t rank{0}; ///< 0 is the head
    group_phase phase{group_phase::joining};

    friend bool operator==(const group_membership& a, const group_membership& b)
    {
        return a.group == b.group && a.epoch == b.epoch && a.rank == b.rank && a.phase == b.phase;
    }
    friend bool operator!=(const group_membership& a, const group_membership& b) { return !(a == b); }
};

/// Registry entry of a target.
struct target_entry
{
    instance_id instance;
    service_id service;
    endpoint address;
    failure_domain_id failure_domain;
    std::uint32_t slots{1};
    bool draining{false};
    milliseconds cold_remaining{0}; ///< at the time of writing
    std::int64_t started_ms{0}; ///< start of this incarnation, Unix ms by the target's clock; 0: not reported
    std::uint64_t revision{0};  ///< store revision at which the entry was written; 0: unknown
    // Engines only.
    fabric_domain_id fabric;
    model_id model; ///< model of its last group in this incarnation; empty: none
    std::vector<model_id> staged;
    std::optional<group_membership> membership;
};

} // namespace rml::gateway
