/// Stand-in of a plain service whose calls must not be repeated. It counts runs per Idempotency-Key.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "http/server.hpp"
#include "standin/standin.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace rml::standin {

/// Answers every call with {"service", "path", "key", "run", "body_hash"}: `run` counts the runs of the key,
/// `body_hash` is the decimal hash64 of the body. The context must run on one thread, and not while the
/// object is destroyed.
class service_server final : public served_standin
{
public:
    static result<std::unique_ptr<service_server>> create(boost::asio::io_context& context,
                                                          const endpoint& address, const std::string& name);

    /// Lines for --help that document POST /faults.
    static std::string fault_help();

private:
    struct state;
    explicit service_server(std::shared_ptr<state> initial);
};

} // namespace rml::standin
