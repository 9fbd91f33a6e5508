/// HTTP handlers of a daemon for readiness, entry addresses and metrics.
#pragma once

#include "base/metrics.hpp"
#include "gateway/ports.hpp"
#include "http/server.hpp"

#include <functional>
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
    entries_page(const site_decoder& encoder, std::function<std::vector<endpoint>()> addresses,
                 milliseconds lifetime)
        : encoder(encoder), addresses(std::move(addresses)), lifetime(lifetime)
    {
    }
    void handle(const http::request& message, http::response_writer& writer,
                http::yield_context yield) override;

private:
    const site_decoder& encoder;
    std::function<std::vector<endpoint>()> addresses;
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
