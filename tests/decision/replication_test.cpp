#include "decision/replication.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck/catch.h>
#include <set>

using namespace rml;

namespace {

/// Several replicas. Messages of different links are delivered in random order and may be lost.
class replica_network
{
public:
    explicit replica_network(std::size_t count) : nodes(count), versions(count) {}

    void connect(std::size_t a, std::size_t b)
    {
        if (a == b || !this->edges.insert({std::min(a, b), std::max(a, b)}).second) {
            return;
        }
        this->collect(a, this->nodes[a].create_link(link_handle{b}));
        this->collect(b, this->nodes[b].create_link(link_handle{a}));
    }

    void write(std::size_t at, const item& written) { this->collect(at, this->nodes[at].update(written)); }

    /// Delivers or drops one queued message of the link that `pick` selects; messages of one link stay in
    /// order.
    void deliver_one(std::size_t pick, bool lose)
    {
        if (this->queues.empty()) {
            return;
        }
        auto entry = this->queues.begin();
        std::advance(entry, static_cast<std::ptrdiff_t>(pick % this->queues.size()));
        const auto [from, to] = entry->first;
        const auto message = entry->second.front();
        entry->second.pop_front();
        if (entry->second.empty()) {
            this->queues.erase(entry);
        }
        if (!lose) {
            this->collect(to, this->nodes[to].receive(link_handle{from}, message));
        }
    }

    void deliver_all()
    {
        while (!this->queues.empty()) {
            this->deliver_one(0, false);
        }
    }

    /// Runs rounds in which all replicas send summaries and all messages are delivered.
    void settle(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                this->collect(i, this->nodes[i].tick());
            }
            this->deliver_all();
        }
    }

    std::vector<replication> nodes;
    bool reverted{false};
    std::uint64_t items_received{0};

private:
    void collect(std::size_t at, replication_effects effects)
    {
        for (const auto& accepted : effects.accepted) {
            auto& last = this->versions[at][accepted.key];
            this->reverted = this->reverted || !(last < accepted.version);
            last = accepted.version;
        }
        for (auto& out : effects.messages) {
            if (const auto* push = std::get_if<push_message>(&out.message)) {
                this->items_received += push->items.size();
            }
            this->queues[{at, out.link.index}].push_back(std::move(out.message));
        }
    }

    std::set<std::pair<std::size_t, std::size_t>> edges;
    std::map<std::pair<std::size_t, std::size_t>, std::deque<replication_message>> queues;
    std::vector<std::map<std::string, item_version>> versions;
};

void connect_ring_with_chords(replica_network& network, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        network.connect(i, (i + 1) % count);
        network.connect(i, (i * 7 + 3) % count);
    }
}

} // namespace

TEST_CASE("replicas converge on the newest items despite lost messages", "[replication]")
{
    // Guards against an item that is lost on the eager links and never recovered, and against a replica that
    // returns to an older version.
    rc::prop("every replica ends with the highest version of every key", [] {
        const auto count = *rc::gen::inRange<std::size_t>(2, 12);
        replica_network network(count);
        connect_ring_with_chords(network, count);
        network.deliver_all();
        std::map<std::string, item_version> expected;
        const auto steps = *rc::gen::inRange(5, 80);
        for (int step = 0; step < steps; ++step) {
            const auto action = *rc::gen::inRange(0, 4);
            if (action == 0) {
                const auto key = std::string("key") + std::to_string(*rc::gen::inRange(0, 4));
                const item_version version{*rc::gen::inRange<std::uint64_t>(1, 9), 0};
                network.write(*rc::gen::inRange<std::size_t>(0, count),
                              item{key, version, item_class::durable, std::to_string(version.major)});
                expected[key] = std::max(expected[key], version);
            } else {
                network.deliver_one(*rc::gen::inRange<std::size_t>(0, 1000), action == 3);
            }
        }
        // No messages are lost from here on. Two summaries over one link repair a loss.
        network.settle(static_cast<int>(count) * 4 + 4);
        RC_ASSERT(!network.reverted);
        for (const auto& node : network.nodes) {
            for (const auto& [key, version] : expected) {
                const auto* found = node.find(key);
                RC_ASSERT(found != nullptr);
                RC_ASSERT(found->version == version);
            }
        }
    });
}

TEST_CASE("the eager links converge to a tree on which each replica receives an item about once",
          "[replication]")
{
    // Guards against flooding: with four eager links a daemon would receive each item up to four times.
    constexpr std::size_t count = 60;
    replica_network network(count);
    connect_ring_with_chords(network, count);
    network.deliver_all();
    for (std::uint64_t second = 1; second <= 20; ++second) {
        network.write(0, item{"digest/a", {1, second}, item_class::periodic, "x"});
        network.deliver_all();
        network.settle(1);
    }
    const auto before = network.items_received;
    for (std::uint64_t second = 21; second <= 30; ++second) {
        network.write(0, item{"digest/a", {1, second}, item_class::periodic, "x"});
        network.deliver_all();
        network.settle(1);
    }
    const auto per_item = static_cast<double>(network.items_received - before) / 10.0;
    CHECK(per_item >= count - 1);
    CHECK(per_item <= 1.1 * count);
}

TEST_CASE("a periodic item that no longer arrives over the eager link is requested over a lazy one",
          "[replication]")
{
    // Guards against an eager link that stalls without an error.
    replication receiver;
    receiver.create_link(link_handle{1});
    receiver.receive(link_handle{1}, push_message{{item{"digest/a", {1, 5}, item_class::periodic, "x"}}});
    receiver.create_link(link_handle{2});
    receiver.receive(link_handle{2}, prune_message{});
    replication sender;
    sender.update(item{"digest/a", {1, 6}, item_class::periodic, "x"});
    const auto summary_of = [&] {
        sender.create_link(link_handle{9});
        sender.receive(link_handle{9}, prune_message{});
        return sender.tick().messages.back().message;
    };
    SECTION("a lag of one interval is tolerated")
    {
        CHECK(receiver.receive(link_handle{2}, summary_of()).messages.empty());
    }
    SECTION("a lag of two intervals causes a graft")
    {
        sender.update(item{"digest/a", {1, 7}, item_class::periodic, "x"});
        const auto effects = receiver.receive(link_handle{2}, summary_of());
        REQUIRE(effects.messages.size() == 1);
        CHECK(std::get<graft_message>(effects.messages.front().message).periodic.size() == 1);
    }
}
