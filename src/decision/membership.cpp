#include "decision/membership.hpp"

#include "base/bounded_cbor.hpp"
#include "base/hash.hpp"
#include "base/limits.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rml {

namespace {

constexpr std::string_view member_prefix = "member/";
constexpr std::string_view suspicion_prefix = "suspicion/";
constexpr std::uint64_t region_ring_seed = 1;
constexpr std::uint64_t global_ring_seed = 2;
// Long enough to reconnect to dead members after a partition of an hour.
constexpr std::chrono::hours dead_member_lifetime{3};

std::string to_payload(const nlohmann::json& document)
{
    const auto bytes = nlohmann::json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

item encode_suspicion(const daemon_id& about, const daemon_id& by, std::uint64_t incarnation, time_point now)
{
    const auto sequence = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    return item{std::string(suspicion_prefix) + about.str() + "/" + by.str(),
                {incarnation, static_cast<std::uint64_t>(sequence)},
                item_class::transient,
                to_payload({about.str(), by.str()})};
}

/// Successor of `self` on the ring of `seed` among the members for which `include` holds, or null.
template <class Include>
const member_record* ring_successor(const member_record& self,
                                    const std::map<daemon_id, member_record>& members, std::uint64_t seed,
                                    Include include)
{
    const auto own = hash64(self.id.str(), seed);
    const member_record* best = nullptr;
    std::uint64_t best_distance = 0;
    for (const auto& [id, member] : members) {
        if (id == self.id || member.state == member_state::dead || !include(member)) {
            continue;
        }
        const auto distance = hash64(id.str(), seed) - own; // wraps around the ring
        if (best == nullptr || distance < best_distance) {
            best = &member;
            best_distance = distance;
        }
    }
    return best;
}

} // namespace

item encode_member(const member_record& record)
{
    return item{std::string(member_prefix) + record.id.str(),
                {record.incarnation, static_cast<std::uint64_t>(record.state)},
                record.state == member_state::dead ? item_class::transient : item_class::durable,
                to_payload({record.id.str(), record.region.str(), record.failure_domain.str(),
                            to_string(record.peer_address), to_string(record.caller_address)})};
}

result<member_record> decode_member(const item& entry)
{
    try {
        const auto document = decode_bounded_cbor(entry.payload);
        member_record record;
        record.id = daemon_id(document.at(0).get<std::string>());
        record.incarnation = entry.version.major;
        record.region = region_id(document.at(1).get<std::string>());
        record.failure_domain = failure_domain_id(document.at(2).get<std::string>());
        const auto peer = parse_endpoint(document.at(3).get<std::string>());
        const auto caller = parse_endpoint(document.at(4).get<std::string>());
        if (failed(peer) || failed(caller) || entry.version.minor > 2 ||
            entry.key != std::string(member_prefix) + record.id.str()) {
            return failure{failure_kind::malformed, "invalid member item " + entry.key};
        }
        record.state = static_cast<member_state>(entry.version.minor);
        record.peer_address = value(peer);
        record.caller_address = value(caller);
        return record;
    } catch (const nlohmann::json::exception& e) {
        return failure{failure_kind::malformed, std::string("invalid member item: ") + e.what()};
    }
}

membership::membership(member_record self) : own(std::move(self))
{
    this->members.emplace(this->own.id, this->own);
}

std::vector<member_record> membership::live() const
{
    std::vector<member_record> found;
    for (const auto& [id, member] : this->members) {
        if (member.state != member_state::dead) {
            found.push_back(member);
        }
    }
    return found;
}

std::vector<member_record> membership::entries() const
{
    auto found = this->live();
    found.erase(
        std::remove_if(found.begin(), found.end(),
                       [](const member_record& member) { return member.state != member_state::alive; }),
        found.end());
    return found;
}

const member_record* membership::find(const daemon_id& id) const
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

item membership::announce() const
{
    return encode_member(this->own);
}

item membership::leave()
{
    this->own.state = member_state::leaving;
    this->members.at(this->own.id) = this->own;
    return encode_member(this->own);
}

std::vector<item> membership::receive(const item& accepted, time_point now)
{
    if (accepted.key.compare(0, member_prefix.size(), member_prefix) == 0) {
        return this->apply_member(accepted, now);
    }
    if (accepted.key.compare(0, suspicion_prefix.size(), suspicion_prefix) == 0) {
        const auto document = decode_bounded_cbor(accepted.payload);
        if (!document.is_array() || document.size() != 2 || !document[0].is_string() ||
            !document[1].is_string()) {
            return {};
        }
        return this->record_suspicion(daemon_id(document[0].get<std::string>()),
                                      daemon_id(document[1].get<std::string>()), accepted.version.major, now);
    }
    return {};
}

std::vector<item> membership::apply_member(const item& accepted, time_point now)
{
    const auto decoded = decode_member(accepted);
    if (failed(decoded)) {
        return {};
    }
    const auto& record = value(decoded);
    if (record.id == this->own.id) {
        const bool newer = record.incarnation > this->own.incarnation;
        const bool declared_dead =
            record.incarnation == this->own.incarnation && record.state > this->own.state;
        if (!newer && !declared_dead) {
            return {};
        }
        // The item misstates this daemon's state: refutes it with a higher incarnation.
        this->own.incarnation = record.incarnation + 1;
        this->members.at(this->own.id) = this->own;
        ++this->counters.refutations;
        return {encode_member(this->own)};
    }
    const auto known = this->members.find(record.id);
    if (known == this->members.end()) {
        if (record.state == member_state::dead) {
            return {};
        }
        this->members.emplace(record.id, record);
        return {};
    }
    const auto order = [](const member_record& member) {
        return std::pair(member.incarnation, member.state);
    };
    if (order(known->second) < order(record)) {
        known->second = record;
        if (record.state == member_state::dead) {
            this->dead_since[record.id] = now;
        } else {
            this->dead_since.erase(record.id);
        }
        this->suspicions.erase(record.id);
    }
    return {};
}

std::size_t membership::suspicions_needed() const
{
    // Of two daemons, none is left to confirm the suspicion.
    return this->live().size() <= 2 ? 1 : 2;
}

std::vector<item> membership::record_suspicion(const daemon_id& about, const daemon_id& by,
                                               std::uint64_t incarnation, time_point now)
{
    if (about == this->own.id) {
        if (incarnation < this->own.incarnation) {
            return {};
        }
        this->own.incarnation = incarnation + 1;
        this->members.at(this->own.id) = this->own;
        ++this->counters.refutations;
        return {encode_member(this->own)};
    }
    const auto member = this->members.find(about);
    if (member == this->members.end() || member->second.state == member_state::dead ||
        member->second.incarnation != incarnation) {
        return {};
    }
    auto& entry = this->suspicions[about];
    if (entry.incarnation != incarnation) {
        entry = suspicion{incarnation, {}};
    }
    entry.reporters[by] = now;
    std::size_t recent = 0;
    for (const auto& [reporter, when] : entry.reporters) {
        recent += now - when <= limits::suspicion_window ? 1 : 0;
    }
    if (recent < this->suspicions_needed()) {
        return {};
    }
    member->second.state = member_state::dead;
    this->dead_since[about] = now;
    this->suspicions.erase(about);
    return {encode_member(member->second)};
}

std::vector<item> membership::raise_suspicion(const daemon_id& id, time_point now)
{
    const auto member = this->members.find(id);
    if (member == this->members.end() || member->second.state == member_state::dead) {
        return {};
    }
    ++this->counters.suspicions;
    std::vector<item> published{encode_suspicion(id, this->own.id, member->second.incarnation, now)};
    for (auto& entry : this->record_suspicion(id, this->own.id, member->second.incarnation, now)) {
        published.push_back(std::move(entry));
    }
    return published;
}

std::vector<std::string> membership::expire(time_point now)
{
    std::vector<std::string> keys;
    for (auto entry = this->dead_since.begin(); entry != this->dead_since.end();) {
        if (now - entry->second < dead_member_lifetime) {
            ++entry;
            continue;
        }
        keys.push_back(std::string(member_prefix) + entry->first.str());
        this->members.erase(entry->first);
        entry = this->dead_since.erase(entry);
    }
    for (auto entry = this->suspicions.begin(); entry != this->suspicions.end();) {
        auto& reporters = entry->second.reporters;
        for (auto reporter = reporters.begin(); reporter != reporters.end();) {
            if (now - reporter->second <= limits::suspicion_window) {
                ++reporter;
                continue;
            }
            keys.push_back(std::string(suspicion_prefix) + entry->first.str() + "/" + reporter->first.str());
            reporter = reporters.erase(reporter);
        }
        entry = reporters.empty() ? this->suspicions.erase(entry) : std::next(entry);
    }
    return keys;
}

std::vector<member_record> membership::links_to_open() const
{
    std::vector<member_record> chosen;
    const auto in_region = [&](const member_record& member) { return member.region == this->own.region; };
    const auto* region_successor = ring_successor(this->own, this->members, region_ring_seed, in_region);
    if (region_successor != nullptr) {
        chosen.push_back(*region_successor);
    }
    const auto another = [&](const member_record& member) {
        return region_successor == nullptr || member.id != region_successor->id;
    };
    if (const auto* global_successor = ring_successor(this->own, this->members, global_ring_seed, another)) {
        chosen.push_back(*global_successor);
    }
    return chosen;
}

const member_record* membership::retry_candidate(std::uint64_t random) const
{
    if (this->dead_since.empty()) {
        return nullptr;
    }
    auto entry = this->dead_since.begin();
    std::advance(entry, static_cast<std::ptrdiff_t>(random % this->dead_since.size()));
    return this->find(entry->first);
}

membership_stats membership::stats() const
{
    auto current = this->counters;
    for (const auto& [id, member] : this->members) {
        current.alive += member.state == member_state::alive ? 1 : 0;
        current.leaving += member.state == member_state::leaving ? 1 : 0;
        current.dead += member.state == member_state::dead ? 1 : 0;
    }
    return current;
}

void isolation_detector::update_links(std::size_t expected, std::size_t live, time_point now)
{
    if (live * 2 >= expected) {
        this->last_contact = now;
    }
    this->started = true;
}

bool isolation_detector::isolated(time_point now) const
{
    return this->started && now - this->last_contact > limits::isolation_limit;
}

} // namespace rml
