#include "control/node.hpp"

#include <boost/asio/dispatch.hpp>
#include <nlohmann/json.hpp>

namespace rml::control {

std::uint64_t node::deliver(object_set set, yield_context yield)
{
    boost::asio::dispatch(this->strand, yield);
    this->apply_config(set, config_source::operator_tool);
    return this->generations.generation();
}

std::string node::status_document(yield_context yield)
{
    boost::asio::dispatch(this->strand, yield);
    return this->make_status();
}

std::string node::burn_document(yield_context yield)
{
    boost::asio::dispatch(this->strand, yield);
    const std::lock_guard guard(this->tables.burn.mutex);
    return encode_burn(this->tables.burn.recorder.ledger());
}

std::string node::make_status() const
{
    const auto now = steady_clock::now();
    const auto config = this->tables.config.get();
    nlohmann::ordered_json document;
    document["daemon"] = this->options.daemon.str();
    document["incarnation"] = this->peers.members().self().incarnation;
    document["generation"] = this->generations.generation();
    document["ready"] = this->request_state.ready();
    document["leaving"] = this->leaving;
    document["isolated"] = this->peers.isolated(now);
    document["members"] = nlohmann::json::array();
    for (const auto& member : this->peers.members().live()) {
        document["members"].push_back({{"daemon", member.id.str()},
                                       {"failure_domain", member.failure_domain.str()},
                                       {"state", member.state == member_state::leaving ? "leaving" : "alive"},
                                       {"caller", to_string(member.caller_address)}});
    }
    document["domains"] = nlohmann::json::array();
    for (const auto& domain : config->set().failure_domains) {
        document["domains"].push_back({{"name", domain.name.str()},
                                       {"state", config->drained(domain.name) ? "drained" : "in_service"},
                                       {"holder", this->holder_of(domain.name).str()}});
    }
    document["groups"] = nlohmann::json::array();
    {
        const std::lock_guard guard(this->tables.groups.mutex);
        for (const auto& [domain, plan] : this->tables.groups.plans) {
            for (const auto& group : plan.plan.groups()) {
                const auto load = this->tables.groups.evidence.load(group.id);
                document["groups"].push_back(
                    {{"id", group.id.str()},
                     {"domain", domain.str()},
                     {"epoch", group.epoch},
                     {"servable", this->tables.groups.evidence.servable(group.id, now)},
                     {"warm", this->tables.groups.evidence.warm(group.id)},
                     {"load", load ? load->requests : 0}});
            }
        }
    }
    document["duties"] = nlohmann::json::array();
    for (const auto& [domain, loop] : this->duties) {
        if (loop->holds()) {
            document["duties"].push_back({{"domain", domain.str()},
                                          {"complete", loop->groups().complete},
                                          {"wanting", loop->groups().unmet_demand},
                                          {"stranded_engines", loop->groups().stranded},
                                          {"quota_asks", loop->quota_stats().requests},
                                          {"quota_refused_lease", loop->quota_stats().refused_lease},
                                          {"quota_refused_limit", loop->quota_stats().refused_limit}});
        }
    }
    document["observed"] = nlohmann::json::array();
    for (const auto& [domain, observer] : this->observers) {
        for (const auto& engine : observer.observed_engines()) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - engine.probe_sent_at).count();
            document["observed"].push_back({{"instance", engine.instance.str()},
                                            {"reported_to", this->holder_of(domain).str()},
                                            {"answers", engine.answered && !engine.unresponsive},
                                            {"age_ms", engine.answered ? age : -1},
                                            {"probing", this->probes_in_flight.count(engine.instance) != 0}});
        }
    }
    {
        const std::lock_guard guard(this->tables.admissions.mutex);
        const auto& quota = this->tables.admissions.quota.stats();
        document["quota"] = {{"admitted", quota.admitted},
                             {"refused", quota.refused},
                             {"asks", quota.requests},
                             {"late_grants", quota.late_grants}};
    }
    const auto links = this->peers.link_stats();
    const auto items = this->peers.item_stats();
    const auto calls = this->store->stats();
    document["links"] = {{"open", this->peers.open_links()},         {"bytes_sent", links.bytes_sent},
                         {"bytes_received", links.bytes_received},   {"frames_sent", links.frames_sent},
                         {"frames_received", links.frames_received}, {"items", items.items},
                         {"duplicates", items.duplicates},           {"grafts", items.grafts}};
    document["store_calls"] = {{"reads", calls.reads}, {"writes", calls.writes}, {"watches", calls.watches}};
    return document.dump();
}

} // namespace rml::control
