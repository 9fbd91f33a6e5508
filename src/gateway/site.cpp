#include "gateway/site.hpp"

#include <algorithm>

namespace rml::gateway {

const served_model* engine_profile::find(const model_id& model) const
{
    const auto found = std::find_if(this->models.begin(), this->models.end(),
                                    [&](const served_model& entry) { return entry.model == model; });
    return found == this->models.end() ? nullptr : &*found;
}

site_config::site_config(std::uint64_t version, std::vector<route> routes, std::vector<service> services,
                         const caller_limits& limits, std::optional<accounts_by_key> stated_accounts)
    : number(version), all_routes(std::move(routes)), bounds(limits), accounts(std::move(stated_accounts))
{
    for (std::size_t i = 0; i < this->all_routes.size(); ++i) {
        this->by_host[this->all_routes[i].host].push_back(i);
    }
    for (auto& [host, indices] : this->by_host) {
        std::sort(indices.begin(), indices.end(), [this](std::size_t a, std::size_t b) {
            return this->all_routes[a].prefix.size() > this->all_routes[b].prefix.size();
        });
    }
    for (auto& entry : services) {
        if (this->stated_delays.empty()) {
            this->stated_delays = entry.delays;
        }
        this->by_service.emplace(entry.name, std::move(entry));
    }
}

const route* site_config::find_route(std::string_view host, std::string_view path) const
{
    const auto routes_of_host = this->by_host.find(host);
    if (routes_of_host == this->by_host.end()) {
        return nullptr;
    }
    for (const auto index : routes_of_host->second) {
        const auto& candidate = this->all_routes[index];
        if (path.substr(0, candidate.prefix.size()) == candidate.prefix) {
            return &candidate;
        }
    }
    return nullptr;
}

const service* site_config::find_service(const service_id& name) const
{
    const auto found = this->by_service.find(name);
    return found == this->by_service.end() ? nullptr : &found->second;
}

const domain_delays& site_config::delays_of(const service& of) const
{
    return of.delays.empty() ? this->stated_delays : of.delays;
}

const client_account* site_config::find_account(const std::string& key) const
{
    if (!this->accounts) {
        return nullptr;
    }
    const auto found = this->accounts->find(key);
    return found == this->accounts->end() ? nullptr : &found->second;
}

std::string_view to_string(group_phase phase)
{
    switch (phase) {
    case group_phase::joining:
        return "joining";
    case group_phase::ready:
        return "ready";
    case group_phase::open:
        return "open";
    case group_phase::closing:
        return "closing";
    case group_phase::broken:
        return "broken";
    }
    return "unknown";
}

} // namespace rml::gateway
