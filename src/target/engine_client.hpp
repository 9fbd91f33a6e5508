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

/// Address, group epoch and incarnation of the group's rank 0 at the time of the dispatch.
struct engine_target
{
    endpoint address;
    group_id group;
    std::uint64_t epoch{0};
    std::uint64_t incarnation{0};
};

/// Order that assigns an engine to a group; an empty group releases the engine.
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
    std::string request_id; ///< unique per attempt; the answer must carry the same id
    std::string prompt;
    std::uint32_t max_tokens{0}; ///< total, including resume_tokens
    std::int32_t priority{0};
    std::vector<std::string> resume_tokens; ///< tokens that earlier attempts already delivered to the sink
};

/// Receives the tokens of a generation.
class token_sink
{
public:
    token_sink() = default;
    token_sink(const token_sink&) = delete;
    token_sink& operator=(const token_sink&) = delete;
    virtual ~token_sink() = default;

    /// Called once for each token, in order. A failure ends the generation with generate_end::sink_closed.
    virtual status on_token(const std::string& token) = 0;
    /// Polled at least every limits::disconnect_poll_interval, also while no token arrives. True ends the
    /// generation.
    virtual bool closed() const = 0;
};

enum class generate_end
{
    completed,
    not_sent,    ///< nothing was sent: no connection, or another incarnation, group, epoch or rank
    refused,     ///< the engine refused the request without running it
    failed,      ///< broken connection, error status or invalid answer after bytes were sent
    timed_out,   ///< read timeout or deadline after bytes were sent
    sink_closed, ///< the sink failed or was closed
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

/// Holds no state besides the pool; may be used by many coroutines at once.
class engine_client
{
public:
    engine_client(boost::asio::io_context& context, connection_pool& connections)
        : context(context), connections(connections)
    {
    }

    /// Reads the status. The connection is kept in the pool, bound to the incarnation in the status.
    result<engine_status> read_status(const endpoint& engine, time_point deadline, yield_context yield);

    /// Sends an order. Fails with `stale` when the engine refuses an old fencing token and with
    /// `outcome_unknown` when the order may have taken effect.
    /// `check_before_send` is called after the connection is open, directly before the first byte is sent. If
    /// it fails, assign() returns the failure and sends nothing.
    result<engine_status> assign(const endpoint& engine, const assign_order& order,
                                 const std::function<status()>& check_before_send, time_point deadline,
                                 yield_context yield);

    /// Sends a generate request and delivers its tokens to the sink. A request that was sent and was neither
    /// completed nor refused is cancelled at the engine in the background, unless its connection broke.
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
