/// Interface to the part of the daemon that the request path depends on.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/metrics.hpp"
#include "caller/serving_state.hpp"
#include "objects/settings.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>

namespace rml::entryd {

/// Owns the serving_state and the control loops that update it. Functions are called from the main thread.
class serving_unit
{
public:
    serving_unit() = default;
    serving_unit(const serving_unit&) = delete;
    serving_unit& operator=(const serving_unit&) = delete;
    virtual ~serving_unit() = default;

    virtual caller::serving_state& state() = 0;
    /// Starts the work on the io_context; other daemons list `caller_address` to callers. Fails with
    /// `unavailable` when an address cannot be bound.
    virtual status start(const endpoint& caller_address) = 0;
    /// Announces that this daemon is leaving. The unit continues to serve until stop().
    virtual void leave() = 0;
    /// Ends all work of the unit on the io_context.
    virtual void stop() = 0;
    /// Listening addresses, if any.
    virtual std::optional<endpoint> peer_address() const = 0;
    virtual std::optional<endpoint> operator_address() const = 0;
};

/// Creates the serving_unit of the daemon; the only function that selects its type.
std::unique_ptr<serving_unit> create_serving_unit(boost::asio::io_context& context,
                                                  const settings& configured, metric_registry& metrics);

} // namespace rml::entryd
