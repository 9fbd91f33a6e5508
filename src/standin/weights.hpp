/// Stand-in of the platform's rate-limited weight store.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/time.hpp"
#include "standin/standin.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace rml::standin {

struct weights_options
{
    std::uint32_t concurrent_loads{4}; ///< further loads are answered 429
    milliseconds load{500};            ///< time of one load
    milliseconds retry_after{250};     ///< in the 429 answer
};

/// The context must run on one thread, and not while the object is destroyed.
class weights_server final : public served_standin
{
public:
    static result<std::unique_ptr<weights_server>>
    create(boost::asio::io_context& context, const endpoint& address, const weights_options& options);

    /// Lines for --help that document POST /faults.
    static std::string fault_help();

private:
    struct state;
    explicit weights_server(std::shared_ptr<state> initial);
};

} // namespace rml::standin
