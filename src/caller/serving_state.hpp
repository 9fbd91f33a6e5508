/// Interface between the request path and the rest of the daemon. Implemented by control/; all functions may
/// be called from any worker thread.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "caller/claim_store.hpp"
#include "decision/outcome.hpp"
#include "objects/objects.hpp"

#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rml::caller {

struct admission_request
{
    account_id account;
    model_pool_id pool; ///< one of pool and service is set
    service_id service;
    std::int32_t priority{0}; ///< higher is served first
    time_point deadline;
};

/// Admission of one request. The destructor releases its slot to the next request in the admission queue.
class admission_ticket
{
public:
    admission_ticket() = default;
    admission_ticket(const admission_ticket&) = delete;
    admission_ticket& operator=(const admission_ticket&) = delete;
    virtual ~admission_ticket() = default;
};

/// The request was neither admitted nor run.
struct admission_refusal
{
    failure reason;
    milliseconds retry_after{0};
};

using admission_result = std::variant<std::unique_ptr<admission_ticket>, admission_refusal>;

/// One attempt of a generation.
struct dispatch_request
{
    std::string request_id;
    account_id account;
    model_pool_id pool;
    std::uint64_t prompt_prefix{0}; ///< hash64 of the first 256 bytes of the prompt
    std::uint64_t fingerprint{0};   ///< hash of account, path and body
    std::vector<group_id> tried;    ///< groups of earlier attempts; chosen only when no other group serves
    bool is_retry{false};           ///< an earlier attempt was sent to a target
    time_point deadline;
};

/// Permission to send one request to one group. finish_permit() must be called exactly once for each permit.
struct dispatch_permit
{
    std::uint64_t id{0};
    group_id group;
    std::uint64_t epoch{0};
    std::uint64_t incarnation{0}; ///< of rank 0, as in the evidence
    endpoint engine;              ///< rank 0
};

/// How a permit ended.
enum class permit_end
{
    completed,           ///< complete answer
    not_sent,            ///< nothing was sent: no connection, or the engine does not match the permit
    refused_not_run,     ///< the engine reported that it did not run the request
    target_lost,         ///< the connection broke or the answer did not follow the protocol
    timeout,             ///< no byte before a read timeout, or the deadline passed
    caller_disconnected, ///< the caller disconnected; no evidence about the target
};

/// Measurements of an attempt, for load and straggler estimates.
struct permit_report
{
    permit_end end{permit_end::completed};
    milliseconds first_token{0}; ///< from sending to the first token; 0: none
    std::uint64_t tokens{0};
    milliseconds total{0};
};

/// Result of a request, for the service-level objectives.
struct request_record
{
    account_id account;
    model_pool_id pool; ///< one of pool and service is set
    service_id service;
    outcome result{outcome::not_run};
    bool caller_disconnected{false}; ///< the caller disconnected before the answer was complete
    milliseconds first_token{0};     ///< from arrival; 0: none
    milliseconds between_tokens{0};  ///< mean time between tokens; 0: fewer than two
    milliseconds total{0};           ///< from arrival to the last byte
};

/// Addresses of daemons that callers may use.
struct entry_list
{
    std::vector<endpoint> entries;
    milliseconds lifetime{0};
};

class serving_state
{
public:
    serving_state() = default;
    serving_state(const serving_state&) = delete;
    serving_state& operator=(const serving_state&) = delete;
    virtual ~serving_state() = default;

    /// Account that a bearer token belongs to, or null.
    virtual std::shared_ptr<const account_object> find_account(std::string_view token) const = 0;
    /// Service by name, or null.
    virtual std::shared_ptr<const office_service_object> find_service(const service_id& name) const = 0;
    virtual entry_list entries() const = 0;
    /// True while the daemon accepts new requests.
    virtual bool ready() const = 0;

    /// Waits in the admission queue until the request is admitted, at most until its deadline.
    virtual admission_result acquire_admission(const admission_request& request, yield_context yield) = 0;

    /// Chooses a servable group. May wait until the deadline for evidence or a slot. After a failure no
    /// further attempt is made.
    virtual result<dispatch_permit> acquire_permit(const dispatch_request& request, yield_context yield) = 0;
    virtual void finish_permit(const dispatch_permit& permit, const permit_report& report) = 0;

    /// Takes one token from the daemon's retry budget; false when the budget is exhausted.
    virtual bool take_retry_token() = 0;

    virtual claim_store& claims() = 0;

    /// Records the result of a request. Called exactly once for each request that passed authentication and
    /// parsing.
    virtual void record(const request_record& ended) = 0;
};

} // namespace rml::caller
