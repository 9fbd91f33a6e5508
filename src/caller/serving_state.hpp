/// What the request path asks of the rest of the daemon. Implemented by control/; all functions may be called
/// from any worker thread.
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

/// Right to work on one request. Destroying it gives the place to the next request.
class admission_ticket
{
public:
    admission_ticket() = default;
    admission_ticket(const admission_ticket&) = delete;
    admission_ticket& operator=(const admission_ticket&) = delete;
    virtual ~admission_ticket() = default;
};

/// The request was not admitted and not run.
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
    std::vector<group_id> tried;    ///< groups of earlier attempts; not chosen while another group serves
    bool is_retry{false};           ///< an earlier attempt was sent to a target
    time_point deadline;
};

/// Right to send one request to one group. Ended by finish_permit() exactly once.
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
    completed,           ///< whole answer
    not_sent,            ///< nothing was sent: connection refused, or the engine is not the one of the permit
    refused_not_run,     ///< the engine said that it did not run the request
    target_lost,         ///< the connection broke or the answer did not follow the protocol
    timeout,             ///< no byte within the time for one, or the deadline passed
    caller_disconnected, ///< the caller disconnected; says nothing about the target
};

/// Figures of an attempt, for load and straggler estimates.
struct permit_report
{
    permit_end end{permit_end::completed};
    milliseconds first_token{0}; ///< from sending to the first token; 0: none
    std::uint64_t tokens{0};
    milliseconds total{0};
};

/// How a request ended, for the service-level objectives.
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

/// Addresses that callers may use.
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

    /// Account of a bearer token, or null.
    virtual std::shared_ptr<const account_object> find_account(std::string_view token) const = 0;
    /// Service by name, or null.
    virtual std::shared_ptr<const office_service_object> find_service(const service_id& name) const = 0;
    virtual entry_list entries() const = 0;
    /// True while new requests are accepted.
    virtual bool ready() const = 0;

    /// Waits in the admission queue, at most until the deadline.
    virtual admission_result acquire_admission(const admission_request& request, yield_context yield) = 0;

    /// Chooses a servable group. May wait until the deadline for evidence or a slot; a failure ends the
    /// request.
    virtual result<dispatch_permit> acquire_permit(const dispatch_request& request, yield_context yield) = 0;
    virtual void finish_permit(const dispatch_permit& permit, const permit_report& report) = 0;

    /// Takes one retry from the budget of this daemon; false when it is spent.
    virtual bool take_retry_token() = 0;

    virtual claim_store& claims() = 0;

    /// Called once at the end of each request that passed authentication and parsing.
    virtual void record(const request_record& ended) = 0;
};

} // namespace rml::caller
