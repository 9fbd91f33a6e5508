/// Stand-in of the platform's key-value store: compare-and-swap, leases, watches, faults.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "http/server.hpp"
#include "standin/standin.hpp"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace rml::standin {

/// Calls that arrived, also those that a fault left without an answer.
struct kv_stats
{
    std::uint64_t reads{0};
    std::uint64_t writes{0}; ///< keys and leases
    std::uint64_t watches{0};
    std::uint64_t watches_waiting{0};
    std::uint64_t conflicts{0};
    std::uint64_t lapsed_leases{0};
    std::uint64_t lost_replies{0};
};

/// The store behind its HTTP interface. The context must run on one thread, and not while the object is
/// destroyed.
class kv_server final : public served_standin
{
public:
    static result<std::unique_ptr<kv_server>> create(boost::asio::io_context& context,
                                                     const endpoint& address);
    ~kv_server();

    /// Lines for --help that document POST /faults.
    static std::string fault_help();

private:
    struct state;
    explicit kv_server(const std::shared_ptr<state>& initial);
    std::shared_ptr<state> inner;
};

} // namespace rml::standin
