#include "entryd/serving_unit.hpp"

#include "control/node.hpp"
#include "http/server.hpp"
#include "operator/operator_handler.hpp"

#include <chrono>

namespace rml::entryd {

namespace {

control::node_options node_options_of(const settings& configured)
{
    control::node_options options;
    options.daemon = configured.daemon;
    options.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    options.region = configured.region;
    options.failure_domain = configured.failure_domain;
    options.peer_listen = configured.listen.peer;
    options.store = configured.platform.store;
    options.instances = configured.platform.instances;
    options.weights = configured.platform.weights;
    options.peer_secret = configured.peer_secret;
    return options;
}

/// The control node and the HTTP server for operators.
class node_unit final : public serving_unit
{
public:
    node_unit(boost::asio::io_context& context, const settings& configured)
        : context(context), configured(configured), node(context, node_options_of(configured)),
          handler(this->node, configured.operator_token)
    {
    }

    caller::serving_state& state() override { return this->node.requests(); }

    status start(const endpoint& caller_address) override
    {
        auto listening =
            http::server::create(this->context, this->configured.listen.operators, this->handler);
        if (failed(listening)) {
            return error(listening);
        }
        this->operators = value(std::move(listening));
        return this->node.start(caller_address);
    }

    void leave() override { this->node.leave(); }

    void stop() override
    {
        if (this->operators) {
            this->operators->stop();
        }
        this->node.stop();
    }

    std::optional<endpoint> peer_address() const override { return this->node.peer_address(); }
    std::optional<endpoint> operator_address() const override { return this->operators->local(); }

private:
    boost::asio::io_context& context;
    const settings& configured;
    control::node node;
    operator_handler handler;
    std::unique_ptr<http::server> operators;
};

} // namespace

std::unique_ptr<serving_unit> create_serving_unit(boost::asio::io_context& context,
                                                  const settings& configured, metric_registry&)
{
    return std::make_unique<node_unit>(context, configured);
}

} // namespace rml::entryd
