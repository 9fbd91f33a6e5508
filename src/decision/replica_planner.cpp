#include "decision/replica_planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>

namespace rml {

namespace {

/// Time to join with resident weights, on every platform seen so far.
constexpr milliseconds rejoin_time{200};
/// A group that becomes ready after this time has half the value of one that is ready now. Engines fail every
/// few seconds, so a group that takes longer to form often loses a member before it serves.
constexpr std::chrono::duration<double> value_half_life{4.0};
/// A serving group is retired only for a gain that exceeds its value by this factor. With a lower factor,
/// noise in the shares would move engines back and forth. With 1.5, a model that had half of its due engines
/// got none from a model that had spare ones.
constexpr double retire_hysteresis = 1.2;

bool contains(const std::vector<model_id>& list, const model_id& model)
{
    return std::find(list.begin(), list.end(), model) != list.end();
}

/// Whether the weights are resident on the engine or staged on its host.
bool has_weights(const planner_engine& engine, const model_id& model)
{
    return engine.loaded == model || contains(engine.staged, model);
}

milliseconds join_time(const planner_engine& engine, const planner_model& model)
{
    if (engine.loaded == model.model) {
        return rejoin_time;
    }
    return contains(engine.staged, model.model) ? model.warm : model.load + model.warm;
}

double discount(milliseconds wait)
{
    return std::exp2(-std::chrono::duration<double>(wait) / value_half_life);
}

/// Value of one more group of a model that has `count` groups.
double value_of_next(const planner_model& model, std::size_t count)
{
    const auto n = static_cast<double>(count);
    // Without its first group a model is not served at all.
    const double step = count == 0 ? 3.0 : std::log((n + 1) / n);
    return std::max(model.share, 0.01) * step;
}

class replica_planner
{
public:
    explicit replica_planner(const planner_input& given) : input(given), loads_left(given.loads_allowed)
    {
        for (const auto& group : given.groups) {
            ++this->counts[group.model];
        }
        for (const auto& [fabric, reservation] : given.reserved) {
            this->counts[reservation.model] += reservation.groups;
        }
        for (const auto& engine : given.engines) {
            auto& free = this->free_by_fabric[engine.fabric];
            if (engine.free) {
                free.push_back(&engine);
            }
        }
        this->targets = this->target_counts();
    }

    replica_plan run()
    {
        const auto max_loads = this->input.join_with_loads ? this->loads_left : 0;
        // Models below their target count get groups first, so that the engines left over in a domain do not
        // decide the mix of models. Retirements precede the remaining groups for the same reason: the
        // survivors of a large group could always form small groups immediately, and each loss would shift
        // the mix further towards the small model.
        this->form_all(max_loads, true);
        this->retire_for_another_model();
        this->form_all(max_loads, false);
        this->prepare_next_groups();
        this->stage_other_models();
        return std::move(this->plan);
    }

private:
    using engine_list = std::vector<const planner_engine*>;

    struct formation
    {
        planned_group group;
        double score{0};
    };

    void form_all(std::uint32_t max_loads, bool to_target)
    {
        while (const auto best = this->best_formation(max_loads, to_target)) {
            this->form(*best);
        }
    }

    /// The group of those engines that can join soonest, or nothing when there are too few engines.
    std::optional<planned_group> pick(const engine_list& from, const planner_model& model) const
    {
        if (from.size() < model.group_size) {
            return std::nullopt;
        }
        auto sorted = from;
        std::stable_sort(sorted.begin(), sorted.end(), [&](const auto* a, const auto* b) {
            return join_time(*a, model) < join_time(*b, model);
        });
        planned_group out;
        out.model = model.model;
        for (std::uint32_t i = 0; i < model.group_size; ++i) {
            out.members.push_back(sorted[i]->instance);
            out.fabric = sorted[i]->fabric;
            out.expected = std::max(out.expected, join_time(*sorted[i], model));
            out.loads += has_weights(*sorted[i], model.model) ? 0 : 1;
        }
        return out;
    }

    std::size_t count_in_fabric(const model_id& model, const fabric_domain_id& fabric) const
    {
        std::size_t sum = 0;
        for (const auto& group : this->input.groups) {
            sum += group.model == model && group.fabric == fabric ? 1U : 0U;
        }
        for (const auto& group : this->plan.create) {
            sum += group.model == model && group.fabric == fabric ? 1U : 0U;
        }
        return sum;
    }

    std::size_t count_of(const model_id& model) const
    {
        const auto known = this->counts.find(model);
        return known == this->counts.end() ? 0 : known->second;
    }

    /// Number of groups of each model that the engines suffice for, each group within one fabric domain.
    std::map<model_id, std::size_t> target_counts() const
    {
        std::map<fabric_domain_id, std::size_t> unassigned;
        for (const auto& engine : this->input.engines) {
            ++unassigned[engine.fabric];
        }
        std::map<model_id, std::size_t> out;
        while (true) {
            const planner_model* best = nullptr;
            std::size_t* best_room = nullptr;
            double best_value = 0;
            for (const auto& model : this->input.models) {
                const auto value = value_of_next(model, out[model.model]) / model.group_size;
                auto* const room = smallest_room(unassigned, model.group_size);
                if (room != nullptr && (best == nullptr || value > best_value)) {
                    best = &model;
                    best_room = room;
                    best_value = value;
                }
            }
            if (best == nullptr) {
                return out;
            }
            ++out[best->model];
            *best_room -= best->group_size;
        }
    }

    /// Best fit: the smallest count of a fabric domain that still holds the group, which leaves room for
    /// larger groups elsewhere; null when no domain holds it.
    static std::size_t* smallest_room(std::map<fabric_domain_id, std::size_t>& unassigned,
                                      std::uint32_t group_size)
    {
        std::size_t* out = nullptr;
        for (auto& [fabric, engines] : unassigned) {
            if (engines >= group_size && (out == nullptr || engines < *out)) {
                out = &engines;
            }
        }
        return out;
    }

    /// Up to the target counts, large groups are formed first regardless of their time until ready, because
    /// they do not fit into the engines that small groups leave. A model without any group precedes all
    /// others.
    double score_of(const planner_model& model, const planned_group& group, bool to_target) const
    {
        // Groups of one fabric domain fail together, so a domain with fewer groups of the model is preferred.
        const auto replicas = static_cast<double>(this->count_in_fabric(model.model, group.fabric));
        const auto by_time = discount(group.expected) / (1.0 + 0.05 * replicas); // at most 1
        const auto count = this->count_of(model.model);
        if (!to_target) {
            return value_of_next(model, count) / model.group_size * by_time;
        }
        return (count == 0 ? std::numeric_limits<std::uint32_t>::max() : model.group_size) + by_time;
    }

    std::optional<formation> best_formation(std::uint32_t max_loads, bool to_target) const
    {
        std::optional<formation> best;
        for (const auto& model : this->input.models) {
            const auto target = this->targets.find(model.model);
            if (to_target &&
                (target == this->targets.end() || this->count_of(model.model) >= target->second)) {
                continue;
            }
            for (const auto& [fabric, engines] : this->free_by_fabric) {
                const auto reservation = this->input.reserved.find(fabric);
                if (reservation != this->input.reserved.end() && reservation->second.model != model.model) {
                    continue;
                }
                auto group = this->pick(engines, model);
                if (!group || group->loads > max_loads) {
                    continue;
                }
                const auto score = this->score_of(model, *group, to_target);
                if (!best || score > best->score) {
                    best = formation{std::move(*group), score};
                }
            }
        }
        return best;
    }

    void form(const formation& chosen)
    {
        this->remove_free(chosen.group);
        ++this->counts[chosen.group.model];
        this->loads_left -= chosen.group.loads;
        this->plan.create.push_back(chosen.group);
    }

    static void remove_members(engine_list& engines, const planned_group& group)
    {
        const auto& members = group.members;
        engines.erase(std::remove_if(engines.begin(), engines.end(),
                                     [&](const auto* engine) {
                                         return std::find(members.begin(), members.end(), engine->instance) !=
                                                members.end();
                                     }),
                      engines.end());
    }

    void remove_free(const planned_group& group)
    {
        remove_members(this->free_by_fabric[group.fabric], group);
        this->assigned.insert(group.members.begin(), group.members.end());
    }

    const planner_model* find_model(const model_id& model) const
    {
        const auto found = std::find_if(this->input.models.begin(), this->input.models.end(),
                                        [&](const planner_model& entry) { return entry.model == model; });
        return found == this->input.models.end() ? nullptr : &*found;
    }

    /// Retires serving groups of a domain when their engines, together with the free ones there, have clearly
    /// more value as groups of another model. Only without loads: a load takes longer than the imbalance
    /// lasts.
    void retire_for_another_model()
    {
        double best_gain = 0;
        for (const auto& model : this->input.models) {
            for (const auto& [fabric, free] : this->free_by_fabric) {
                if (this->input.reserved.count(fabric) != 0) {
                    continue;
                }
                auto [found, gain] = this->retirement_in(fabric, free, model);
                if (found && gain > best_gain) {
                    best_gain = gain;
                    this->plan.retire = std::move(found);
                }
            }
        }
        if (this->plan.retire) {
            this->counts[this->plan.retire->model] += this->plan.retire->groups_formed;
            auto& reserved_engines = this->free_by_fabric[this->plan.retire->fabric];
            for (const auto* engine : reserved_engines) {
                this->assigned.insert(engine->instance);
            }
            reserved_engines.clear();
        }
    }

    /// Value of the best group of any other model that these engines can form without a load.
    double best_alternative_value(const engine_list& free, const planner_model& excluded) const
    {
        double best = 0;
        for (const auto& model : this->input.models) {
            if (model.model == excluded.model) {
                continue;
            }
            if (const auto formed = this->pick(free, model); formed && formed->loads == 0) {
                const auto value = value_of_next(model, this->count_of(model.model));
                best = std::max(best, value * discount(formed->expected));
            }
        }
        return best;
    }

    /// Number of groups of the model that these engines can form without a load, and their total value.
    std::pair<std::uint32_t, double> value_of_all(engine_list engines, const planner_model& model) const
    {
        std::uint32_t groups = 0;
        double value = 0;
        for (auto formed = this->pick(engines, model); formed && formed->loads == 0;
             formed = this->pick(engines, model)) {
            value += value_of_next(model, this->count_of(model.model) + groups) * discount(formed->expected);
            ++groups;
            remove_members(engines, *formed);
        }
        return {groups, value};
    }

    /// The groups of the domain to retire in favor of the model, and the net gain. Nothing when the gain is
    /// too small.
    std::pair<std::optional<planned_retirement>, double>
    retirement_in(const fabric_domain_id& fabric, const engine_list& free, const planner_model& model) const
    {
        auto remaining = this->counts;
        auto available = free;
        double loss = 0;
        const auto alternative_value = this->best_alternative_value(free, model);
        planned_retirement out{{}, fabric, model.model, 0};
        std::set<group_id> used;
        while (true) {
            if (const auto [groups, gain] = this->value_of_all(available, model); groups != 0) {
                out.groups_formed = groups;
                const bool better =
                    !out.groups.empty() && gain > retire_hysteresis * loss + alternative_value;
                return {better ? std::optional(out) : std::nullopt, gain - loss - alternative_value};
            }
            const planner_group* cheapest = nullptr;
            double cheapest_loss = 0;
            for (const auto& group : this->input.groups) {
                const auto* own = this->find_model(group.model);
                if (group.fabric != fabric || !group.serving || own == nullptr ||
                    group.model == model.model || used.count(group.group) != 0) {
                    continue;
                }
                const auto own_loss = value_of_next(*own, remaining[group.model] - 1);
                if (cheapest == nullptr || own_loss < cheapest_loss) {
                    cheapest = &group;
                    cheapest_loss = own_loss;
                }
            }
            if (cheapest == nullptr) {
                return {std::nullopt, 0};
            }
            used.insert(cheapest->group);
            --remaining[cheapest->model];
            loss += cheapest_loss;
            out.groups.push_back(cheapest->group);
            for (const auto& engine : this->input.engines) {
                const auto& members = cheapest->members;
                if (std::find(members.begin(), members.end(), engine.instance) != members.end()) {
                    available.push_back(&engine);
                }
            }
        }
    }

    void stage(const planner_engine& engine, const model_id& model)
    {
        if (this->loads_left > 0 && engine.staging.empty()) {
            this->plan.stage.push_back({engine.instance, model});
            --this->loads_left;
        }
    }

    /// Stages the weights that the best groups still lack before they can be formed.
    void prepare_next_groups()
    {
        while (const auto next = this->best_formation(std::numeric_limits<std::uint32_t>::max(), false)) {
            for (const auto& member : next->group.members) {
                const auto engine = std::find_if(this->input.engines.begin(), this->input.engines.end(),
                                                 [&](const auto& entry) { return entry.instance == member; });
                if (!has_weights(*engine, next->group.model)) {
                    this->stage(*engine, next->group.model);
                }
            }
            this->remove_free(next->group);
        }
    }

    /// Stages a second model on the hosts of groups: after the loss of a member, the survivors may have the
    /// most value as a group of another model.
    void stage_other_models()
    {
        for (const auto& engine : this->input.engines) {
            if (this->assigned.count(engine.instance) != 0) {
                continue;
            }
            const planner_model* wanted = nullptr;
            for (const auto& model : this->input.models) {
                if (engine.loaded == model.model) {
                    continue;
                }
                if (has_weights(engine, model.model)) {
                    wanted = nullptr;
                    break;
                }
                if (wanted == nullptr || model.share > wanted->share) {
                    wanted = &model;
                }
            }
            if (wanted != nullptr) {
                this->stage(engine, wanted->model);
            }
        }
    }

    const planner_input& input;
    std::uint32_t loads_left;
    std::map<model_id, std::size_t> counts;
    std::map<model_id, std::size_t> targets;
    std::map<fabric_domain_id, engine_list> free_by_fabric;
    std::set<instance_id> assigned;
    replica_plan plan;
};

} // namespace

replica_plan plan_replicas(const planner_input& input)
{
    return replica_planner(input).run();
}

} // namespace rml
