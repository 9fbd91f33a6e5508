/// Map of small items that is replicated at every daemon with epidemic broadcast trees (Plumtree): eager
/// links carry new items at once; lazy links carry summaries, from which a daemon detects items it lacks and
/// requests them. See Leitao, Pereira, Rodrigues, "Epidemic Broadcast Trees", SRDS 2007.
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

/// Orders the writes of one key. A daemon never replaces an item by one with a lower or equal version.
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

/// How the loss of an item is detected.
enum class item_class
{
    durable,  ///< by the hash over the versions of all durable items; such an item changes rarely
    periodic, ///< by its version in each summary; such an item is written about once a second
    transient ///< not at all: the item is useful for seconds only, or is a tombstone
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

/// Makes the link lazy: the receiver sends only summaries over it from now on.
struct prune_message
{
};

/// Version of a periodic item in a summary, 6 bytes when packed. Writers of a periodic item keep incrementing
/// `minor` when `major` changes, so that the low bits of `minor` show how far a copy lags.
struct periodic_mark
{
    std::uint32_t key_hash{0};
    std::uint16_t sequence{0}; ///< low bits of the version's minor part; wraps
};

/// Hash over the versions of all durable items, and the marks of all periodic items.
struct summary_message
{
    std::uint64_t durable_hash{0};
    std::vector<periodic_mark> periodic;
};

/// Requests the items that are newer than the given versions, and makes the link eager.
struct graft_message
{
    bool durable{
        false}; ///< also request all durable items that are newer than `known`, and all periodic items
    std::vector<std::pair<std::uint64_t, item_version>> known; ///< by 64-bit key hash
    std::vector<std::uint32_t> periodic;                       ///< key hashes of the requested items
};

using replication_message = std::variant<push_message, prune_message, summary_message, graft_message>;

struct outgoing_message
{
    link_handle link;
    replication_message message;
};

/// Result of one event.
struct replication_effects
{
    std::vector<outgoing_message> messages;
    std::vector<item> accepted; ///< items that were new to this daemon
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
    /// Adds an eager link and requests all items that are newer at the other end.
    replication_effects create_link(link_handle link);
    void destroy_link(link_handle link);

    /// Writes an item of this daemon and pushes it over the eager links. An item that is not newer is
    /// ignored.
    replication_effects update(const item& written);
    /// Removes an item locally, such as an expired tombstone.
    void destroy(const std::string& key);

    replication_effects receive(link_handle from, const replication_message& message);

    /// Creates the summaries for all links; eager links get only the hash. To be called once a second.
    replication_effects tick();

    const item* find(const std::string& key) const;
    /// Items whose key starts with `prefix`.
    std::vector<const item*> list(const std::string& prefix) const;
    replication_stats stats() const;

private:
    struct link_state
    {
        bool eager{true};
        int mismatches{0}; ///< consecutive summaries with a different durable hash
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
    std::uint64_t versions_hash{0}; ///< XOR of the version hashes of all durable items
    replication_stats counters;
};

} // namespace rml
