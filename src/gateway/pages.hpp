/// HTTP handlers of a daemon for readiness, entry addresses and metrics.
#pragma once

#include "base/metrics.hpp"
#include "gateway/ports.hpp"
#include "http/server.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace rml::gateway {

/// Answers 200 while `ready` returns true and 503 otherwise.
class readiness_page final : public http::handler
{
public:
    explicit readiness_page(std::function<bool()> ready) : ready(std::move(ready)) {}
    void handle(const http::request& message, http::response_writer& writer,
                http::yield_context yield) override;

private:
    std::function<bool()> ready;
};

/// Answers with the addresses of the entry daemons, or 503 when none is known.
class entries_page final : public http::handler
{
public:
    /// `addresses` returns those for callers in the failure domain, if one is named.
    using address_source = std::function<std::vector<endpoint>(const std::optional<failure_domain_id>&)>;

    entries_page(const site_decoder& codec, address_source addresses, milliseconds lifetime)
        : codec(codec), addresses(std::move(addresses)), lifetime(lifetime)
    {
    }
    void handle(const http::request& message, http::response_writer& writer,
                http::yield_context yield) override;

private:
    const site_decoder& codec;
    address_source addresses;
    milliseconds lifetime;
};

/// Answers with the metrics in Prometheus text format.
class metrics_page final : public http::handler
{
public:
    explicit metrics_page(const metric_registry& metrics) : metrics(metrics) {}
    void handle(const http::request& message, http::response_writer& writer,
                http::yield_context yield) override;

private:
    const metric_registry& metrics;
};

} // namespace rml::gateway
