/// A TCP server whose answers are raw bytes from the test, so that they can violate HTTP in any way.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "http/message.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <vector>

namespace rml::test {

/// One connection of a raw_server.
class raw_connection
{
public:
    raw_connection(boost::asio::ip::tcp::socket socket, int number)
        : number(number), socket(std::move(socket))
    {
    }

    void send(const std::string& bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
    }

    /// Sends the bytes again and again, until the client closes the connection or `limit` bytes are sent.
    void send_repeatedly(const std::string& bytes, std::uint64_t limit, milliseconds pause = milliseconds(0))
    {
        boost::system::error_code code;
        for (std::uint64_t sent = 0; !code && sent < limit; sent += bytes.size()) {
            boost::asio::write(this->socket, boost::asio::buffer(bytes), code);
            if (pause.count() > 0) {
                std::this_thread::sleep_for(pause);
            }
        }
    }

    /// Blocks until the client closes the connection.
    void wait_closed()
    {
        char byte = 0;
        boost::system::error_code code;
        while (!code) {
            this->socket.read_some(boost::asio::buffer(&byte, 1), code);
        }
    }

    /// Waits until a part of the next request has arrived. Returns false when the client has closed the
    /// connection.
    bool wait_bytes() { return !this->buffer.empty() || this->receive(); }

    /// Reads one request. Returns false when the client has closed the connection.
    bool read(http::request& out)
    {
        boost::system::error_code code;
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->receive()) {
                return false;
            }
        }
        this->parse(this->buffer.substr(0, end), out);
        this->buffer.erase(0, end + 4);
        const auto length = std::stoul(http::find_header(out.headers, "content-length").value_or("0"));
        while (this->buffer.size() < length) {
            if (!this->receive()) {
                return false;
            }
        }
        out.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return true;
    }

    /// Closes the connection with a reset instead of a FIN.
    void reset()
    {
        const std::scoped_lock lock(this->closing);
        boost::system::error_code ignored;
        this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        this->socket.close(ignored);
    }

    void shutdown()
    {
        const std::scoped_lock lock(this->closing);
        boost::system::error_code ignored;
        this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    }

    const int number; ///< sequence number of the connection, from 1

private:
    bool receive()
    {
        std::string part(4096, '\0');
        boost::system::error_code code;
        const auto count = this->socket.read_some(boost::asio::buffer(part), code);
        this->buffer.append(part, 0, count);
        return !code;
    }

    static void parse(const std::string& head, http::request& out)
    {
        out = {};
        const auto first = head.substr(0, head.find("\r\n"));
        out.method = first.substr(0, first.find(' '));
        out.target = first.substr(first.find(' ') + 1);
        out.target.resize(out.target.find(' '));
        for (auto at = head.find("\r\n"); at != std::string::npos;) {
            const auto next = head.find("\r\n", at + 2);
            const auto line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            const auto colon = line.find(": ");
            out.headers.push_back({line.substr(0, colon), line.substr(colon + 2)});
            at = next;
        }
    }

    boost::asio::ip::tcp::socket socket;
    std::mutex closing; ///< the server shuts its connections down while their scripts may still close them
    std::string buffer;
};

/// Calls the script for each request; closes the connection when the script returns false.
class raw_server
{
public:
    using script = std::function<bool(const http::request&, raw_connection&)>;

    explicit raw_server(script answer)
        : answer(std::move(answer)), acceptor(this->context, {boost::asio::ip::address_v4::loopback(), 0})
    {
        this->accept_thread = std::thread([this] { this->accept(); });
    }

    ~raw_server()
    {
        this->refuse_connections();
        this->accept_thread.join();
        this->end_process();
        for (auto& worker : this->workers) {
            worker.join();
        }
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    /// Refuses further connections; the open ones stay.
    void refuse_connections()
    {
        this->stopped = true;
        // close() does not wake a blocking accept; shutdown() does.
        ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    }

    /// Refuses further connections and closes the open ones, as the end of the process does.
    void end_process()
    {
        this->refuse_connections();
        const std::scoped_lock lock(this->mutex);
        for (const auto& connection : this->connections) {
            connection->shutdown();
        }
    }

    endpoint address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }
    int accepted() const { return this->count; }

private:
    void accept()
    {
        while (!this->stopped) {
            boost::system::error_code code;
            boost::asio::ip::tcp::socket socket(this->context);
            this->acceptor.accept(socket, code);
            if (code) {
                return;
            }
            socket.set_option(boost::asio::ip::tcp::no_delay(true), code);
            auto connection = std::make_shared<raw_connection>(std::move(socket), ++this->count);
            const std::scoped_lock lock(this->mutex);
            this->connections.push_back(connection);
            this->workers.emplace_back([this, connection] {
                http::request message;
                while (connection->read(message) && this->answer(message, *connection)) {
                }
                connection->shutdown();
            });
        }
    }

    script answer;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> stopped{false};
    std::atomic<int> count{0};
    std::mutex mutex;
    std::vector<std::shared_ptr<raw_connection>> connections;
    std::vector<std::thread> workers;
    std::thread accept_thread;
};

/// An address that refuses connections. The port stays bound, so that no other process can listen on it.
class closed_address
{
public:
    closed_address() : acceptor(context)
    {
        this->acceptor.open(boost::asio::ip::tcp::v4());
        this->acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    }

    endpoint address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
};

/// The bytes `count` times in a row.
inline std::string times(std::size_t count, const std::string& bytes)
{
    std::string out;
    for (std::size_t i = 0; i < count; ++i) {
        out += bytes;
    }
    return out;
}

/// One chunk of a chunked body.
inline std::string chunk(const std::string& data)
{
    static const char* const digits = "0123456789abcdef";
    std::string size;
    for (auto rest = data.size(); rest > 0; rest /= 16) {
        size.insert(size.begin(), digits[rest % 16]);
    }
    return size + "\r\n" + data + "\r\n";
}

inline const std::string last_chunk = "0\r\n\r\n";

/// Complete response with a content-length.
inline std::string whole_answer(const std::string& status, const std::string& headers,
                                const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "content-length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace rml::test
