/// Stand-in of model engines: continuous batching, cold start, prefix cache, orders, groups, faults. One host
/// runs many engines, each on a port of its own.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rml::standin {

/// Behaviour of one engine.
struct engine_options
{
    instance_id instance;
    std::uint64_t incarnation{1}; ///< of the first run; every restart adds one

    std::size_t batch{8};     ///< requests that run at once
    std::size_t queue{64};    ///< requests that wait; more are answered 429
    milliseconds step{20};    ///< one token per running request
    milliseconds prefill{60}; ///< before the first token when the prefix is not cached

    milliseconds load{500};          ///< time of a load when there is no weight store
    std::optional<endpoint> weights; ///< weight store
    std::size_t cold_slots{2};    ///< running requests borne right after a load; more make the engine restart
    milliseconds warm_step{1000}; ///< after each step twice as many are borne, until the batch is full
    bool reports_warm_slots{false};
    milliseconds restart{500}; ///< connections are dropped for this time after a restart

    std::size_t cache_entries{64};
    milliseconds cache_event_delay{300};
    std::uint64_t cache_event_gap{7}; ///< every n-th cache event is missing; 0: none
    std::size_t kv_bytes{4096};       ///< size of one exported prefix

    milliseconds status_lag{300}; ///< age of the reported load figures
    bool fenced{false};           ///< refuses orders with an old fencing number
    bool member_check{true};      ///< rank 0 refuses requests while a member on this host is missing
    std::string crash_marker{"crash-the-engine"}; ///< a prompt with this text restarts the engine
};

/// Engines that know each other as members of groups. The context must run on one thread, and not while the
/// object is destroyed.
class engine_host
{
public:
    /// The first engine listens on `listen`, the others on the following ports; with port 0 all ports are
    /// picked.
    static result<std::unique_ptr<engine_host>> create(boost::asio::io_context& context,
                                                       const endpoint& listen,
                                                       const std::vector<engine_options>& engines);
    ~engine_host();
    engine_host(const engine_host&) = delete;
    engine_host& operator=(const engine_host&) = delete;

    /// Addresses in the order of the options.
    std::vector<endpoint> locals() const;
    void stop();

    /// Lines for --help that document POST /faults.
    static std::string fault_help();

private:
    struct state;
    explicit engine_host(std::unique_ptr<state> initial);
    std::unique_ptr<state> inner;
};

} // namespace rml::standin
