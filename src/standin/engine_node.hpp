/// One stand-in engine. Internal to src/standin.
#pragma once

#include "http/server.hpp"
#include "model/engine_status.hpp"
#include "standin/engine.hpp"
#include "standin/prefix_cache.hpp"
#include "standin/standin.hpp"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json_fwd.hpp>

namespace rml::standin::detail {

class engine_node;

/// Engines of one host by instance. Entries are removed before their engine is destroyed.
using engine_registry = std::map<instance_id, engine_node*>;

enum class run_phase
{
    queued,
    running,
    finished,
    cancelled,
    expired, ///< the deadline passed
    lost,    ///< the engine restarted, was reassigned or lost a member
};

/// A generation request inside the engine.
struct engine_run
{
    explicit engine_run(const boost::asio::any_io_executor& executor) : wake(executor) {}

    std::string request_id;
    std::string prompt;
    std::string answer_prompt; ///< whose tokens are sent; another prompt in a crossed answer
    std::int64_t priority{0};
    std::size_t first{0};     ///< index of the first token to send
    std::size_t available{0}; ///< tokens produced, counted from index 0
    std::size_t wanted{0};    ///< tokens in all
    std::int64_t prefill_steps{0};
    time_point deadline{time_point::max()};
    std::string group; ///< "group@epoch" when it began to run
    run_phase phase{run_phase::queued};
    boost::asio::steady_timer wake; ///< cancelled on every change
};

struct engine_faults
{
    bool down{false};            ///< every connection is dropped; in-flight requests are lost
    bool paused{false};          ///< neither steps nor answers
    bool member_missing{false};  ///< rank 0 refuses as if a member were gone
    std::int64_t slow_factor{1}; ///< steps take this many times as long
    milliseconds order_delay{0}; ///< orders take effect and are answered later
    fault_count lose_order_replies;
    fault_count garbled_status;
    std::string answer;  ///< late, crossed, truncated, ended_early, doubled, skipped, garbage; empty: none
    fault_count answers; ///< how many answers it strikes
    milliseconds answer_delay{1000}; ///< of late answers
};

struct engine_counters
{
    std::uint64_t received{0};
    std::uint64_t started{0};
    std::uint64_t completed{0};
    std::uint64_t cancelled{0};
    std::uint64_t lost{0};
    std::uint64_t refused{0};
    std::uint64_t tokens{0};
    std::uint64_t overloads_while_cold{0};
    std::uint64_t crashes{0};
    std::uint64_t restarts{0};
    std::uint64_t most_running{0};
    std::uint64_t started_with_missing_member{0};
    std::uint64_t wrong_resume_tokens{0};
    std::uint64_t orders_accepted{0};
    std::uint64_t orders_refused{0};
    std::uint64_t loads{0};
    std::uint64_t cache_hits{0};
    std::uint64_t faulty_answers{0};
};

class engine_node final : public http::handler, public std::enable_shared_from_this<engine_node>
{
public:
    engine_node(boost::asio::io_context& owner, engine_options wanted,
                std::shared_ptr<engine_registry> known);

    status listen(const endpoint& address);
    endpoint local() const;
    void stop();
    /// Breaks the links to the context and to the other engines.
    void detach();

    void handle(const http::request& message, http::response_writer& writer, yield_context yield) override;

    /// True while the engine can act as a member of the group.
    bool serves_as_member(const group_id& group, std::uint64_t epoch) const;
    /// Tells a rank 0 that one of its members is gone.
    void lose_member(const instance_id& member);

private:
    using run_pointer = std::shared_ptr<engine_run>;

    // Control and platform calls.
    http::response control(const http::request& message, std::string_view path);
    http::response read_status();
    http::response assign(const http::request& message, yield_context yield);
    http::response read_cache_events(const http::request& message) const;
    http::response exchange_kv(const http::request& message, std::string_view path);
    http::response cancel(std::string_view request_id);
    std::string encode_stats() const;

    // Generation.
    void generate(const http::request& message, http::response_writer& writer, yield_context yield);
    result<run_pointer> read_run(const http::request& message, yield_context yield);
    std::optional<http::response> refusal();
    void relay(const run_pointer& run, http::response_writer& writer, yield_context yield);
    bool send_tokens(const engine_run& run, std::size_t& sent, const std::string& fault,
                     http::response_writer& writer);
    void wait_for(engine_run& run, yield_context yield);

    // Batching.
    void admit(const run_pointer& run);
    void promote();
    void start_run(const run_pointer& run);
    void schedule_step();
    void step();
    void end_run(engine_run& run, run_phase phase);
    void end_all(run_phase phase);
    void note_load();

    // Life cycle.
    void restart();
    void start_load();
    void load(std::uint64_t number, yield_context yield);
    std::size_t borne() const;
    bool members_present() const;
    bool member_paused() const;
    void announce_loss();

    boost::asio::io_context& context;
    engine_options options;
    std::shared_ptr<engine_registry> registry;
    std::unique_ptr<http::server> server;
    engine_faults faults;
    engine_counters counters;

    std::uint64_t incarnation;
    group_id group;
    std::uint64_t epoch{0};
    std::uint32_t rank{0};
    std::vector<instance_id> members;
    model_id model;
    std::string version;
    std::uint64_t fencing{0};
    bool loaded{false};
    bool leaving{false};
    std::uint64_t load_number{0}; ///< a load that is not the latest has no effect
    time_point warm_since{};      ///< end of the last load
    time_point down_until{};

    std::list<run_pointer> queued;
    std::list<run_pointer> running;
    bool stepping{false};
    boost::asio::steady_timer step_timer;
    prefix_cache cache;

    struct load_sample
    {
        time_point at;
        std::uint32_t running;
        std::uint32_t queued;
    };
    std::deque<load_sample> load_samples;
    std::string last_prompt; ///< of the last completed request
    std::string last_request_id;
};

} // namespace rml::standin::detail
