#include "control/node.hpp"

#include "base/limits.hpp"
#include "http/pause.hpp"

#include <boost/asio/spawn.hpp>

namespace rml::control {

namespace {

// Below probe_interval, so that probes of one engine do not overlap.
constexpr milliseconds probe_timeout{400};

std::uint16_t session_of(const node_options& options)
{
    return static_cast<std::uint16_t>(options.incarnation);
}

} // namespace

void node::run_observer(yield_context yield)
{
    time_point last_full{};
    while (!this->stopped) {
        const auto config = this->tables.config.get();
        std::vector<daemon_id> live;
        for (const auto& member : this->peers.members().live()) {
            if (member.region == this->options.region) {
                live.push_back(member.id);
            }
        }
        for (const auto& domain : config->domains_of(this->options.region)) {
            std::vector<instance_id> engines_here;
            for (const auto* engine : config->engines_of(domain)) {
                engines_here.push_back(engine->instance);
            }
            const auto observed = engines_observed_by(this->options.daemon, engines_here, live);
            auto& observer = this->observers.try_emplace(domain, session_of(this->options)).first->second;
            observer.retain(observed);
            for (const auto& instance : observed) {
                this->probe(instance, config->find_engine(instance)->address);
            }
        }
        http::pause(limits::probe_interval, yield);
        const auto now = steady_clock::now();
        const bool full = now - last_full >= limits::observe_interval;
        last_full = full ? now : last_full;
        this->send_reports(full, now);
    }
}

void node::probe(const instance_id& instance, const endpoint& address)
{
    if (!this->probes_in_flight.insert(instance).second) {
        return;
    }
    boost::asio::spawn(this->strand, [this, instance, address](yield_context yield) {
        const auto probe_sent_at = steady_clock::now();
        const auto report = this->engines.read_status(address, probe_sent_at + probe_timeout, yield);
        this->probes_in_flight.erase(instance);
        const auto domain = this->tables.config.get()->domain_of(instance);
        const auto observer = this->observers.find(domain);
        if (observer == this->observers.end()) {
            return;
        }
        const bool changed = succeeded(report) ? observer->second.record(value(report), probe_sent_at)
                                               : observer->second.record_probe_failure(instance);
        if (changed) {
            this->send_reports(false, steady_clock::now());
        }
    });
}

void node::send_reports(bool full, time_point now)
{
    for (auto& [domain, observer] : this->observers) {
        const auto holder = this->holder_of(domain);
        if (holder.empty()) {
            continue;
        }
        if (auto& previous = this->report_receivers[domain]; previous != holder) {
            previous = holder;
            observer.restart_reports();
        }
        const auto report = full ? observer.take_full_report(now) : observer.take_changes(now);
        if (report.changes.empty() && report.unchanged.empty() && report.unresponsive.empty()) {
            continue;
        }
        if (holder == this->options.daemon) {
            if (!this->duties.at(domain)->on_observations(holder, report, now)) {
                observer.restart_reports();
            }
        } else {
            this->peers.send(holder, peer::observe_message{domain, encode_observer_report(report)});
        }
    }
}

} // namespace rml::control
