#include "standin/engine.hpp"

#include "standin/engine_node.hpp"

namespace rml::standin {

struct engine_host::state
{
    std::shared_ptr<detail::engine_registry> registry{std::make_shared<detail::engine_registry>()};
    std::vector<std::shared_ptr<detail::engine_node>> engines;
};

engine_host::engine_host(std::unique_ptr<state> initial) : inner(std::move(initial)) {}

engine_host::~engine_host()
{
    for (const auto& engine : this->inner->engines) {
        engine->detach();
    }
}

result<std::unique_ptr<engine_host>> engine_host::create(boost::asio::io_context& context,
                                                         const endpoint& listen,
                                                         const std::vector<engine_options>& engines)
{
    auto host = std::unique_ptr<engine_host>(new engine_host(std::make_unique<state>()));
    auto address = listen;
    for (const auto& options : engines) {
        if (options.instance.empty() || host->inner->registry->count(options.instance) != 0) {
            return failure{failure_kind::malformed, "instance name '" + options.instance.str() + "'"};
        }
        auto engine = std::make_shared<detail::engine_node>(context, options, host->inner->registry);
        host->inner->engines.push_back(engine);
        if (auto bound = engine->listen(address); failed(bound)) {
            return error(bound);
        }
        if (address.port != 0) {
            ++address.port;
        }
    }
    return host;
}

std::vector<endpoint> engine_host::locals() const
{
    std::vector<endpoint> addresses;
    for (const auto& engine : this->inner->engines) {
        addresses.push_back(engine->local());
    }
    return addresses;
}

void engine_host::stop()
{
    for (const auto& engine : this->inner->engines) {
        engine->stop();
    }
}

std::string engine_host::fault_help()
{
    return R"(
Faults (POST /faults on the engine's port, a JSON object; keys that are left out stay as they are):
  down                bool       drop every connection; the engine has restarted when this ends
  paused              bool       neither steps nor answers; connections stay open
  restart             bool       restart now: new incarnation, no assignment, no weights
  cold                bool       bear few requests again, without a restart
  leaving             bool       report that the engine stops and refuse new requests
  member_missing      bool       rank 0 refuses requests as if a member were gone
  slow_factor         number     steps take this many times as long
  order_delay_ms      number     orders take effect and are answered later
  lose_order_replies  bool or n  apply orders, then drop the connection (the next n orders)
  garbled_status      bool or n  broken body of /status (the next n answers)
  answer              text       fault of answers: late, crossed, truncated (connection dropped), ended_early
                                 (no [DONE]), doubled, skipped (a token is missing), garbage; empty: none
  answers             bool or n  how many answers it strikes
  answer_delay_ms     number     delay of late answers
A prompt that contains the crash marker restarts the engine that runs it.
GET /stats counts requests, orders, restarts and faults.
)";
}

} // namespace rml::standin
