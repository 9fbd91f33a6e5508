#include "decision/grouping.hpp"

#include "base/hash.hpp"
#include "base/limits.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace rml {

namespace {

constexpr double foreign_survivor_cost = 10;     // spares are preferred, whichever weights they hold
constexpr double stranded_survivor_cost = 0.001; // breaks ties between otherwise equal engines
constexpr double load_cost = 1;                  // the engine has to load the weights

/// An engine during planning.
struct planned_engine
{
    const engine_view* view{nullptr};
    std::size_t fabric{0};
    int broken_index{-1}; ///< index of the broken group that the engine survives from; -1: none
    bool in_group{false}; ///< claimed by a group of the new plan
    bool movable{false};  ///< may join another group
};

struct broken_group
{
    const group_record* record{nullptr};
    std::size_t pool{0};
    std::size_t fabric{0};
    std::vector<std::optional<std::size_t>> rank_engines; ///< surviving engine per rank
    bool resolved{false};                                 ///< repaired or dissolved

    std::size_t missing() const
    {
        return static_cast<std::size_t>(
            std::count(this->rank_engines.begin(), this->rank_engines.end(), std::nullopt));
    }
};

struct complete_group
{
    group_record record;
    std::size_t pool{0};
    std::size_t fabric{0};
    bool kept{true}; ///< unchanged members; false: formed by this decision
    bool dissolved{false};
};

struct pool_state
{
    const pool_demand* demand{nullptr};
    std::uint32_t complete{0};
    std::vector<std::uint32_t> per_fabric; ///< complete groups per fabric domain

    bool below_demand() const { return this->complete < this->demand->groups; }
};

struct fabric_state
{
    fabric_domain_id id;
    std::vector<std::size_t> planned_engines;
    std::size_t free{0}; ///< movable engines in no group of the new plan, with survivors of broken groups
};

/// Computes one plan; plan() calls the steps in order.
class planner
{
public:
    explicit planner(const grouping_input& input) : input(input) {}

    result<grouping_outcome> plan();

private:
    void index_engines();
    void index_pools();
    void classify(const group_record& record);
    void keep_complete(const group_record& record, std::size_t pool);
    void add_broken(const group_record& record, std::size_t pool, bool reshape);
    void keep_drained();
    void update_versions();
    void fill_pool(std::size_t pool);
    bool repair_one(std::size_t pool);
    bool create_one(std::size_t pool);
    bool retire_surplus(std::size_t pool);
    void move_smaller_groups(std::size_t pool);
    std::vector<std::vector<std::size_t>> movable_groups() const;
    std::vector<std::pair<std::size_t, std::size_t>> moves_out_of(std::size_t fabric, std::uint32_t size,
                                                                  std::vector<std::size_t> smaller,
                                                                  std::vector<std::uint32_t> surplus) const;
    bool is_ready(const complete_group& group) const;
    std::vector<std::uint32_t> retirable() const;
    bool all_movable(const group_record& record) const;
    void create_in(std::size_t pool, std::size_t fabric);
    void dissolve(complete_group& group);
    void keep_incomplete();
    bool can_keep(const broken_group& group) const;
    std::size_t free_for(const broken_group& group) const;
    std::optional<std::size_t> best_fabric(std::size_t pool) const;
    std::optional<std::size_t> pick(std::size_t fabric, std::size_t pool,
                                    const std::vector<std::size_t>& chosen, std::size_t left_over) const;
    double cost(const planned_engine& candidate, const pool_demand& demand,
                const std::vector<std::size_t>& chosen, std::size_t left_over) const;
    void claim(std::size_t claimed_index);
    void add_complete(std::size_t pool, std::size_t fabric, group_record record);
    group_id fresh_id(const pool_demand& demand);
    std::uint64_t next_epoch() const { return this->input.previous_revision + 1; }
    result<grouping_outcome> finish();
    void count_engines();

    const grouping_input& input;
    std::vector<planned_engine> planned_engines;
    std::vector<fabric_state> fabrics;
    std::vector<pool_state> pools;
    std::vector<broken_group> broken_groups;
    std::vector<complete_group> complete_groups;
    std::vector<group_record> incomplete;
    std::unordered_map<instance_id, std::size_t> engine_index;
    std::unordered_map<fabric_domain_id, std::size_t> fabric_index;
    std::unordered_map<model_pool_id, std::size_t> pool_index;
    std::unordered_map<instance_id, group_id> group_before;
    std::unordered_set<group_id> used_ids;
    std::unordered_map<model_pool_id, std::uint32_t> next_number;
    grouping_stats stats;
};

void planner::index_engines()
{
    this->planned_engines.reserve(this->input.engines.size());
    for (const auto& view : this->input.engines) {
        const auto [place, added] = this->fabric_index.try_emplace(view.fabric, this->fabrics.size());
        if (added) {
            this->fabrics.push_back({view.fabric, {}, 0});
        }
        planned_engine entry;
        entry.view = &view;
        entry.fabric = place->second;
        entry.movable = view.usable && (view.fenced || this->input.settled);
        this->engine_index.emplace(view.instance, this->planned_engines.size());
        this->fabrics[place->second].planned_engines.push_back(this->planned_engines.size());
        this->fabrics[place->second].free += entry.movable ? 1 : 0;
        this->planned_engines.push_back(entry);
    }
    for (auto& fabric : this->fabrics) {
        std::sort(
            fabric.planned_engines.begin(), fabric.planned_engines.end(), [&](std::size_t a, std::size_t b) {
                return this->planned_engines[a].view->instance < this->planned_engines[b].view->instance;
            });
    }
}

void planner::index_pools()
{
    for (const auto& demand : this->input.pools) {
        if (demand.group_size == 0) {
            continue;
        }
        pool_state state;
        state.demand = &demand;
        state.per_fabric.resize(this->fabrics.size());
        this->pools.push_back(std::move(state));
    }
    // Larger groups first: they fit only while a fabric domain still has enough free engines.
    std::sort(this->pools.begin(), this->pools.end(), [](const pool_state& a, const pool_state& b) {
        return a.demand->group_size != b.demand->group_size ? a.demand->group_size > b.demand->group_size
                                                            : a.demand->pool < b.demand->pool;
    });
    for (std::size_t i = 0; i < this->pools.size(); ++i) {
        this->pool_index.emplace(this->pools[i].demand->pool, i);
    }
}

void planner::claim(std::size_t claimed_index)
{
    auto& entry = this->planned_engines[claimed_index];
    entry.in_group = true;
    this->fabrics[entry.fabric].free -= entry.movable ? 1 : 0;
    if (entry.broken_index >= 0) {
        auto& group = this->broken_groups[static_cast<std::size_t>(entry.broken_index)];
        std::replace(group.rank_engines.begin(), group.rank_engines.end(), std::optional(claimed_index),
                     std::optional<std::size_t>());
        entry.broken_index = -1;
    }
}

void planner::add_complete(std::size_t pool, std::size_t fabric, group_record record)
{
    ++this->pools[pool].complete;
    ++this->pools[pool].per_fabric[fabric];
    this->complete_groups.push_back({std::move(record), pool, fabric, false, false});
}

void planner::keep_complete(const group_record& record, std::size_t pool)
{
    const auto fabric = this->fabric_index.at(record.fabric);
    for (const auto& member : record.members) {
        this->claim(this->engine_index.at(member));
    }
    this->add_complete(pool, fabric, record);
    this->complete_groups.back().kept = true;
}

void planner::add_broken(const group_record& record, std::size_t pool, bool reshape)
{
    broken_group group;
    group.record = &record;
    group.pool = pool;
    group.fabric = this->fabric_index.at(record.fabric);
    group.rank_engines.resize(this->pools[pool].demand->group_size);
    const auto ranks = std::min(group.rank_engines.size(), record.members.size());
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        const auto found = this->engine_index.find(record.members[rank]);
        if (found == this->engine_index.end()) {
            continue;
        }
        auto& entry = this->planned_engines[found->second];
        if (entry.view->usable && entry.fabric == group.fabric && (!reshape || !entry.in_group)) {
            group.rank_engines[rank] = found->second;
            entry.broken_index = static_cast<int>(this->broken_groups.size());
        }
    }
    this->broken_groups.push_back(std::move(group));
}

void planner::classify(const group_record& record)
{
    const auto pool = this->pool_index.find(record.pool);
    const auto fabric = this->fabric_index.find(record.fabric);
    if (pool == this->pool_index.end() || fabric == this->fabric_index.end()) {
        return;
    }
    const bool all_usable =
        std::all_of(record.members.begin(), record.members.end(), [&](const instance_id& member) {
            const auto found = this->engine_index.find(member);
            return found != this->engine_index.end() && this->planned_engines[found->second].view->usable &&
                   this->planned_engines[found->second].fabric == fabric->second;
        });
    if (all_usable) {
        this->keep_complete(record, pool->second);
    } else {
        this->add_broken(record, pool->second, false);
    }
}

void planner::update_versions()
{
    std::vector<std::uint32_t> unready(this->pools.size());
    for (const auto& group : this->complete_groups) {
        unready[group.pool] += this->is_ready(group) ? 0 : 1;
    }
    const auto count = this->complete_groups.size();
    for (std::size_t i = 0; i < count; ++i) {
        auto& group = this->complete_groups[i];
        const auto& demand = *this->pools[group.pool].demand;
        const bool same_weights =
            group.record.model == demand.model && group.record.version == demand.version;
        if (same_weights && group.record.members.size() == demand.group_size) {
            continue;
        }
        const auto at_once = std::max<std::uint32_t>(1, demand.groups / limits::update_share);
        if (unready[group.pool] >= at_once) {
            continue;
        }
        ++unready[group.pool];
        ++this->stats.updated;
        if (group.record.members.size() == demand.group_size) {
            group.record.model = demand.model;
            group.record.version = demand.version;
            group.record.epoch = this->next_epoch();
            continue;
        }
        // The group size changed: dissolves the group and forms it again from its first members.
        this->dissolve(group);
        const auto& previous = this->input.previous->groups();
        const auto record =
            std::find_if(previous.begin(), previous.end(),
                         [&](const group_record& candidate) { return candidate.id == group.record.id; });
        this->add_broken(*record, group.pool, true);
    }
}

void planner::dissolve(complete_group& group)
{
    group.dissolved = true;
    --this->pools[group.pool].complete;
    --this->pools[group.pool].per_fabric[group.fabric];
    for (const auto& member : group.record.members) {
        auto& entry = this->planned_engines[this->engine_index.at(member)];
        entry.in_group = false;
        this->fabrics[entry.fabric].free += entry.movable ? 1 : 0;
    }
}

double planner::cost(const planned_engine& candidate, const pool_demand& demand,
                     const std::vector<std::size_t>& chosen, std::size_t left_over) const
{
    double total = 0;
    if (candidate.broken_index >= 0) {
        const auto& group = this->broken_groups[static_cast<std::size_t>(candidate.broken_index)];
        // Survivors of the group with the most missing members are cheapest. A group that can no longer be
        // repaired needs none of its survivors, so the weights in memory decide among those.
        const bool repairable = left_over >= group.rank_engines.size();
        total += repairable ? foreign_survivor_cost : stranded_survivor_cost;
        total += stranded_survivor_cost * static_cast<double>(group.rank_engines.size() - group.missing());
    }
    if (candidate.view->model != demand.model || candidate.view->version != demand.version) {
        total += load_cost;
    }
    // Losing one member stops the group as losing several does, so instances that fail together share a
    // group.
    double shared_loss_weight = 0;
    if (this->input.risk != nullptr) {
        for (const auto other : chosen) {
            shared_loss_weight = std::max(
                shared_loss_weight,
                this->input.risk->weight(candidate.view->instance,
                                         this->planned_engines[other].view->instance, this->input.now));
        }
    }
    return total - shared_loss_weight;
}

/// `left_over`: free engines of the fabric domain after the current group is completed.
std::optional<std::size_t> planner::pick(std::size_t fabric, std::size_t pool,
                                         const std::vector<std::size_t>& chosen, std::size_t left_over) const
{
    std::optional<std::size_t> best;
    double best_cost = std::numeric_limits<double>::max();
    for (const auto index : this->fabrics[fabric].planned_engines) {
        const auto& candidate = this->planned_engines[index];
        if (candidate.in_group || !candidate.movable) {
            continue;
        }
        const auto candidate_cost = this->cost(candidate, *this->pools[pool].demand, chosen, left_over);
        if (candidate_cost < best_cost) {
            best = index;
            best_cost = candidate_cost;
        }
    }
    return best;
}

std::size_t planner::free_for(const broken_group& group) const
{
    std::size_t own = 0;
    for (const auto& rank_engine : group.rank_engines) {
        own += rank_engine && this->planned_engines[*rank_engine].movable ? 1 : 0;
    }
    return this->fabrics[group.fabric].free - own;
}

bool planner::repair_one(std::size_t pool)
{
    broken_group* best = nullptr;
    for (auto& group : this->broken_groups) {
        const auto missing = group.missing();
        const bool possible = !group.resolved && group.pool == pool && missing < group.rank_engines.size() &&
                              this->free_for(group) >= missing;
        if (possible && (best == nullptr || missing < best->missing())) {
            best = &group;
        }
    }
    if (best == nullptr) {
        return false;
    }
    best->resolved = true;
    auto rank_engines = best->rank_engines;
    std::vector<std::size_t> chosen;
    for (const auto& rank_engine : rank_engines) {
        if (rank_engine) {
            this->claim(*rank_engine);
            chosen.push_back(*rank_engine);
        }
    }
    group_record record = *best->record;
    const auto& demand = *this->pools[pool].demand;
    record.model = demand.model;
    record.version = demand.version;
    record.epoch = this->next_epoch();
    record.members.clear();
    record.incarnations.clear(); // set again by record_incarnations()
    const auto fabric = best->fabric;
    const auto left_over =
        this->fabrics[fabric].free -
        static_cast<std::size_t>(std::count(rank_engines.begin(), rank_engines.end(), std::nullopt));
    for (auto& rank_engine : rank_engines) {
        if (!rank_engine) {
            rank_engine = this->pick(fabric, pool, chosen, left_over);
            this->claim(*rank_engine);
            chosen.push_back(*rank_engine);
        }
        record.members.push_back(this->planned_engines[*rank_engine].view->instance);
    }
    ++this->stats.repaired;
    this->add_complete(pool, fabric, std::move(record));
    return true;
}

std::optional<std::size_t> planner::best_fabric(std::size_t pool) const
{
    const auto& state = this->pools[pool];
    std::optional<std::size_t> best;
    const auto better = [&](std::size_t a, std::size_t b) {
        if (state.per_fabric[a] != state.per_fabric[b]) {
            return state.per_fabric[a] < state.per_fabric[b];
        }
        const auto& left = this->fabrics[a];
        const auto& right = this->fabrics[b];
        return left.free != right.free ? left.free < right.free : left.id < right.id;
    };
    for (std::size_t i = 0; i < this->fabrics.size(); ++i) {
        const bool fits = this->fabrics[i].free >= state.demand->group_size;
        if (fits && (!best || better(i, *best))) {
            best = i;
        }
    }
    return best;
}

group_id planner::fresh_id(const pool_demand& demand)
{
    auto& number = this->next_number[demand.pool];
    while (true) {
        group_id id(demand.pool.str() + "." + this->input.domain.str() + "." + std::to_string(++number));
        if (this->used_ids.insert(id).second) {
            return id;
        }
    }
}

void planner::create_in(std::size_t pool, std::size_t fabric)
{
    const auto& demand = *this->pools[pool].demand;
    group_record record;
    record.id = this->fresh_id(demand);
    record.pool = demand.pool;
    record.model = demand.model;
    record.version = demand.version;
    record.fabric = this->fabrics[fabric].id;
    record.epoch = this->next_epoch();
    std::vector<std::size_t> chosen;
    const auto left_over = this->fabrics[fabric].free - demand.group_size;
    while (chosen.size() < demand.group_size) {
        const auto index = this->pick(fabric, pool, chosen, left_over);
        this->claim(*index);
        chosen.push_back(*index);
        record.members.push_back(this->planned_engines[*index].view->instance);
    }
    ++this->stats.created;
    this->add_complete(pool, fabric, std::move(record));
}

bool planner::create_one(std::size_t pool)
{
    const auto fabric = this->best_fabric(pool);
    if (fabric) {
        this->create_in(pool, *fabric);
    }
    return fabric.has_value();
}

bool planner::all_movable(const group_record& record) const
{
    return std::all_of(record.members.begin(), record.members.end(), [&](const instance_id& member) {
        return this->planned_engines[this->engine_index.at(member)].movable;
    });
}

bool planner::is_ready(const complete_group& group) const
{
    return std::all_of(group.record.members.begin(), group.record.members.end(),
                       [&](const instance_id& member) {
                           return this->planned_engines[this->engine_index.at(member)].view->ready;
                       });
}

/// Number of groups per pool that can be dissolved while the groups that serve now still meet the demand.
std::vector<std::uint32_t> planner::retirable() const
{
    std::vector<std::uint32_t> serving(this->pools.size());
    for (const auto& group : this->complete_groups) {
        serving[group.pool] += !group.dissolved && group.kept && this->is_ready(group) ? 1 : 0;
    }
    for (std::size_t pool = 0; pool < serving.size(); ++pool) {
        const auto wanted = this->pools[pool].demand->groups;
        serving[pool] = serving[pool] > wanted ? serving[pool] - wanted : 0;
    }
    return serving;
}

std::vector<std::vector<std::size_t>> planner::movable_groups() const
{
    std::vector<std::vector<std::size_t>> by_fabric(this->fabrics.size());
    for (std::size_t i = 0; i < this->complete_groups.size(); ++i) {
        const auto& group = this->complete_groups[i];
        if (group.kept && !group.dissolved && this->all_movable(group.record)) {
            by_fabric[group.fabric].push_back(i);
        }
    }
    return by_fabric;
}

bool planner::retire_surplus(std::size_t pool)
{
    const auto size = this->pools[pool].demand->group_size;
    const auto budget = this->retirable();
    if (std::all_of(budget.begin(), budget.end(), [](std::uint32_t groups) { return groups == 0; })) {
        return false;
    }
    const auto candidates = this->movable_groups();
    for (std::size_t fabric = 0; fabric < this->fabrics.size(); ++fabric) {
        auto left = budget;
        std::vector<std::size_t> retired;
        auto room = this->fabrics[fabric].free;
        for (const auto i : candidates[fabric]) {
            const auto& group = this->complete_groups[i];
            if (room < size && left[group.pool] > 0) {
                --left[group.pool];
                room += group.record.members.size();
                retired.push_back(i);
            }
        }
        if (room < size) {
            continue;
        }
        for (const auto i : retired) {
            this->dissolve(this->complete_groups[i]);
            ++this->stats.retired;
        }
        return true;
    }
    return false;
}

/// Pool and new fabric domain of each group that has to move out of `fabric` to make room for a group of
/// `size`; empty if moves cannot make enough room.
std::vector<std::pair<std::size_t, std::size_t>>
planner::moves_out_of(std::size_t fabric, std::uint32_t size, std::vector<std::size_t> smaller,
                      std::vector<std::uint32_t> surplus) const
{
    auto room = this->fabrics[fabric].free;
    std::stable_sort(smaller.begin(), smaller.end(), [&](std::size_t a, std::size_t b) {
        return this->complete_groups[a].record.members.size() >
               this->complete_groups[b].record.members.size();
    });
    // Free engines of other fabric domains that earlier moves use.
    std::unordered_map<std::size_t, std::size_t> taken;
    std::vector<std::pair<std::size_t, std::size_t>> moves;
    for (const auto i : smaller) {
        const auto members = this->complete_groups[i].record.members.size();
        if (surplus[this->complete_groups[i].pool] > 0) {
            --surplus[this->complete_groups[i].pool]; // the pool meets its demand without this group
            room += members;
            continue;
        }
        for (std::size_t other = 0; other < this->fabrics.size() && room < size; ++other) {
            if (other != fabric && this->fabrics[other].free >= taken[other] + members) {
                taken[other] += members;
                room += members;
                moves.emplace_back(this->complete_groups[i].pool, other);
                break;
            }
        }
    }
    return room >= size ? moves : std::vector<std::pair<std::size_t, std::size_t>>();
}

/// Forms copies of smaller groups in other fabric domains. Once the copies serve, retire_surplus() dissolves
/// the originals, so that a move costs no group downtime. Only one fabric domain is cleared at a time.
void planner::move_smaller_groups(std::size_t pool)
{
    const auto size = this->pools[pool].demand->group_size;
    const auto is_smaller = [&](std::size_t i) {
        return this->complete_groups[i].record.members.size() < size;
    };
    const bool under_way = std::any_of(
        this->complete_groups.begin(), this->complete_groups.end(), [&](const complete_group& group) {
            return group.kept && !group.dissolved && group.record.members.size() < size &&
                   !this->is_ready(group);
        });
    if (under_way) {
        return;
    }
    const auto surplus = this->retirable();
    auto candidates = this->movable_groups();
    for (std::size_t fabric = 0; fabric < this->fabrics.size() && this->stats.moved == 0; ++fabric) {
        auto& groups = candidates[fabric];
        groups.erase(std::stable_partition(groups.begin(), groups.end(), is_smaller), groups.end());
        if (groups.empty()) {
            continue;
        }
        for (const auto& [moved_pool, other] : this->moves_out_of(fabric, size, groups, surplus)) {
            this->create_in(moved_pool, other);
            ++this->stats.moved;
        }
    }
}

void planner::fill_pool(std::size_t pool)
{
    while (this->pools[pool].below_demand()) {
        if (!this->repair_one(pool) && !this->create_one(pool) && !this->retire_surplus(pool)) {
            this->move_smaller_groups(pool);
            return;
        }
    }
}

bool planner::can_keep(const broken_group& group) const
{
    return std::all_of(
        group.record->members.begin(), group.record->members.end(), [&](const instance_id& member) {
            const auto found = this->engine_index.find(member);
            return found != this->engine_index.end() && !this->planned_engines[found->second].in_group &&
                   this->planned_engines[found->second].fabric == group.fabric;
        });
}

void planner::keep_incomplete()
{
    std::vector<const broken_group*> order;
    for (const auto& group : this->broken_groups) {
        if (!group.resolved) {
            order.push_back(&group);
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const broken_group* a, const broken_group* b) {
        return a->missing() < b->missing();
    });
    std::vector<std::uint32_t> planned;
    for (const auto& pool : this->pools) {
        planned.push_back(pool.complete);
    }
    for (const auto* group : order) {
        if (planned[group->pool] < this->pools[group->pool].demand->groups && this->can_keep(*group)) {
            ++planned[group->pool];
            this->incomplete.push_back(*group->record);
        }
    }
}

void planner::keep_drained()
{
    for (const auto& record : this->input.previous->groups()) {
        const auto pool = this->pool_index.find(record.pool);
        const auto fabric = this->fabric_index.find(record.fabric);
        if (pool == this->pool_index.end() || fabric == this->fabric_index.end()) {
            continue;
        }
        broken_group group;
        group.record = &record;
        group.fabric = fabric->second;
        if (this->can_keep(group)) {
            this->incomplete.push_back(record);
        }
    }
}

void planner::count_engines()
{
    std::uint32_t used = 0;
    std::uint32_t usable = 0;
    for (const auto& group : this->complete_groups) {
        if (group.dissolved) {
            continue;
        }
        ++this->stats.complete;
        used += static_cast<std::uint32_t>(group.record.members.size());
        for (const auto& member : group.record.members) {
            const auto before = this->group_before.find(member);
            this->stats.reassigned += before == this->group_before.end() || before->second != group.record.id;
        }
    }
    for (const auto& entry : this->planned_engines) {
        usable += entry.view->usable ? 1 : 0;
    }
    for (const auto& pool : this->pools) {
        this->stats.unmet_demand += pool.below_demand() ? pool.demand->groups - pool.complete : 0;
    }
    this->stats.incomplete = static_cast<std::uint32_t>(this->incomplete.size());
    this->stats.stranded = this->stats.unmet_demand > 0 ? usable - used : 0;
}

result<grouping_outcome> planner::finish()
{
    this->count_engines();
    std::vector<group_record> records;
    for (auto& group : this->complete_groups) {
        if (!group.dissolved) {
            records.push_back(std::move(group.record));
        }
    }
    for (auto& record : this->incomplete) {
        records.push_back(std::move(record));
    }
    std::sort(records.begin(), records.end(),
              [](const group_record& a, const group_record& b) { return a.id < b.id; });
    std::vector<instance_location> locations;
    for (const auto& view : this->input.engines) {
        locations.push_back({view.instance, view.fabric});
    }
    std::sort(locations.begin(), locations.end(),
              [](const instance_location& a, const instance_location& b) { return a.instance < b.instance; });
    const auto same_location = [](const instance_location& a, const instance_location& b) {
        return a.instance == b.instance && a.fabric == b.fabric;
    };
    const auto* before = this->input.previous;
    bool changed = before == nullptr || before->groups() != records ||
                   !std::equal(locations.begin(), locations.end(), before->locations().begin(),
                               before->locations().end(), same_location);
    if (before != nullptr) {
        std::unordered_set<group_id> ids;
        for (const auto& record : records) {
            ids.insert(record.id);
        }
        for (const auto& record : before->groups()) {
            this->stats.dropped += ids.count(record.id) == 0 ? 1 : 0;
        }
    }
    auto plan = domain_plan::create(this->input.domain, std::move(records), locations);
    if (failed(plan)) {
        return error(plan);
    }
    return grouping_outcome{value(std::move(plan)), changed, this->stats};
}

result<grouping_outcome> planner::plan()
{
    this->index_engines();
    if (this->engine_index.size() != this->input.engines.size()) {
        return failure{failure_kind::refused,
                       "an engine of " + this->input.domain.str() + " is listed twice"};
    }
    this->index_pools();
    if (this->input.previous != nullptr) {
        for (const auto& record : this->input.previous->groups()) {
            this->used_ids.insert(record.id);
            for (const auto& member : record.members) {
                this->group_before.emplace(member, record.id);
            }
        }
    }
    if (this->input.drained) {
        if (this->input.previous != nullptr) {
            this->keep_drained();
        }
        return this->finish();
    }
    if (this->input.previous != nullptr) {
        for (const auto& record : this->input.previous->groups()) {
            this->classify(record);
        }
        this->update_versions();
    }
    for (std::size_t pool = 0; pool < this->pools.size(); ++pool) {
        this->fill_pool(pool);
    }
    this->keep_incomplete();
    return this->finish();
}

/// Capacity that divide_pools() has not assigned yet.
struct remaining_capacity
{
    std::vector<fabric_capacity> fabrics;

    fabric_capacity* room(const failure_domain_id& domain, std::uint32_t size)
    {
        fabric_capacity* best = nullptr;
        for (auto& fabric : this->fabrics) {
            if (fabric.domain == domain && fabric.engines >= size &&
                (best == nullptr || fabric.engines > best->engines)) {
                best = &fabric;
            }
        }
        return best;
    }
};

} // namespace

result<grouping_outcome> form_groups(const grouping_input& input)
{
    return planner(input).plan();
}

std::map<std::pair<model_pool_id, failure_domain_id>, std::uint32_t>
divide_pools(const std::vector<pool_request>& pools, const std::vector<fabric_capacity>& fabrics)
{
    remaining_capacity left{fabrics};
    std::vector<const pool_request*> order;
    order.reserve(pools.size());
    for (const auto& pool : pools) {
        order.push_back(&pool);
    }
    std::sort(order.begin(), order.end(), [](const pool_request* a, const pool_request* b) {
        return a->group_size != b->group_size ? a->group_size > b->group_size : a->pool < b->pool;
    });
    std::map<std::pair<model_pool_id, failure_domain_id>, std::uint32_t> shares;
    std::unordered_map<model_pool_id, std::uint32_t> given;
    bool progress = true;
    while (progress) {
        progress = false;
        // Each pool gets one group per round, so that scarce capacity is shared evenly among pools.
        for (const auto* pool : order) {
            if (given[pool->pool] >= pool->groups || pool->group_size == 0) {
                continue;
            }
            const failure_domain_id* best = nullptr;
            const auto better = [&](const failure_domain_id& a, const failure_domain_id& b) {
                const auto left_count = shares[{pool->pool, a}];
                const auto right_count = shares[{pool->pool, b}];
                return left_count != right_count ? left_count < right_count
                                                 : rendezvous_weight(pool->pool.str(), a.str()) >
                                                       rendezvous_weight(pool->pool.str(), b.str());
            };
            for (const auto& domain : pool->domains) {
                if (left.room(domain, pool->group_size) != nullptr &&
                    (best == nullptr || better(domain, *best))) {
                    best = &domain;
                }
            }
            if (best == nullptr) {
                continue;
            }
            left.room(*best, pool->group_size)->engines -= pool->group_size;
            ++shares[{pool->pool, *best}];
            ++given[pool->pool];
            progress = true;
        }
    }
    return shares;
}

} // namespace rml
