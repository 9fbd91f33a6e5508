#include "decision/target_choice.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Utilization above which the last slots can be taken between two regular reports.
constexpr double scarce_share = 0.7;

/// A target with fewer slots per daemon reserves none: most daemons could not use most of its slots.
constexpr std::uint32_t min_slots_per_daemon = 2;

bool has_free_slot(const target_candidate& candidate)
{
    return candidate.own + candidate.others + candidate.reserved < candidate.slots;
}

/// Utilization of the target with one request more, weighted with its slowness.
double load_of(const target_candidate& candidate)
{
    const auto taken = static_cast<double>(candidate.own + candidate.others + 1);
    return taken / candidate.slots * candidate.slowness;
}

/// Whether `a` is the better one of two candidates of the same preference.
bool prefers(const target_candidate& a, const target_candidate& b, const first_token_estimate& estimate)
{
    const auto time_a = estimate ? estimate(a) : std::nullopt;
    const auto time_b = time_a ? estimate(b) : std::nullopt;
    return time_a && time_b ? *time_a < *time_b : load_of(a) < load_of(b);
}

/// Lower values are preferred.
enum class preference
{
    healthy,
    elsewhere,         ///< outside the preferred failure domain
    near_tried_target, ///< in the fabric domain of a target that was tried
    suspected,
    ejected,
};

/// Fabric domains of the targets that were tried: at most a few, unlike the candidates.
std::vector<const fabric_domain_id*> tried_fabrics(const std::vector<target_candidate>& candidates)
{
    std::vector<const fabric_domain_id*> out;
    for (const auto& candidate : candidates) {
        if (candidate.tried && !candidate.fabric.empty()) {
            out.push_back(&candidate.fabric);
        }
    }
    return out;
}

preference preference_of(const target_candidate& candidate, const std::vector<const fabric_domain_id*>& tried)
{
    if (candidate.ejected) {
        return preference::ejected;
    }
    if (candidate.suspected) {
        return preference::suspected;
    }
    if (std::any_of(tried.begin(), tried.end(),
                    [&](const auto* fabric) { return *fabric == candidate.fabric; })) {
        return preference::near_tried_target;
    }
    return candidate.elsewhere ? preference::elsewhere : preference::healthy;
}

/// Indices of the candidates of the best preference that have a free slot.
std::vector<std::size_t> preferred(const std::vector<target_candidate>& candidates)
{
    std::vector<std::size_t> out;
    const bool any_usable = std::any_of(candidates.begin(), candidates.end(), [](const auto& candidate) {
        return !candidate.tried && !candidate.ejected;
    });
    const auto tried = tried_fabrics(candidates);
    auto best = preference::ejected;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool excluded = candidates[i].ejected && any_usable;
        if (candidates[i].tried || candidates[i].awaits_first_answer || excluded ||
            !has_free_slot(candidates[i])) {
            continue;
        }
        const auto found = preference_of(candidates[i], tried);
        if (found < best) {
            best = found;
            out.clear();
        }
        if (found == best) {
            out.push_back(i);
        }
    }
    return out;
}

} // namespace

std::uint32_t reserved_slots(const daemon_order& order, std::size_t index, std::uint32_t slots)
{
    if (slots < min_slots_per_daemon * order.daemons) {
        return 0;
    }
    if (order.position >= order.daemons) {
        return order.daemons;
    }
    const auto first = static_cast<std::uint32_t>(index % order.daemons);
    return (order.position + order.daemons - first) % order.daemons;
}

std::optional<std::size_t> choose_target(const std::vector<target_candidate>& candidates,
                                         std::uint64_t random, const first_token_estimate& estimate)
{
    const auto found = preferred(candidates);
    if (found.empty()) {
        return std::nullopt;
    }
    const auto first = found[random % found.size()];
    if (found.size() == 1) {
        return first;
    }
    // The second draw is among the other candidates.
    const auto step = 1 + (random / found.size()) % (found.size() - 1);
    const auto second = found[(random % found.size() + step) % found.size()];
    return prefers(candidates[second], candidates[first], estimate) ? second : first;
}

std::optional<std::size_t> choose_least_loaded(const std::vector<target_candidate>& candidates,
                                               std::uint64_t random)
{
    auto found = preferred(candidates);
    if (!found.empty()) {
        std::rotate(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(random % found.size()),
                    found.end());
    }
    const auto least = std::min_element(found.begin(), found.end(), [&](std::size_t a, std::size_t b) {
        return candidates[a].own + candidates[a].others < candidates[b].own + candidates[b].others;
    });
    return least == found.end() ? std::nullopt : std::optional(*least);
}

bool any_awaits_first_answer(const std::vector<target_candidate>& candidates)
{
    return std::any_of(candidates.begin(), candidates.end(), [](const auto& candidate) {
        return candidate.awaits_first_answer && !candidate.tried && !candidate.ejected &&
               has_free_slot(candidate);
    });
}

bool slots_scarce(const target_candidate& candidate)
{
    return candidate.own + candidate.others >= scarce_share * candidate.slots;
}

std::size_t free_slots(const std::vector<target_candidate>& candidates)
{
    std::size_t sum = 0;
    for (const auto& candidate : candidates) {
        if (!candidate.suspected && !candidate.ejected && has_free_slot(candidate)) {
            sum += candidate.slots - candidate.own - candidate.others - candidate.reserved;
        }
    }
    return sum;
}

} // namespace rml
