#include "decision/replication.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <unordered_map>

namespace rml {

namespace {

std::uint32_t short_key_hash(const std::string& key)
{
    return static_cast<std::uint32_t>(hash64(key));
}

std::uint64_t version_hash(const item& entry)
{
    const std::uint64_t numbers[] = {entry.version.major, entry.version.minor};
    return hash64({reinterpret_cast<const char*>(numbers), sizeof numbers}, hash64(entry.key));
}

// A periodic item may lag by one interval while its next version is in flight on the eager links.
constexpr std::int16_t tolerated_periodic_lag = 1;
// The hashes differ whenever a durable item is in flight, so a single mismatch is no sign of a loss.
constexpr int tolerated_mismatches = 1;

} // namespace

bool replication::store(const item& written)
{
    const auto found = this->items.find(written.key);
    if (found == this->items.end()) {
        this->items.emplace(written.key, written);
    } else {
        if (!(found->second.version < written.version)) {
            return false;
        }
        if (found->second.kind == item_class::durable) {
            this->versions_hash ^= version_hash(found->second);
        }
        found->second = written;
    }
    if (written.kind == item_class::durable) {
        this->versions_hash ^= version_hash(written);
    }
    if (written.kind == item_class::periodic) {
        this->periodic_keys[short_key_hash(written.key)] = written.key;
    }
    return true;
}

void replication::push_to_eager(const std::vector<item>& new_items, std::optional<link_handle> except,
                                replication_effects& effects)
{
    for (const auto& [link, state] : this->links) {
        if (state.eager && !(except && *except == link)) {
            effects.messages.push_back({link, push_message{new_items}});
            this->counters.pushed += new_items.size();
        }
    }
}

std::uint64_t replication::durable_hash() const
{
    return this->versions_hash;
}

graft_message replication::make_graft(bool durable, std::vector<std::uint32_t> periodic) const
{
    graft_message graft;
    graft.durable = durable;
    graft.periodic = std::move(periodic);
    if (durable) {
        for (const auto& [key, entry] : this->items) {
            if (entry.kind == item_class::durable) {
                graft.known.emplace_back(hash64(key), entry.version);
            }
        }
    }
    return graft;
}

replication_effects replication::create_link(link_handle link)
{
    replication_effects effects;
    this->links[link] = link_state{};
    effects.messages.push_back({link, this->make_graft(true, {})});
    return effects;
}

void replication::destroy_link(link_handle link)
{
    this->links.erase(link);
}

replication_effects replication::update(const item& written)
{
    replication_effects effects;
    if (this->store(written)) {
        this->push_to_eager({written}, std::nullopt, effects);
    }
    return effects;
}

void replication::destroy(const std::string& key)
{
    const auto found = this->items.find(key);
    if (found == this->items.end()) {
        return;
    }
    if (found->second.kind == item_class::durable) {
        this->versions_hash ^= version_hash(found->second);
    }
    this->periodic_keys.erase(short_key_hash(key));
    this->items.erase(found);
}

replication_effects replication::receive(link_handle from, const replication_message& message)
{
    replication_effects effects;
    const auto link = this->links.find(from);
    if (link == this->links.end()) {
        return effects;
    }
    if (const auto* push = std::get_if<push_message>(&message)) {
        this->on_push(from, *push, effects);
    } else if (std::holds_alternative<prune_message>(message)) {
        link->second.eager = false;
    } else if (const auto* summary = std::get_if<summary_message>(&message)) {
        this->on_summary(from, *summary, effects);
    } else if (const auto* graft = std::get_if<graft_message>(&message)) {
        this->on_graft(from, *graft, effects);
    }
    return effects;
}

void replication::on_push(link_handle from, const push_message& message, replication_effects& effects)
{
    for (const auto& entry : message.items) {
        if (this->store(entry)) {
            effects.accepted.push_back(entry);
        } else {
            ++this->counters.duplicates;
        }
    }
    auto& link = this->links.at(from);
    if (!effects.accepted.empty()) {
        link.eager = true;
        this->push_to_eager(effects.accepted, from, effects);
        return;
    }
    // All items were known, so another link delivers them faster and this one can become lazy.
    if (!message.items.empty() && link.eager) {
        link.eager = false;
        ++this->counters.prunes;
        effects.messages.push_back({from, prune_message{}});
    }
}

void replication::on_summary(link_handle from, const summary_message& message, replication_effects& effects)
{
    auto& link = this->links.at(from);
    link.mismatches = message.durable_hash == this->durable_hash() ? 0 : link.mismatches + 1;
    const bool durable = link.mismatches > tolerated_mismatches;
    std::vector<std::uint32_t> missing;
    for (const auto& [key_hash, sequence] : message.periodic) {
        const auto known = this->periodic_keys.find(key_hash);
        if (known == this->periodic_keys.end()) {
            missing.push_back(key_hash);
            continue;
        }
        const auto own = static_cast<std::uint16_t>(this->items.at(known->second).version.minor);
        if (static_cast<std::int16_t>(sequence - own) > tolerated_periodic_lag) {
            missing.push_back(key_hash);
        }
    }
    if (!durable && missing.empty()) {
        return;
    }
    link.mismatches = 0;
    link.eager = true;
    ++this->counters.grafts;
    effects.messages.push_back({from, this->make_graft(durable, std::move(missing))});
}

void replication::on_graft(link_handle from, const graft_message& message, replication_effects& effects)
{
    this->links.at(from).eager = true;
    push_message answer;
    if (message.durable) {
        std::unordered_map<std::uint64_t, item_version> known(message.known.begin(), message.known.end());
        for (const auto& [key, entry] : this->items) {
            if (entry.kind == item_class::transient) {
                continue;
            }
            const auto found = known.find(hash64(key));
            if (found == known.end() || found->second < entry.version) {
                answer.items.push_back(entry);
            }
        }
    }
    for (const auto key_hash : message.periodic) {
        if (const auto key = this->periodic_keys.find(key_hash); key != this->periodic_keys.end()) {
            answer.items.push_back(this->items.at(key->second));
        }
    }
    if (!answer.items.empty()) {
        this->counters.pushed += answer.items.size();
        effects.messages.push_back({from, std::move(answer)});
    }
}

replication_effects replication::tick()
{
    replication_effects effects;
    summary_message summary;
    summary.durable_hash = this->durable_hash();
    for (const auto& [key_hash, key] : this->periodic_keys) {
        summary.periodic.push_back({key_hash, static_cast<std::uint16_t>(this->items.at(key).version.minor)});
    }
    for (const auto& [link, state] : this->links) {
        // Eager links carry the hash too: each end may have items that the other end lost before the link
        // existed.
        effects.messages.push_back({link, state.eager ? summary_message{summary.durable_hash, {}} : summary});
    }
    return effects;
}

const item* replication::find(const std::string& key) const
{
    const auto found = this->items.find(key);
    return found == this->items.end() ? nullptr : &found->second;
}

std::vector<const item*> replication::list(const std::string& prefix) const
{
    std::vector<const item*> found;
    for (auto entry = this->items.lower_bound(prefix);
         entry != this->items.end() && entry->first.compare(0, prefix.size(), prefix) == 0; ++entry) {
        found.push_back(&entry->second);
    }
    return found;
}

replication_stats replication::stats() const
{
    auto current = this->counters;
    current.items = this->items.size();
    current.eager_links = static_cast<std::size_t>(std::count_if(
        this->links.begin(), this->links.end(), [](const auto& entry) { return entry.second.eager; }));
    return current;
}

} // namespace rml
