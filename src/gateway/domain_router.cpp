#include "gateway/domain_router.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rml::gateway {

domain_index::domain_index(failure_domain_id own, const domain_delays& delays)
    : stated(delays), longest(delays.longest_from(own).value_or(duration::zero())), names{std::move(own)},
      one_way{duration::zero()}
{
}

std::size_t domain_index::find(const failure_domain_id& domain)
{
    const auto found = std::find(this->names.begin(), this->names.end(), domain);
    const auto index = static_cast<std::size_t>(std::distance(this->names.begin(), found));
    if (found == this->names.end()) {
        this->one_way.push_back(this->stated.between(this->names.front(), domain).value_or(this->longest));
        this->names.push_back(domain);
    }
    return index;
}

domain_router::domain_router(const fleet_state& state, metric_registry& metrics)
    : fleet(state), registry(metrics)
{
}

void domain_router::update_config()
{
    const auto& config = this->fleet.config();
    const auto version = config ? config->version() : 0;
    if (version == this->applied_version) {
        return;
    }
    this->applied_version = version;
    this->configured = !config->delays().empty();
    this->indices.clear();
    for (const auto& [name, service] : config->services()) {
        if (const auto& delays = config->delays_of(service); delays.longest_from(this->fleet.domain)) {
            this->indices.emplace(name, domain_index(this->fleet.domain, delays));
        }
    }
    for (const auto reason : {routing_reason::near, routing_reason::near_full, routing_reason::near_slow,
                              routing_reason::retry}) {
        if (this->configured) {
            this->decisions[reason] = &this->registry.create_counter(
                "rml_domain_decisions_total", "Choices of a failure domain by reason",
                {{"reason", std::string(to_string(reason))}});
        }
    }
}

domain_index* domain_router::index_of(const service_id& service)
{
    this->update_config();
    const auto found = this->indices.find(service);
    return found == this->indices.end() ? nullptr : &found->second;
}

domain_traffic* domain_router::traffic_to(const failure_domain_id& domain)
{
    this->update_config();
    if (!this->configured) {
        return nullptr;
    }
    auto found = this->traffic.find(domain);
    if (found == this->traffic.end()) {
        const label_list labels{{"failure_domain", domain.str()}};
        found = this->traffic
                    .emplace(domain,
                             domain_traffic{
                                 this->registry.create_counter(
                                     "rml_domain_requests_total",
                                     "Requests sent to targets of the failure domain", labels),
                                 this->registry.create_counter(
                                     "rml_domain_bytes_total",
                                     "Bytes of bodies exchanged with targets of the failure domain", labels)})
                    .first;
    }
    return &found->second;
}

void domain_router::record(const routing_decision& decision, const target_candidate& target)
{
    auto reason = decision.reason;
    if (reason != routing_reason::retry && target.domain == 0) {
        reason = routing_reason::near;
    } else if (reason == routing_reason::near) {
        reason = routing_reason::near_full; // no own target had a free slot
    }
    this->decisions.at(reason)->add();
}

void domain_router::log_regime(const std::string& pool, const domain_routing& routing)
{
    const auto regime = routing.regime();
    auto& before = this->logged[pool];
    if (before == regime) {
        return;
    }
    before = regime;
    log(log_level::info,
        regime == routing_reason::near ? "requests stay in the failure domain"
                                       : "requests leave the failure domain",
        {{"pool", pool},
         {"failure_domain", this->fleet.domain.str()},
         {"reason", std::string(to_string(regime))},
         {"share_percent", static_cast<std::int64_t>(std::lround(100 * routing.leaving_share()))}});
}

} // namespace rml::gateway
