#include "decision/domain_routing.hpp"

#include <algorithm>
#include <optional>

namespace rml {

namespace {

/// Utilization up to which the targets of a domain are filled. With a higher one, the choice among few free
/// slots is made from reports that are some hundred milliseconds old.
constexpr double usual_level = 0.85;
/// Requests begin to leave at this much more, so that noise in the demand does not switch the regime.
constexpr double level_hysteresis = 0.05;
/// A target counts as slow if it takes this many times as long as the targets elsewhere, or still takes the
/// second number while requests leave. Reported paces vary by some percent.
constexpr double slow_ratio = 1.3;
constexpr double still_slow_ratio = 1.15;

struct domain_sums
{
    double slots{0};
    double running{0};     ///< requests of all daemons
    double own_running{0}; ///< requests of the daemons of the own domain
    double slowness{0};    ///< sum over the slots
    double room{0};        ///< for requests of the own domain
};

bool usable(const target_candidate& candidate)
{
    return !candidate.tried && !candidate.ejected && !candidate.suspected;
}

std::vector<domain_sums> sum_domains(const std::vector<target_candidate>& candidates, std::size_t domains)
{
    std::vector<domain_sums> out(domains);
    for (const auto& candidate : candidates) {
        if (!usable(candidate) || candidate.domain >= domains) {
            continue;
        }
        auto& sums = out[candidate.domain];
        sums.slots += candidate.slots;
        sums.running += candidate.own + candidate.others;
        sums.own_running += candidate.own + candidate.neighbours;
        sums.slowness += candidate.slowness * candidate.slots;
    }
    return out;
}

/// Uniform in [0, 1).
double unit_interval(std::uint64_t random)
{
    constexpr double range = 1ULL << 53U;
    return static_cast<double>(random >> 11U) / range;
}

} // namespace

std::string_view to_string(routing_reason reason)
{
    switch (reason) {
    case routing_reason::near:
        return "near";
    case routing_reason::near_full:
        return "near_full";
    case routing_reason::near_slow:
        return "near_slow";
    case routing_reason::retry:
        return "retry";
    }
    return "unknown";
}

routing_decision domain_routing::decide(const std::vector<target_candidate>& candidates,
                                        const routing_costs& costs, std::uint64_t random)
{
    const bool is_retry = std::any_of(candidates.begin(), candidates.end(),
                                      [](const auto& candidate) { return candidate.tried; });
    if (is_retry) {
        return {routing_reason::retry, 0};
    }
    auto sums = sum_domains(candidates, costs.delays.size());
    if (sums.empty()) {
        return {};
    }
    double slots = 0;
    double running = 0;
    for (const auto& domain : sums) {
        slots += domain.slots;
        running += domain.running;
    }
    // When all domains together are fuller than the usual level, they are filled equally.
    const auto level = slots > 0 ? std::clamp(running / slots, usual_level, 1.0) : usual_level;

    // Longest answer time, as a slowness, with which an own target is not slow.
    std::optional<double> acceptable;
    const auto ratio = this->current == routing_reason::near ? slow_ratio : still_slow_ratio;
    double room = 0;
    for (std::size_t i = 1; i < sums.size(); ++i) {
        auto& domain = sums[i];
        domain.room = std::max(0.0, level * domain.slots - (domain.running - domain.own_running));
        room += domain.room;
        if (domain.room > domain.own_running && costs.answer_time > duration::zero()) {
            const auto pace = domain.slowness / domain.slots;
            const auto round_trip = std::chrono::duration<double>(2 * costs.delays[i]) /
                                    std::chrono::duration<double>(costs.answer_time);
            const auto limit = std::max(pace * ratio, pace + round_trip);
            acceptable = std::min(acceptable.value_or(limit), limit);
        }
    }
    double usable_slots = sums[0].slots;
    if (acceptable) {
        for (const auto& candidate : candidates) {
            const bool slow = candidate.domain == 0 && candidate.slowness > *acceptable;
            usable_slots -= slow && usable(candidate) ? candidate.slots : 0;
        }
    }

    double demand = 1; // this request
    for (const auto& domain : sums) {
        demand += domain.own_running;
    }
    const auto foreign = sums[0].running - sums[0].own_running;
    const auto excess = [&](double of_slots, double up_to) {
        return std::max(0.0, demand - std::max(0.0, up_to * of_slots - foreign));
    };
    const auto enter_level = std::min(1.0, level + level_hysteresis);
    const bool leaves = excess(usable_slots, this->current == routing_reason::near ? enter_level : level) > 0;
    const auto too_many = leaves ? excess(usable_slots, level) : 0;
    this->share = std::min(too_many, room) / demand;
    if (this->share <= 0) {
        this->current = routing_reason::near;
        return {};
    }
    this->current = excess(sums[0].slots, level) > 0 ? routing_reason::near_full : routing_reason::near_slow;
    const auto point = unit_interval(random);
    if (point >= this->share) {
        return {};
    }
    auto left = point / this->share * room;
    std::size_t destination = 0;
    for (std::size_t i = 1; i < sums.size(); ++i) {
        if (sums[i].room > 0) {
            destination = i;
            if (left < sums[i].room) {
                break;
            }
            left -= sums[i].room;
        }
    }
    return {this->current, destination};
}

void mark_elsewhere(const routing_decision& decision, std::vector<target_candidate>& candidates)
{
    if (decision.reason == routing_reason::retry) {
        return;
    }
    for (auto& candidate : candidates) {
        candidate.elsewhere = candidate.domain != decision.domain;
    }
}

} // namespace rml
