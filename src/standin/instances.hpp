/// Stand-in of the platform's instance list. It shows changes late.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/time.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace rml::standin {

/// The list is set by PUT /v1/instances with the document that GET answers. The context must run on one
/// thread, and not while the object is destroyed.
class instances_server
{
public:
    /// `lag`: age at which a change becomes visible. `initial`: a document {"instances": [...]}, visible at
    /// once.
    static result<std::unique_ptr<instances_server>> create(boost::asio::io_context& context,
                                                            const endpoint& listen, milliseconds lag,
                                                            const std::string& initial);
    ~instances_server();
    instances_server(const instances_server&) = delete;
    instances_server& operator=(const instances_server&) = delete;

    endpoint local() const;
    void stop();

    /// Lines for --help that document POST /faults.
    static std::string fault_help();

private:
    struct state;
    explicit instances_server(std::shared_ptr<state> initial);
    std::shared_ptr<state> inner;
};

} // namespace rml::standin
