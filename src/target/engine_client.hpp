/// Client of model engines.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "decision/outcome.hpp"
#include "model/engine_status.hpp"
#include "target/connection_pool.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rml::target {

/// Rank 0 of a group as it was when the request was dispatched.
struct engine_target
{
    endpoint address;
    group_id group;
    std::uint64_t epoch{0};
    std::uint64_t incarnation{0};
};

/// Order to an engine; an empty group releases it.
struct assign_order
{
    group_id group;
    std::uint64_t group_epoch{0};
    std::uint32_t rank{0};
    std::vector<instance_id> members;
    model_id model;
    std::string version;
    std::uint64_t fencing{0};
};

struct generate_request
{
    std::string request_id; ///< unique per attempt: the answer is matched by it
    std::string prompt;
    std::uint32_t max_tokens{0}; ///< in all, with the resumed ones
    std::int32_t priority{0};
    std::vector<std::string> resume_tokens; ///< tokens of earlier attempts that were already passed on
};

/// Receives the tokens of a generation.
class token_sink
{
public:
    token_sink() = default;
    token_sink(const token_sink&) = delete;
    token_sink& operator=(const token_sink&) = delete;
    virtual ~token_sink() = default;

    /// Called with consecutive tokens. A failure ends the generation with generate_end::sink_closed.
    virtual status on_token(const std::string& token) = 0;
    /// Asked while no token arrives, at least every limits::disconnect_poll_interval.
    virtual bool closed() const = 0;
};

enum class generate_end
{
    completed,
    not_sent,    ///< nothing was sent: no connection, or the engine is not the expected one
    refused,     ///< the engine refused before it ran the request
    failed,      ///< broken connection, wrong answer or protocol violation after bytes were sent
    timed_out,   ///< no byte in time, after bytes were sent
    sink_closed, ///< the sink failed or closed
};

struct generate_report
{
    generate_end end{generate_end::not_sent};
    attempt_outcome outcome;
    failure reason; ///< unless completed
    std::uint64_t tokens{0};
    milliseconds first_token{0};
    milliseconds total{0};
};

/// Stateless apart from the pool; may be used by many coroutines at once.
class engine_client
{
public:
    engine_client(boost::asio::io_context& context, connection_pool& connections)
        : context(context), connections(connections)
    {
    }

    /// Reads the status over a connection that stays in the pool, bound to the incarnation in the answer.
    result<engine_status> read_status(const endpoint& engine, time_point deadline, yield_context yield);

    /// Sends an order. Fails with `stale` when the engine refuses an old fencing number and with
    /// `outcome_unknown` when the order may or may not have taken effect.
    /// `permit` is asked after the connection stands, directly before the first byte; its failure is returned
    /// and nothing is sent then.
    result<engine_status> assign(const endpoint& engine, const assign_order& order,
                                 const std::function<status()>& permit, time_point deadline,
                                 yield_context yield);

    /// Generates tokens into the sink. Unless the report says completed, refused or not_sent, the request is
    /// also cancelled at the engine in the background.
    generate_report generate(const engine_target& target, const generate_request& request, token_sink& sink,
                             time_point deadline, yield_context yield);

    /// Cancels by request id. Fails with `not_found` when the engine does not know the request.
    status cancel(const endpoint& engine, const std::string& request_id, time_point deadline,
                  yield_context yield);

private:
    result<bound_connection> connect(const endpoint& engine, engine_status* report, time_point deadline,
                                     yield_context yield);
    result<bound_connection> acquire(const engine_target& target, time_point deadline, yield_context yield);
    void cancel_in_background(const endpoint& engine, const std::string& request_id);

    boost::asio::io_context& context;
    connection_pool& connections;
};

} // namespace rml::target
