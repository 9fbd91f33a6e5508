#include "process/gateway_site.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <functional>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

using namespace rml;
using rml::test::gateway_site;

namespace {

// The machine of the daemon and the limits of its configuration. A crowd holds more than the machine has.
constexpr std::uint64_t machine_mb = 96;
constexpr std::uint64_t machine_fds = 400;
constexpr std::uint64_t header_bytes = 16384;
constexpr std::uint64_t body_bytes = 1048576;
/// Resident memory after the crowd has gone.
constexpr std::uint64_t calm_mb = 56;
constexpr std::size_t body_crowd = 150;
constexpr milliseconds crowd_limit{6000};
/// Ends the sending of a crowd whose connections the daemon does not read any more.
constexpr milliseconds unread_limit{700};

/// What one connection of a crowd sends: the head, and then `repeated` as often as stated.
struct client_bytes
{
    std::string head;
    std::string repeated;
    std::size_t times{0};
    std::size_t piece{65536};    ///< bytes per write
    milliseconds pause{0};       ///< between two writes
    int receive_buffer_bytes{0}; ///< 0: that of the system

    std::size_t size() const { return this->head.size() + this->repeated.size() * this->times; }
    /// The bytes from `at` on that one write may send.
    std::string_view part(std::size_t at) const
    {
        const auto rest =
            at < this->head.size()
                ? std::string_view(this->head).substr(at)
                : std::string_view(this->repeated).substr((at - this->head.size()) % this->repeated.size());
        return rest.substr(0, this->piece);
    }
};

/// Open connections that send the same bytes and read nothing.
class crowd
{
public:
    crowd(const endpoint& target, std::size_t size, const client_bytes& bytes) : bytes(bytes)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(target.port);
        ::inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
        for (std::size_t i = 0; i < size; ++i) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            REQUIRE(socket >= 0);
            if (bytes.receive_buffer_bytes > 0) {
                ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes.receive_buffer_bytes, sizeof(int));
            }
            ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
            this->members.push_back({socket});
        }
        this->send();
    }
    ~crowd()
    {
        for (const auto& member : this->members) {
            ::close(member.socket);
        }
    }
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

private:
    struct member
    {
        int socket;
        std::size_t sent{0};
        time_point next{};
        bool closed{false}; ///< by the daemon
    };

    void send()
    {
        const auto end = steady_clock::now() + crowd_limit;
        auto last_progress = steady_clock::now();
        bool sending = true;
        while (sending && steady_clock::now() < end &&
               steady_clock::now() < last_progress + unread_limit + this->bytes.pause) {
            sending = false;
            bool progress = false;
            for (auto& one : this->members) {
                progress = this->send_part(one) || progress;
                sending = sending || (!one.closed && one.sent < this->bytes.size());
            }
            if (progress) {
                last_progress = steady_clock::now();
            } else {
                std::this_thread::sleep_for(milliseconds(1));
            }
        }
    }

    bool send_part(member& one)
    {
        if (one.closed || one.sent == this->bytes.size() || steady_clock::now() < one.next) {
            return false;
        }
        const auto part = this->bytes.part(one.sent);
        const auto count = ::send(one.socket, part.data(), part.size(), MSG_NOSIGNAL);
        if (count < 0) {
            one.closed = errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN;
            return false;
        }
        one.sent += static_cast<std::size_t>(count);
        one.next = steady_clock::now() + this->bytes.pause;
        return true;
    }

    client_bytes bytes;
    std::vector<member> members;
};

/// Peak (VmHWM) or current (VmRSS) resident memory.
std::uint64_t memory_mb(pid_t process, const std::string& field)
{
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.compare(0, field.size(), field) == 0) {
            return std::stoull(line.substr(field.size() + 1)) / 1024;
        }
    }
    return 0;
}

std::uint64_t open_descriptors(pid_t process)
{
    std::error_code code;
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(process) + "/fd", code);
    return static_cast<std::uint64_t>(std::distance(begin(open), end(open)));
}

/// Most descriptors that were open until the memory of the process stayed the same: what a crowd has sent may
/// wait in buffers of the system at first.
std::uint64_t settled_descriptors(pid_t process)
{
    constexpr milliseconds unchanged{400};
    const auto end = steady_clock::now() + seconds(4);
    std::uint64_t most = 0;
    std::uint64_t memory = 0;
    auto changed = steady_clock::now();
    while (steady_clock::now() < std::min(end, changed + unchanged)) {
        most = std::max(most, open_descriptors(process));
        if (const auto current = memory_mb(process, "VmRSS:"); current != memory) {
            memory = current;
            changed = steady_clock::now();
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return most;
}

std::string head(const char* address, const std::string& fields)
{
    const std::string method = std::string(address) == "caller" ? "POST /orders/1" : "GET /ready";
    return method + " HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key-1\r\n" + fields;
}

std::string length(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string short_fields(std::size_t count)
{
    std::string out;
    for (std::size_t i = 0; i < count; ++i) {
        out += "a:\r\n";
    }
    return out;
}

/// One daemon on a small machine.
class crowded_site
{
public:
    crowded_site() : site(1, {{"memory_mb", machine_mb}, {"max_fds", machine_fds}})
    {
        this->site.on_site([this] {
            this->site.site->config["limits"]["maxHeaderBytes"] = header_bytes;
            this->site.site->config["limits"]["maxBodyBytes"] = body_bytes;
            this->site.site->publish();
        });
        const std::string large(body_bytes / 2, 'x');
        REQUIRE(this->site.eventually(
            [&] { return this->site.send(0, this->site.request("GET", "/stock/1", large)).status == 200; }));
    }

    /// Lets the crowd send to the address and checks the daemon while the crowd stays connected and after it
    /// has gone.
    void check(const char* address, std::size_t size, const client_bytes& bytes)
    {
        const auto process = this->site.daemons[0]->id();
        CAPTURE(address);
        {
            const crowd clients(this->site.address(0, address), size, bytes);
            const auto descriptors = settled_descriptors(process);
            const auto peak = memory_mb(process, "VmHWM:");
            CAPTURE(peak, descriptors);
            CHECK(this->site.daemons[0]->running());
            CHECK(peak <= machine_mb);
            CHECK(descriptors <= machine_fds);
            CHECK(this->served());
        }
        CHECK(this->served());
        CHECK(this->site.daemons[0]->running());
        CHECK(this->site.daemons[0]->id() == process);
        CHECK(this->calm(process));
        CHECK(memory_mb(process, "VmHWM:") <= machine_mb);
    }
    /// The same for the address of callers, of the readiness page, of the entry list and of the metrics.
    void check_pages(std::size_t size, const std::function<client_bytes(const char*)>& bytes)
    {
        for (const char* address : {"readiness", "entries", "metrics"}) {
            this->check(address, size, bytes(address));
        }
    }

    gateway_site site;

private:
    bool served()
    {
        return this->site.eventually(
            [&] { return this->site.get(0, "/stock/1").status == 200 && this->site.ready(0); });
    }
    bool calm(pid_t process)
    {
        const auto end = steady_clock::now() + seconds(6);
        while (memory_mb(process, "VmRSS:") > calm_mb && steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(100));
        }
        const auto resident = memory_mb(process, "VmRSS:");
        CAPTURE(resident);
        CHECK(resident <= calm_mb);
        return resident <= calm_mb;
    }
};

client_bytes unfinished_body(const char* address)
{
    return {head(address, length(body_bytes)), std::string(body_bytes - 1, 'x'), 1};
}

client_bytes unfinished_chunk(const char* address)
{
    return {head(address, "Transfer-Encoding: chunked\r\n\r\n100000\r\n"), std::string(body_bytes - 1, 'x'),
            1};
}

} // namespace

TEST_CASE("bodies that stay one byte short do not exhaust the memory", "[process][crowd]")
{
    // Guards against a process that runs out of memory with many bodies of legal size at once.
    crowded_site site;
    SECTION("at a route, in one piece")
    {
        site.check("caller", body_crowd, unfinished_body("caller"));
    }
    SECTION("at a path without a route, in small pieces")
    {
        auto bytes = unfinished_body("caller");
        bytes.head.replace(bytes.head.find("/orders"), 7, "/nowhere");
        bytes.piece = 4000;
        site.check("caller", body_crowd, bytes);
    }
    SECTION("at a route, in chunks")
    {
        site.check("caller", body_crowd, unfinished_chunk("caller"));
    }
    SECTION("at the pages, in one piece")
    {
        site.check_pages(body_crowd, unfinished_body);
    }
    SECTION("at the pages, in chunks")
    {
        site.check_pages(body_crowd, unfinished_chunk);
    }
}

TEST_CASE("bodies far over the limit do not exhaust the memory", "[process][crowd]")
{
    crowded_site site;
    const auto bytes = [](const char* address) {
        return client_bytes{head(address, "Transfer-Encoding: chunked\r\n\r\n"),
                            "10000\r\n" + std::string(0x10000, 'x') + "\r\n", 32 * 16};
    };
    site.check("caller", 60, bytes("caller"));
    site.check_pages(60, bytes);
}

TEST_CASE("heads with very many short fields do not exhaust the memory", "[process][crowd]")
{
    // Guards against the cost of a field in memory, which is many times its size on the network. The heads
    // are complete and their bodies one byte short, so that the requests stay.
    crowded_site site;
    const auto bytes = [](const char* address) {
        return client_bytes{head(address, short_fields(3500) + length(2)), "x", 1};
    };
    site.check("caller", 350, bytes("caller"));
    site.check_pages(350, bytes);
}

TEST_CASE("pipelined requests whose answers nobody reads do not exhaust the memory", "[process][crowd]")
{
    crowded_site site;
    const auto bytes = [](const char* address) {
        client_bytes out{"", head(address, "\r\n"), 3000};
        out.receive_buffer_bytes = 4096;
        return out;
    };
    site.check("caller", 200, bytes("caller"));
    site.check_pages(200, bytes);
}

TEST_CASE("crowds that send slowly exhaust neither descriptors nor memory", "[process][crowd]")
{
    crowded_site site;
    const auto bytes = [](const char* address) {
        client_bytes out{head(address, length(100)), "x", 99};
        out.piece = 1;
        out.pause = milliseconds(20);
        return out;
    };
    site.check("caller", 600, bytes("caller"));
    site.check_pages(600, bytes);
}

TEST_CASE("crowds that read slowly exhaust neither descriptors nor memory", "[process][crowd]")
{
    // Each asks for an answer of half the largest size and does not read it.
    crowded_site site;
    client_bytes bytes{head("caller", length(body_bytes / 2)), std::string(body_bytes / 2, 'x'), 1};
    bytes.head.replace(0, 4, "GET");
    bytes.head.replace(bytes.head.find("/orders"), 7, "/stock");
    bytes.receive_buffer_bytes = 4096;
    site.check("caller", body_crowd, bytes);
}

TEST_CASE("heads that stop half-way exhaust neither descriptors nor memory", "[process][crowd]")
{
    crowded_site site;
    const auto bytes = [](const char* address) {
        return client_bytes{head(address, short_fields(3500) + "b"), "b", 1};
    };
    site.check("caller", 600, bytes("caller"));
    site.check_pages(600, bytes);
}
