/// Replicated map of small items at every daemon, spread by epidemic broadcast trees: new items go at once
/// over eager links, lazy links carry summaries from which lost items are recovered. Source of the method:
/// Leitao, Pereira, Rodrigues, "Epidemic Broadcast Trees", SRDS 2007.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace rml {

/// Order of two writes of one key. A daemon never replaces an item by one of a lower or equal version.
struct item_version
{
    std::uint64_t major{0};
    std::uint64_t minor{0};

    friend bool operator==(const item_version& a, const item_version& b)
    {
        return a.major == b.major && a.minor == b.minor;
    }
    friend bool operator<(const item_version& a, const item_version& b)
    {
        return a.major != b.major ? a.major < b.major : a.minor < b.minor;
    }
};

/// How losses of an item are noticed.
enum class item_class
{
    durable,  ///< covered by the hash of all versions; changes seldom
    periodic, ///< written again every second or so; its version is named in each summary
    transient ///< not recovered: useful for seconds only, or a tombstone
};

struct item
{
    std::string key;
    item_version version;
    item_class kind{item_class::durable};
    std::string payload;
};

/// Handle of a link to another daemon, unique within the process.
struct link_handle
{
    std::uint64_t index{0};

    friend bool operator==(const link_handle& a, const link_handle& b) { return a.index == b.index; }
    friend bool operator<(const link_handle& a, const link_handle& b) { return a.index < b.index; }
};

/// New items.
struct push_message
{
    std::vector<item> items;
};

/// The receiver sends items over this link no more, only summaries.
struct prune_message
{
};

/// A periodic item in a summary: 6 bytes packed. Writers of a periodic item continue its `minor` over changes
/// of `major`, so that the low bits of `minor` tell how far a copy is behind.
struct periodic_mark
{
    std::uint32_t key_hash{0};
    std::uint16_t sequence{0}; ///< low bits of the version's minor part; wraps
};

/// Hash of all durable versions and the marks of all periodic items.
struct summary_message
{
    std::uint64_t durable_hash{0};
    std::vector<periodic_mark> periodic;
};

/// Asks for the items that are newer than the versions named here and turns the link eager.
struct graft_message
{
    bool durable{false}; ///< also asks for durable items newer than `known`
    std::vector<std::pair<std::uint64_t, item_version>> known; ///< by 64-bit key hash
    std::vector<std::uint32_t> periodic;                       ///< key hashes asked for
};

using replication_message = std::variant<push_message, prune_message, summary_message, graft_message>;

struct outgoing_message
{
    link_handle link;
    replication_message message;
};

/// What one event leads to.
struct replication_effects
{
    std::vector<outgoing_message> messages;
    std::vector<item> accepted; ///< items that are new here
};

struct replication_stats
{
    std::uint64_t pushed{0};
    std::uint64_t duplicates{0};
    std::uint64_t prunes{0};
    std::uint64_t grafts{0};
    std::size_t items{0};
    std::size_t eager_links{0};
};

/// The map and the state of the links. Not thread-safe.
class replication
{
public:
    /// Registers a link as eager and asks the other side for whatever is newer there.
    replication_effects create_link(link_handle link);
    void destroy_link(link_handle link);

    /// Writes an item of one's own and pushes it. An item that is not newer has no effect.
    replication_effects update(const item& written);
    /// Drops an item locally, such as a tombstone that has expired.
    void destroy(const std::string& key);

    replication_effects receive(link_handle from, const replication_message& message);

    /// Summaries for the lazy links. Called once a second.
    replication_effects tick();

    const item* find(const std::string& key) const;
    /// Items whose key starts with `prefix`.
    std::vector<const item*> list(const std::string& prefix) const;
    replication_stats stats() const;

private:
    struct link_state
    {
        bool eager{true};
        int mismatches{0}; ///< consecutive summaries with another durable hash
    };

    bool store(const item& written);
    void push_to_eager(const std::vector<item>& items, std::optional<link_handle> except,
                       replication_effects& effects);
    std::uint64_t durable_hash() const;
    graft_message make_graft(bool durable, std::vector<std::uint32_t> periodic) const;
    void on_push(link_handle from, const push_message& message, replication_effects& effects);
    void on_summary(link_handle from, const summary_message& message, replication_effects& effects);
    void on_graft(link_handle from, const graft_message& message, replication_effects& effects);

    std::map<std::string, item> items;
    std::unordered_map<std::uint32_t, std::string> periodic_keys; ///< key hash to key
    std::map<link_handle, link_state> links;
    std::uint64_t versions_hash{0}; ///< XOR over the durable items, updated with each write
    replication_stats counters;
};

} // namespace rml
