#include "control/serving.hpp"

#include "base/limits.hpp"
#include "http/executor.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace rml::control {

namespace {

// Factor on a daemon's equal share of the slots, because callers spread unevenly over daemons. The engines'
// queues bound the excess.
constexpr double capacity_overcommit = 2.0;
constexpr microseconds same_domain_distance{0};
constexpr microseconds same_region_distance{1500};
constexpr microseconds other_region_distance{30000};
constexpr milliseconds typical_service_time{500};

/// Expected wait at a group with `requests` running or queued; input of encode_load().
microseconds expected_wait_at(std::uint8_t requests, std::uint32_t full_slots)
{
    const auto share = static_cast<double>(requests) / std::max<std::uint32_t>(1, full_slots);
    return std::chrono::duration_cast<microseconds>(typical_service_time * share);
}

} // namespace

std::size_t serving::capacity_of(const model_pool_object& pool, time_point now) const
{
    const auto daemons = std::max<std::size_t>(1, this->tables.members.get().daemons_in_region);
    const auto config = this->tables.config.get();
    std::size_t slots = 0;
    const std::lock_guard guard(this->tables.groups.mutex);
    for (const auto& [domain, plan] : this->tables.groups.plans) {
        if (config->drained(domain)) {
            continue;
        }
        for (const auto& group : plan.plan.groups()) {
            if (group.pool == pool.name && this->tables.groups.evidence.servable(group.id, now)) {
                slots += this->tables.groups.evidence.warm(group.id) ? pool.full_slots : pool.start_slots;
            }
        }
    }
    return static_cast<std::size_t>(
        std::ceil(capacity_overcommit * static_cast<double>(slots) / static_cast<double>(daemons)));
}

void serving::refresh_pool(const config_snapshot& config, const model_pool_object& pool, time_point now)
{
    struct known_group
    {
        routing_group routing;
        std::uint64_t epoch{0};
        std::optional<group_load> load;
    };
    std::vector<known_group> known;
    {
        const std::lock_guard guard(this->tables.groups.mutex);
        const auto& evidence = this->tables.groups.evidence;
        for (const auto& [domain, plan] : this->tables.groups.plans) {
            const bool same_region = config.region_of(domain) == config.region_of(this->own_domain);
            const auto distance = domain == this->own_domain ? same_domain_distance
                                  : same_region              ? same_region_distance
                                                             : other_region_distance;
            for (const auto& group : plan.plan.groups()) {
                if (group.pool != pool.name) {
                    continue;
                }
                known_group entry;
                entry.routing.id = group.id;
                entry.routing.domain = domain;
                entry.routing.distance = distance;
                // A group with probes due counts as servable: check_evidence() probes it before a request is
                // sent.
                entry.routing.servable =
                    evidence.servable(group.id, now) || !evidence.probes_due(group.id, now).empty();
                entry.routing.drained = config.drained(domain);
                entry.routing.cold = !evidence.warm(group.id);
                entry.epoch = group.epoch;
                entry.load = evidence.load(group.id);
                known.push_back(std::move(entry));
            }
        }
    }
    const std::lock_guard guard(this->tables.loads.mutex);
    auto& table = this->tables.loads.pools[pool.name];
    if (!table) {
        routing_settings settings;
        settings.full_slots = pool.full_slots;
        table = std::make_unique<routing>(settings);
    }
    for (auto& group : known) {
        {
            const std::lock_guard slot_guard(this->tables.slots.mutex);
            const auto& client = this->tables.slots.client;
            group.routing.cold = group.routing.cold && !client.warm(group.routing.id, group.epoch);
            group.routing.slots = client.available(group.routing.id, group.epoch, slot_kind::ramp, now);
        }
        table->update_group(group.routing);
        if (group.load) {
            table->update_load(group.routing.id,
                               encode_load(expected_wait_at(group.load->requests, pool.full_slots)),
                               group.load->observed_at);
        }
    }
    std::set<group_id> planned;
    for (const auto& group : known) {
        planned.insert(group.routing.id);
    }
    for (const auto& id : table->groups()) {
        if (planned.count(id) == 0) {
            table->destroy_group(id);
        }
    }
}

void serving::refresh(time_point now)
{
    const auto config = this->tables.config.get();
    for (const auto& pool : config->set().pools) {
        this->refresh_pool(*config, pool, now);
        const auto capacity = this->capacity_of(pool, now);
        const std::lock_guard guard(this->tables.admissions.mutex);
        auto& queue = this->tables.admissions.queues["pool/" + pool.name.str()];
        if (!queue) {
            admission_settings settings;
            settings.max_wait = pool.max_wait;
            queue = std::make_unique<admission>(settings);
        }
        this->resume_waiters(queue->update_capacity(capacity, now));
    }
}

} // namespace rml::control
