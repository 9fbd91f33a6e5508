#include "decision/replica_planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <unordered_map>

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

/// Engines and models are addressed by their positions in the input: a pass over a thousand engines compares
/// no names.
class replica_planner
{
public:
    explicit replica_planner(const planner_input& given) : input(given), loads_left(given.loads_allowed)
    {
        this->counts.resize(given.models.size());
        std::unordered_map<instance_id, std::size_t> positions;
        for (std::size_t i = 0; i < given.engines.size(); ++i) {
            const auto& engine = given.engines[i];
            positions.emplace(engine.instance, i);
            auto& fabric = this->fabrics[engine.fabric];
            ++fabric.engines;
            if (engine.free) {
                fabric.free.push_back(i);
            }
            for (const auto& model : given.models) {
                this->join_times.push_back(join_time(engine, model));
            }
        }
        this->assigned.resize(given.engines.size());
        for (const auto& group : given.groups) {
            const auto model = this->index_of(group.model);
            auto& fabric = this->fabrics[group.fabric];
            fabric.groups.push_back({&group, model, {}});
            for (const auto& member : group.members) {
                if (const auto known = positions.find(member); known != positions.end()) {
                    fabric.groups.back().members.push_back(known->second);
                }
            }
            if (model < given.models.size()) {
                ++this->counts[model];
            }
        }
        for (auto& [name, fabric] : this->fabrics) {
            fabric.name = name;
            fabric.replicas.resize(given.models.size());
            for (const auto& group : fabric.groups) {
                if (group.model < given.models.size()) {
                    ++fabric.replicas[group.model];
                }
            }
            if (const auto kept = given.reserved.find(name); kept != given.reserved.end()) {
                fabric.reserved = this->index_of(kept->second.model);
            }
        }
        for (const auto& [fabric, reservation] : given.reserved) {
            if (const auto model = this->index_of(reservation.model); model < given.models.size()) {
                this->counts[model] += reservation.groups;
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
        this->prepare_spares();
        this->stage_other_models();
        return std::move(this->plan);
    }

private:
    using engine_list = std::vector<std::size_t>; ///< positions of engines
    struct known_group
    {
        const planner_group* group{nullptr};
        std::size_t model{0}; ///< position; the number of models if it is no longer served
        engine_list members;
    };
    struct fabric_state
    {
        fabric_domain_id name;
        std::size_t engines{0};
        engine_list free;
        std::vector<known_group> groups;
        std::vector<std::size_t> replicas;   ///< groups by model, new ones included
        std::optional<std::size_t> reserved; ///< model for which the free engines are reserved
    };
    /// Members of a group that is not formed yet.
    struct group_choice
    {
        std::size_t model{0};
        engine_list members;
        std::uint32_t loads{0};
        milliseconds expected{0};
    };
    struct formation
    {
        fabric_state* fabric{nullptr};
        group_choice group;
        double score{0};
    };

    const planner_model& model_at(std::size_t model) const { return this->input.models[model]; }

    std::size_t index_of(const model_id& model) const
    {
        const auto& models = this->input.models;
        return static_cast<std::size_t>(
            std::find_if(models.begin(), models.end(),
                         [&](const planner_model& entry) { return entry.model == model; }) -
            models.begin());
    }

    milliseconds join_time_of(std::size_t engine, std::size_t model) const
    {
        return this->join_times[engine * this->input.models.size() + model];
    }

    /// Whether the weights are resident on the engine or staged on its host.
    bool has_weights(std::size_t engine, std::size_t model) const
    {
        const auto& known = this->input.engines[engine];
        const auto& name = this->model_at(model).model;
        return known.loaded == name || contains(known.staged, name);
    }

    void form_all(std::uint32_t max_loads, bool to_target)
    {
        while (const auto best = this->best_formation(max_loads, to_target)) {
            this->form(*best);
        }
    }

    /// The group of those engines that can join soonest, or nothing when there are too few engines.
    std::optional<group_choice> pick(const engine_list& from, std::size_t model) const
    {
        const auto size = this->model_at(model).group_size;
        if (from.size() < size) {
            return std::nullopt;
        }
        group_choice out;
        out.model = model;
        out.members = from;
        std::stable_sort(out.members.begin(), out.members.end(), [&](std::size_t a, std::size_t b) {
            return this->join_time_of(a, model) < this->join_time_of(b, model);
        });
        out.members.resize(size);
        for (const auto member : out.members) {
            out.expected = std::max(out.expected, this->join_time_of(member, model));
            out.loads += this->has_weights(member, model) ? 0 : 1;
        }
        return out;
    }

    /// Number of groups of each model that the engines suffice for, each group within one fabric domain.
    std::vector<std::size_t> target_counts() const
    {
        std::vector<std::size_t> unassigned;
        for (const auto& [name, fabric] : this->fabrics) {
            unassigned.push_back(fabric.engines);
        }
        std::vector<std::size_t> out(this->input.models.size());
        while (true) {
            std::optional<std::size_t> best;
            std::size_t* best_room = nullptr;
            double best_value = 0;
            for (std::size_t model = 0; model < out.size(); ++model) {
                const auto size = this->model_at(model).group_size;
                const auto value = value_of_next(this->model_at(model), out[model]) / size;
                auto* const room = smallest_room(unassigned, size);
                if (room != nullptr && (!best || value > best_value)) {
                    best = model;
                    best_room = room;
                    best_value = value;
                }
            }
            if (!best) {
                return out;
            }
            ++out[*best];
            *best_room -= this->model_at(*best).group_size;
        }
    }

    /// Best fit: the smallest count of a fabric domain that still holds the group, which leaves room for
    /// larger groups elsewhere; null when no domain holds it.
    static std::size_t* smallest_room(std::vector<std::size_t>& unassigned, std::uint32_t group_size)
    {
        std::size_t* out = nullptr;
        for (auto& engines : unassigned) {
            if (engines >= group_size && (out == nullptr || engines < *out)) {
                out = &engines;
            }
        }
        return out;
    }

    /// Up to the target counts, large groups are formed first regardless of their time until ready, because
    /// they do not fit into the engines that small groups leave. A model without any group precedes all
    /// others.
    double score_of(const fabric_state& fabric, const group_choice& group, bool to_target) const
    {
        // Groups of one fabric domain fail together, so a domain with fewer groups of the model is preferred.
        const auto replicas = static_cast<double>(fabric.replicas[group.model]);
        const auto by_time = discount(group.expected) / (1.0 + 0.05 * replicas); // at most 1
        const auto count = this->counts[group.model];
        const auto& model = this->model_at(group.model);
        if (!to_target) {
            return value_of_next(model, count) / model.group_size * by_time;
        }
        return (count == 0 ? std::numeric_limits<std::uint32_t>::max() : model.group_size) + by_time;
    }

    /// The formation with the highest score. With `per_load` the score is divided by the loads that it needs.
    std::optional<formation> best_formation(std::uint32_t max_loads, bool to_target, bool per_load = false)
    {
        std::optional<formation> best;
        for (std::size_t model = 0; model < this->input.models.size(); ++model) {
            if (to_target && this->counts[model] >= this->targets[model]) {
                continue;
            }
            for (auto& [name, fabric] : this->fabrics) {
                if (fabric.reserved && *fabric.reserved != model) {
                    continue;
                }
                auto group = this->pick(fabric.free, model);
                if (!group || group->loads > max_loads) {
                    continue;
                }
                const auto score = this->score_of(fabric, *group, to_target) /
                                   (per_load ? std::max<std::uint32_t>(1, group->loads) : 1U);
                if (!best || score > best->score) {
                    best = formation{&fabric, std::move(*group), score};
                }
            }
        }
        return best;
    }

    void form(const formation& chosen)
    {
        this->remove_free(chosen);
        ++this->counts[chosen.group.model];
        ++chosen.fabric->replicas[chosen.group.model];
        this->loads_left -= chosen.group.loads;
        planned_group out;
        out.model = this->model_at(chosen.group.model).model;
        out.fabric = chosen.fabric->name;
        out.loads = chosen.group.loads;
        out.expected = chosen.group.expected;
        for (const auto member : chosen.group.members) {
            out.members.push_back(this->input.engines[member].instance);
        }
        this->plan.create.push_back(std::move(out));
    }

    static void remove_members(engine_list& engines, const engine_list& members)
    {
        engines.erase(std::remove_if(engines.begin(), engines.end(),
                                     [&](std::size_t engine) {
                                         return std::find(members.begin(), members.end(), engine) !=
                                                members.end();
                                     }),
                      engines.end());
    }

    void remove_free(const formation& chosen)
    {
        remove_members(chosen.fabric->free, chosen.group.members);
        for (const auto member : chosen.group.members) {
            this->assigned[member] = true;
        }
    }

    /// Retires serving groups of a domain when their engines, together with the free ones there, have clearly
    /// more value as groups of another model. Only without loads: a load takes longer than the imbalance
    /// lasts.
    void retire_for_another_model()
    {
        double best_gain = 0;
        fabric_state* chosen = nullptr;
        std::size_t chosen_model = 0;
        for (std::size_t model = 0; model < this->input.models.size(); ++model) {
            for (auto& [name, fabric] : this->fabrics) {
                if (fabric.reserved) {
                    continue;
                }
                auto [found, gain] = this->retirement_in(fabric, model);
                if (found && gain > best_gain) {
                    best_gain = gain;
                    this->plan.retire = std::move(found);
                    chosen = &fabric;
                    chosen_model = model;
                }
            }
        }
        if (chosen != nullptr) {
            this->counts[chosen_model] += this->plan.retire->groups_formed;
            for (const auto engine : chosen->free) {
                this->assigned[engine] = true;
            }
            chosen->free.clear();
        }
    }

    /// Value of the best group of any other model that these engines can form without a load.
    double best_alternative_value(const engine_list& free, std::size_t excluded) const
    {
        double best = 0;
        for (std::size_t model = 0; model < this->input.models.size(); ++model) {
            if (model == excluded) {
                continue;
            }
            if (const auto formed = this->pick(free, model); formed && formed->loads == 0) {
                const auto value = value_of_next(this->model_at(model), this->counts[model]);
                best = std::max(best, value * discount(formed->expected));
            }
        }
        return best;
    }

    /// Number of groups of the model that these engines can form without a load, and their total value.
    std::pair<std::uint32_t, double> value_of_all(engine_list engines, std::size_t model) const
    {
        std::uint32_t groups = 0;
        double value = 0;
        for (auto formed = this->pick(engines, model); formed && formed->loads == 0;
             formed = this->pick(engines, model)) {
            value += value_of_next(this->model_at(model), this->counts[model] + groups) *
                     discount(formed->expected);
            ++groups;
            remove_members(engines, formed->members);
        }
        return {groups, value};
    }

    /// The groups of the domain to retire in favor of the model, and the net gain. Nothing when the gain is
    /// too small.
    std::pair<std::optional<planned_retirement>, double> retirement_in(const fabric_state& fabric,
                                                                       std::size_t model) const
    {
        auto remaining = this->counts;
        auto available = fabric.free;
        double loss = 0;
        const auto alternative_value = this->best_alternative_value(fabric.free, model);
        planned_retirement out{{}, fabric.name, this->model_at(model).model, 0};
        std::vector<bool> used(fabric.groups.size());
        while (true) {
            if (const auto [groups, gain] = this->value_of_all(available, model); groups != 0) {
                out.groups_formed = groups;
                const bool better =
                    !out.groups.empty() && gain > retire_hysteresis * loss + alternative_value;
                return {better ? std::optional(out) : std::nullopt, gain - loss - alternative_value};
            }
            std::optional<std::size_t> cheapest;
            double cheapest_loss = 0;
            for (std::size_t i = 0; i < fabric.groups.size(); ++i) {
                const auto& group = fabric.groups[i];
                const bool known = group.model < this->input.models.size();
                if (!known || !group.group->serving || group.model == model || used[i]) {
                    continue;
                }
                const auto own_loss = value_of_next(this->model_at(group.model), remaining[group.model] - 1);
                if (!cheapest || own_loss < cheapest_loss) {
                    cheapest = i;
                    cheapest_loss = own_loss;
                }
            }
            if (!cheapest) {
                return {std::nullopt, 0};
            }
            used[*cheapest] = true;
            const auto& group = fabric.groups[*cheapest];
            --remaining[group.model];
            loss += cheapest_loss;
            out.groups.push_back(group.group->group);
            available.insert(available.end(), group.members.begin(), group.members.end());
        }
    }

    void stage(std::size_t engine, std::size_t model)
    {
        const auto& known = this->input.engines[engine];
        if (this->loads_left > 0 && known.staging.empty()) {
            this->plan.stage.push_back({known.instance, this->model_at(model).model});
            --this->loads_left;
        }
    }

    /// Stages the weights that the best groups still lack before they can be formed.
    void prepare_next_groups()
    {
        while (this->loads_left > 0) {
            const auto next = this->best_formation(std::numeric_limits<std::uint32_t>::max(), false, true);
            if (!next) {
                return;
            }
            for (const auto member : next->group.members) {
                if (!this->has_weights(member, next->group.model)) {
                    this->stage(member, next->group.model);
                }
            }
            this->remove_free(*next);
        }
    }

    /// The model whose groups in the domain have the fewest spare engines per member, or nothing if no group
    /// is there. `spares`: engines outside groups that have the weights, or will have them, by model.
    std::optional<std::size_t> least_covered_model(const fabric_state& fabric,
                                                   const std::vector<std::size_t>& spares) const
    {
        std::optional<std::size_t> out;
        double lowest = 0;
        for (std::size_t model = 0; model < spares.size(); ++model) {
            const auto members = fabric.replicas[model] * this->model_at(model).group_size;
            if (members == 0) {
                continue;
            }
            const auto cover = static_cast<double>(spares[model]) / static_cast<double>(members);
            if (!out || cover < lowest) {
                out = model;
                lowest = cover;
            }
        }
        return out;
    }

    /// Gives engines outside groups the weights of the groups in their domain: with them, the survivors of a
    /// group form a new one within the warm time instead of the load time.
    void prepare_spares()
    {
        for (const auto& [name, fabric] : this->fabrics) {
            std::vector<std::size_t> spares(this->input.models.size());
            engine_list without;
            for (const auto engine : fabric.free) {
                const bool covered = this->count_cover(engine, fabric, spares);
                const bool resident = !this->input.engines[engine].loaded.empty();
                if (!this->assigned[engine] && (!covered || (this->several_models() && !resident))) {
                    without.push_back(engine);
                }
            }
            for (const auto engine : without) {
                if (const auto model = this->least_covered_model(fabric, spares)) {
                    this->prepare_spare(engine, *model);
                    ++spares[*model];
                }
            }
        }
    }

    bool several_models() const { return this->input.models.size() > 1; }

    /// Counts the engine for the models of the domain whose weights it has or will have. Returns whether
    /// there is one.
    bool count_cover(std::size_t engine, const fabric_state& fabric, std::vector<std::size_t>& spares) const
    {
        bool covered = false;
        for (std::size_t model = 0; model < spares.size(); ++model) {
            const bool has = this->has_weights(engine, model) ||
                             this->input.engines[engine].staging == this->model_at(model).model;
            if (has && fabric.replicas[model] > 0) {
                ++spares[model];
                covered = true;
            }
        }
        return covered;
    }

    void prepare_spare(std::size_t engine, std::size_t model)
    {
        this->assigned[engine] = true;
        const auto& known = this->input.engines[engine];
        if (!this->several_models() || !known.loaded.empty()) {
            return this->stage(engine, model);
        }
        const std::uint32_t loads = this->has_weights(engine, model) ? 0 : 1;
        if (known.staging.empty() && loads <= this->loads_left) {
            this->plan.warm_up.push_back({known.instance, this->model_at(model).model, loads != 0});
            this->loads_left -= loads;
        }
    }

    /// Stages a second model on the hosts of groups: after the loss of a member, the survivors may have the
    /// most value as a group of another model.
    void stage_other_models()
    {
        for (std::size_t engine = 0; engine < this->input.engines.size() && this->loads_left > 0; ++engine) {
            // A member that is still loading its model would replace what is staged meanwhile.
            const auto& known = this->input.engines[engine];
            const bool kept = !known.free && this->loads_left <= this->input.loads_kept_for_spares;
            if (this->assigned[engine] || kept || (!known.free && known.loaded.empty())) {
                continue;
            }
            std::optional<std::size_t> wanted;
            for (std::size_t model = 0; model < this->input.models.size(); ++model) {
                if (known.loaded == this->model_at(model).model) {
                    continue;
                }
                if (this->has_weights(engine, model)) {
                    wanted.reset();
                    break;
                }
                if (!wanted || this->model_at(model).share > this->model_at(*wanted).share) {
                    wanted = model;
                }
            }
            if (wanted) {
                this->stage(engine, *wanted);
            }
        }
    }

    const planner_input& input;
    std::uint32_t loads_left;
    std::vector<milliseconds> join_times; ///< by engine and model
    std::vector<std::size_t> counts;      ///< groups by model
    std::vector<std::size_t> targets;     ///< the same, that the engines suffice for
    std::map<fabric_domain_id, fabric_state> fabrics;
    std::vector<bool> assigned; ///< engines of new groups, or reserved for them
    replica_plan plan;
};

} // namespace

replica_plan plan_replicas(const planner_input& input)
{
    return replica_planner(input).run();
}

} // namespace rml
