/// The part of the daemon behind the request path.
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

/// Owns the serving_state and everything that feeds it. Functions are called from the main thread.
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
    /// Announces that this daemon leaves. The unit goes on serving until stop().
    virtual void leave() = 0;
    /// Ends all work, so that the io_context runs out of it.
    virtual void stop() = 0;
    /// Addresses that are listened on, if any.
    virtual std::optional<endpoint> peer_address() const = 0;
    virtual std::optional<endpoint> operator_address() const = 0;
};

/// The only place where the daemon's serving_unit is chosen.
std::unique_ptr<serving_unit> create_serving_unit(boost::asio::io_context& context,
                                                  const settings& configured, metric_registry& metrics);

} // namespace rml::entryd
