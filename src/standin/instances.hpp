/// Stand-in of the platform's instance list. It shows changes late.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/time.hpp"
#include "standin/standin.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace rml::standin {

/// The list is set by PUT /v1/instances with the document that GET answers. The context must run on one
/// thread, and not while the object is destroyed.
class instances_server final : public served_standin
{
public:
    /// `lag`: age at which a change becomes visible. `initial`: a document {"instances": [...]}, visible at
    /// once.
    static result<std::unique_ptr<instances_server>> create(boost::asio::io_context& context,
                                                            const endpoint& address, milliseconds lag,
                                                            const std::string& initial);

    /// Lines for --help that document POST /faults.
    static std::string fault_help();

private:
    struct state;
    explicit instances_server(std::shared_ptr<state> initial);
};

} // namespace rml::standin
