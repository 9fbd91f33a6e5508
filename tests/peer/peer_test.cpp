#include "base/limits.hpp"
#include "peer/messages.hpp"
#include "peer/transport.hpp"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <rapidcheck/catch.h>
#include <thread>

using namespace rml;
using namespace rml::peer;

namespace {

std::vector<message> sample_messages()
{
    return {challenge_message{1, "nonce"},
            hello_message{1, daemon_id("entry-1"), 7, region_id("r"), failure_domain_id("d"), 3,
                          link_purpose::direct, "n", "m"},
            keepalive_message{4},
            config_request_message{},
            push_message{{item{"config", {3, 0}, item_class::durable, std::string("\x00\xff", 2)}}},
            prune_message{},
            summary_message{99, {{5, 2}, {70000, 65535}}},
            graft_message{true, {{6, {7, 8}}}, {9}},
            observe_message{failure_domain_id("d"), "reports"},
            observe_request_message{failure_domain_id("d")},
            slot_request{1, group_id("g"), 2, slot_kind::trial, 3},
            slot_grant{1, 2, milliseconds(3000), true},
            slot_release{1, group_id("g"), 2, slot_kind::ramp, 2, 1, 1},
            quota_request{1, account_id("a"), 2.5},
            quota_grant{1, account_id("a"), 2.5, milliseconds(3000)}};
}

/// Records the events of a transport; tests can wait for them.
class recording_events final : public link_events
{
public:
    void link_opened(link_handle link, const hello_message& remote) override
    {
        this->record([&] {
            this->opened.push_back(remote.daemon);
            this->links.push_back(link);
        });
    }
    void message_received(link_handle, const message& received) override
    {
        this->record([&] { this->received.push_back(received); });
    }
    void link_closed(link_handle, const failure& reason) override
    {
        this->record([&] { this->closed.push_back(reason); });
    }

    template <class Condition>
    bool wait_for(Condition condition)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, seconds(20), [&] { return condition(*this); });
    }

    std::vector<daemon_id> opened;
    std::vector<link_handle> links;
    std::vector<message> received;
    std::vector<failure> closed;

private:
    template <class Change>
    void record(Change change)
    {
        const std::lock_guard guard(this->mutex);
        change();
        this->changed.notify_all();
    }

    std::mutex mutex;
    std::condition_variable changed;
};

struct node
{
    node(boost::asio::io_context& context, const char* name, const char* secret)
    {
        transport_options options;
        options.listen = {"127.0.0.1", 0};
        options.secret = secret;
        auto created = create_websocket_transport(
            context, options,
            [name] {
                hello_message hello;
                hello.daemon = daemon_id(name);
                return hello;
            },
            this->events);
        REQUIRE(succeeded(created));
        this->links = value(std::move(created));
    }

    recording_events events;
    std::unique_ptr<transport> links;
};

} // namespace

TEST_CASE("peer messages are unchanged by encoding and decoding", "[peer]")
{
    for (const auto& sample : sample_messages()) {
        const auto bytes = encode(sample);
        const auto decoded = decode(bytes);
        REQUIRE(succeeded(decoded));
        CHECK(encode(value(decoded)) == bytes);
    }
    SECTION("damaged frames are decoded or fail with a typed error")
    {
        rc::prop("a frame with changed or missing bytes never crashes the decoder", [] {
            auto bytes = encode(*rc::gen::elementOf(sample_messages()));
            const auto changes = *rc::gen::inRange(1, 5);
            for (int i = 0; i < changes; ++i) {
                bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                    static_cast<char>(*rc::gen::inRange(0, 256));
            }
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            const auto decoded = decode(bytes);
            // RC_ASSERT does not short-circuit, so the condition is computed first.
            const bool typed = succeeded(decoded) || error(decoded).kind == failure_kind::malformed ||
                               error(decoded).kind == failure_kind::not_found;
            RC_ASSERT(typed);
        });
    }
    SECTION("a frame of nested arrays is malformed")
    {
        const auto decoded = decode(std::string(limits::peer_frame_bytes, static_cast<char>(0x81)));
        REQUIRE(failed(decoded));
        CHECK(error(decoded).kind == failure_kind::malformed);
    }
    SECTION("an oversized frame is refused before it is parsed")
    {
        const auto decoded = decode(std::string(limits::peer_frame_bytes + 1, 'x'));
        REQUIRE(failed(decoded));
        CHECK(error(decoded).kind == failure_kind::too_large);
    }
}

TEST_CASE("daemons link only with a peer that authenticates with the shared secret", "[peer]")
{
    boost::asio::io_context context;
    auto work = boost::asio::make_work_guard(context);
    node first(context, "entry-1", "secret");
    std::thread worker([&] { context.run(); });

    SECTION("two daemons with the same secret exchange messages both ways")
    {
        node second(context, "entry-2", "secret");
        second.links->create_link(first.links->local(), link_purpose::overlay);
        REQUIRE(first.events.wait_for([](auto& events) { return !events.opened.empty(); }));
        REQUIRE(second.events.wait_for([](auto& events) { return !events.opened.empty(); }));
        CHECK(first.events.opened.front() == daemon_id("entry-2"));
        CHECK(second.events.opened.front() == daemon_id("entry-1"));
        first.links->send(first.events.links.front(), keepalive_message{3});
        second.links->send(second.events.links.front(), keepalive_message{4});
        REQUIRE(first.events.wait_for([](auto& events) { return !events.received.empty(); }));
        REQUIRE(second.events.wait_for([](auto& events) { return !events.received.empty(); }));
        CHECK(std::get<keepalive_message>(first.events.received.front()).generation == 4);
        second.links->destroy_link(second.events.links.front());
        CHECK(first.events.wait_for([](auto& events) { return !events.closed.empty(); }));
        second.links->stop();
        first.links->stop();
        work.reset();
        context.stop();
        worker.join();
    }
    SECTION("a daemon with another secret is rejected")
    {
        node second(context, "entry-2", "other");
        second.links->create_link(first.links->local(), link_purpose::overlay);
        REQUIRE(second.events.wait_for([](auto& events) { return !events.closed.empty(); }));
        CHECK(first.events.opened.empty());
        CHECK(second.events.opened.empty());
        CHECK(first.links->stats().unauthorized == 1);
        second.links->stop();
        first.links->stop();
        work.reset();
        context.stop();
        worker.join();
    }
}
