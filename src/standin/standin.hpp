/// What the stand-ins share: control calls, pauses, and the main function of their programs.
#pragma once

#include "base/command_line.hpp"
#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/time.hpp"
#include "http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace rml::standin {

using http::yield_context;

/// A stand-in that serves one socket. The context must run on one thread, and not while the object is
/// destroyed.
class served_standin
{
public:
    served_standin(const served_standin&) = delete;
    served_standin& operator=(const served_standin&) = delete;

    endpoint local() const;
    void stop();

protected:
    explicit served_standin(std::shared_ptr<http::handler> calls) : handler(std::move(calls)) {}
    ~served_standin() = default;

    /// Fails as http::server::create does.
    status listen(boost::asio::io_context& context, const endpoint& address);
    /// Closes the socket; the handler gets no further calls.
    void close() { this->server.reset(); }

private:
    std::shared_ptr<http::handler> handler; ///< outlives the server
    std::unique_ptr<http::server> server;
};

/// Waits inside a coroutine.
void sleep_for(milliseconds time, yield_context yield);

/// A number of times that a fault still strikes; negative: always.
class fault_count
{
public:
    void update(std::int64_t times) { this->left = times; }
    /// True when the fault strikes now.
    bool strike();

private:
    std::int64_t left{0};
};

/// Reads a JSON object body. Fails with `malformed`.
result<nlohmann::json> read_object(const std::string& body);

/// Takes the known keys of a fault object and refuses any other, so that a misspelt fault is noticed.
class fault_reader
{
public:
    explicit fault_reader(const nlohmann::json& object);

    void take(const char* key, bool& out);
    void take(const char* key, std::int64_t& out);
    void take(const char* key, milliseconds& out);
    void take(const char* key, std::string& out);
    /// true: always, false: never, a number: that many times.
    void take(const char* key, fault_count& out);

    /// Fails with `malformed` when a value has a wrong type or a key was not taken.
    status finish() const;

private:
    const nlohmann::json* find(const char* key);

    const nlohmann::json& object;
    std::size_t taken{0};
    std::string wrong;
};

/// 200, or 400 with the failure's context.
http::response control_answer(const status& outcome);

/// One header value as a number, or `fallback`.
std::int64_t number_or(std::optional<std::string> text, std::int64_t fallback);

/// Binds the stand-in's sockets and returns their addresses.
using program_start = std::function<result<std::vector<endpoint>>(const endpoint& listen)>;

/// Parses --listen, --help, --version and the program's own options, calls `start`, prints "listening
/// <ip>:<port>" per address, runs the context on this thread until SIGINT or SIGTERM. Returns the exit code.
int run_program(boost::asio::io_context& context, command_line& line, int argc, const char** argv,
                const program_start& start);

} // namespace rml::standin
