/// HTTP handler of the daemon's operator interface (docs/protocols.md).
#pragma once

#include "http/server.hpp"
#include "objects/objects.hpp"

#include <string>

namespace rml {

/// Daemon functions behind the operator interface. Calls may suspend the coroutine.
class operator_service
{
public:
    operator_service() = default;
    operator_service(const operator_service&) = delete;
    operator_service& operator=(const operator_service&) = delete;
    virtual ~operator_service() = default;

    /// JSON body of `GET /operator/status`.
    virtual std::string status_document(http::yield_context yield) = 0;
    /// JSON body of `GET /operator/burn`.
    virtual std::string burn_document(http::yield_context yield) = 0;
    /// Puts a delivered set in force unless it is older than the current one. Returns the generation in
    /// force.
    virtual std::uint64_t deliver(object_set set, http::yield_context yield) = 0;
};

class operator_handler final : public http::handler
{
public:
    operator_handler(operator_service& service, std::string token) : service(service), token(std::move(token))
    {
    }

    void handle(const http::request& message, http::response_writer& writer,
                http::yield_context yield) override;

private:
    bool authorized(const http::request& message) const;

    operator_service& service;
    std::string token;
};

} // namespace rml
