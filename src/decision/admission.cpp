#include "decision/admission.hpp"

#include <algorithm>
#include <utility>

namespace rml {

namespace {

using fractional_seconds = std::chrono::duration<double>;

/// Weight of the newest request in the smoothed service time.
constexpr double service_time_gain = 0.05;
/// Cost that a flow of weight 1 may spend per turn. The cost of one average request keeps the turns short.
constexpr double quantum = 1.0;
/// Lower bound of a flow's weight. Bounds the number of turns that one request needs.
constexpr double min_weight = 0.01;
/// A queued request is refused when its time in the queue so far plus its expected wait exceeds this multiple
/// of `max_wait`. A factor of 1 would refuse requests near the head of the queue on noise in the service
/// time.
constexpr double wait_tolerance = 1.5;
/// Expected wait without capacity. Short enough to be added to any time point without overflow.
constexpr std::chrono::hours unbounded_wait{24};

} // namespace

double admission::flow::cost_up_to(std::uint32_t priority) const
{
    double sum = 0;
    for (const auto& [key, content] : this->by_priority) {
        sum += key <= priority ? content.cost : 0;
    }
    return sum;
}

admission::queued_request admission::flow::pop_front()
{
    const auto first = this->by_priority.begin();
    auto entry = std::move(first->second.entries.front());
    first->second.entries.pop_front();
    first->second.cost -= entry.request.cost;
    if (first->second.entries.empty()) {
        this->by_priority.erase(first);
    }
    return entry;
}

double admission::rate() const
{
    return static_cast<double>(this->capacity) / std::max(this->service_time.count(), 1e-6);
}

duration admission::queue_wait(const round_robin& queue, const account_id& account, double weight,
                               double ahead) const
{
    if (this->capacity == 0) {
        return unbounded_wait;
    }
    const auto known = queue.by_account.find(account);
    const auto others = queue.total_weight - (known == queue.by_account.end() ? 0 : known->second->weight);
    const auto share = weight / (others + weight);
    // The queue is work-conserving: a request waits no longer than the service of all queued cost.
    const auto cost = std::min(ahead / share, queue.queued_cost + quantum);
    const auto before = &queue == &this->best_effort ? this->regular.queued_cost : 0.0;
    const fractional_seconds wait((cost + before) / this->rate());
    return std::chrono::duration_cast<duration>(std::min<fractional_seconds>(wait, unbounded_wait));
}

milliseconds admission::expected_wait(const admission_request& request) const
{
    if (this->counts.running < this->capacity) {
        return milliseconds(0);
    }
    const auto& queue = request.best_effort ? this->best_effort : this->regular;
    const auto known = queue.by_account.find(request.account);
    const auto ahead = known == queue.by_account.end() ? 0.0 : known->second->cost_up_to(request.priority);
    const auto wait =
        this->queue_wait(queue, request.account, std::max(request.weight, min_weight), ahead + quantum);
    return std::chrono::duration_cast<milliseconds>(wait);
}

refusal_reason admission::check(const admission_request& request, duration wait, time_point now) const
{
    if (this->capacity == 0) {
        return refusal_reason::no_capacity;
    }
    const auto run = std::chrono::duration_cast<duration>(this->service_time * request.cost);
    if (now + wait + run > request.deadline) {
        return refusal_reason::deadline;
    }
    return wait > this->settings.max_wait ? refusal_reason::wait : refusal_reason::none;
}

void admission::count_refusal(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_capacity:
        ++this->counts.refused_capacity;
        break;
    case refusal_reason::wait:
        ++this->counts.refused_wait;
        break;
    case refusal_reason::deadline:
        ++this->counts.refused_deadline;
        break;
    case refusal_reason::queue_full:
        ++this->counts.refused_full;
        break;
    case refusal_reason::none:
        break;
    }
}

admission_decision admission::offer(const admission_request& request, time_point now)
{
    const auto wait = this->expected_wait(request);
    auto reason = this->check(request, wait, now);
    if (reason == refusal_reason::none && this->counts.queued >= this->settings.max_queued) {
        reason = refusal_reason::queue_full;
    }
    if (reason != refusal_reason::none) {
        this->count_refusal(reason);
        return {admission_verdict::refused, reason, wait};
    }
    if (this->counts.running < this->capacity) {
        // Every rise of the capacity and every end of a request starts queued requests, so the queue is empty
        // while a slot is free.
        ++this->counts.running;
        ++this->counts.started;
        return {admission_verdict::started, refusal_reason::none, milliseconds(0)};
    }
    this->enqueue(request, now);
    return {admission_verdict::queued, refusal_reason::none, wait};
}

void admission::enqueue(const admission_request& request, time_point now)
{
    auto& queue = request.best_effort ? this->best_effort : this->regular;
    const auto weight = std::max(request.weight, min_weight);
    auto known = queue.by_account.find(request.account);
    if (known == queue.by_account.end()) {
        flow created;
        created.account = request.account;
        const auto position = queue.active.insert(queue.active.end(), std::move(created));
        known = queue.by_account.emplace(request.account, position).first;
    }
    auto& account_flow = *known->second;
    queue.total_weight += weight - account_flow.weight;
    account_flow.weight = weight;
    queue.queued_cost += request.cost;
    auto& content = account_flow.by_priority[request.priority];
    content.cost += request.cost;
    content.entries.push_back({request, now});
    ++this->counts.queued;
}

void admission::remove_if_empty(round_robin& queue, std::list<flow>::iterator position)
{
    if (!position->empty()) {
        return;
    }
    queue.quantum_due = queue.quantum_due || position == queue.active.begin();
    queue.total_weight -= position->weight;
    queue.by_account.erase(position->account);
    queue.active.erase(position);
    if (queue.active.empty()) {
        // Clears accumulated rounding errors.
        queue.total_weight = 0;
        queue.queued_cost = 0;
    }
}

admission::queued_request admission::dequeue(round_robin& queue)
{
    for (;;) {
        const auto front = queue.active.begin();
        if (queue.quantum_due) {
            front->deficit += quantum * front->weight;
            queue.quantum_due = false;
        }
        if (const auto cost = front->front().request.cost; cost <= front->deficit) {
            front->deficit -= cost;
            queue.queued_cost -= cost;
            --this->counts.queued;
            auto entry = front->pop_front();
            this->remove_if_empty(queue, front);
            return entry;
        }
        queue.active.splice(queue.active.end(), queue.active, front);
        queue.quantum_due = true;
    }
}

void admission::start_queued(admission_changes& changes, time_point now)
{
    while (this->counts.running < this->capacity) {
        auto* queue = !this->regular.active.empty() ? &this->regular : &this->best_effort;
        if (queue->active.empty()) {
            return;
        }
        const auto next = this->dequeue(*queue);
        if (const auto reason = this->check(next.request, duration::zero(), now);
            reason != refusal_reason::none) {
            ++this->counts.evicted;
            changes.refused.push_back({next.request.ticket, reason});
            continue;
        }
        ++this->counts.running;
        ++this->counts.started;
        changes.started.push_back(next.request.ticket);
    }
}

admission_changes admission::finish(duration elapsed, double cost, time_point now)
{
    if (elapsed > duration::zero() && cost > 0) {
        const fractional_seconds sample(std::chrono::duration<double>(elapsed).count() / cost);
        this->service_time += service_time_gain * (sample - this->service_time);
    }
    this->counts.running -= this->counts.running > 0 ? 1 : 0;
    admission_changes changes;
    this->start_queued(changes, now);
    return changes;
}

bool admission::cancel(admission_ticket ticket)
{
    for (auto* queue : {&this->regular, &this->best_effort}) {
        for (auto position = queue->active.begin(); position != queue->active.end(); ++position) {
            for (auto level = position->by_priority.begin(); level != position->by_priority.end(); ++level) {
                auto& entries = level->second.entries;
                const auto found =
                    std::find_if(entries.begin(), entries.end(),
                                 [&](const queued_request& entry) { return entry.request.ticket == ticket; });
                if (found == entries.end()) {
                    continue;
                }
                level->second.cost -= found->request.cost;
                queue->queued_cost -= found->request.cost;
                entries.erase(found);
                if (entries.empty()) {
                    position->by_priority.erase(level);
                }
                --this->counts.queued;
                this->remove_if_empty(*queue, position);
                return true;
            }
        }
    }
    return false;
}

void admission::evict_late(round_robin& queue, admission_changes& changes, time_point now)
{
    for (auto position = queue.active.begin(); position != queue.active.end();) {
        auto& account_flow = *position;
        double ahead = 0;
        for (auto level = account_flow.by_priority.begin(); level != account_flow.by_priority.end();) {
            auto& entries = level->second.entries;
            for (auto entry = entries.begin(); entry != entries.end();) {
                const auto& request = entry->request;
                const auto wait =
                    this->queue_wait(queue, account_flow.account, account_flow.weight, ahead + quantum);
                auto reason = this->check(request, wait, now);
                if (reason == refusal_reason::wait &&
                    now - entry->since + wait <= wait_tolerance * this->settings.max_wait) {
                    reason = refusal_reason::none;
                }
                if (reason == refusal_reason::none) {
                    ahead += request.cost;
                    ++entry;
                    continue;
                }
                changes.refused.push_back({request.ticket, reason});
                ++this->counts.evicted;
                --this->counts.queued;
                level->second.cost -= request.cost;
                queue.queued_cost -= request.cost;
                entry = entries.erase(entry);
            }
            level = entries.empty() ? account_flow.by_priority.erase(level) : std::next(level);
        }
        this->remove_if_empty(queue, position++);
    }
}

admission_changes admission::update_capacity(std::size_t slots, time_point now)
{
    const bool shrank = slots < this->capacity;
    this->capacity = slots;
    admission_changes changes;
    this->start_queued(changes, now);
    if (shrank) {
        this->evict_late(this->regular, changes, now);
        this->evict_late(this->best_effort, changes, now);
    }
    return changes;
}

admission_changes admission::refuse_queued()
{
    admission_changes changes;
    for (auto* queue : {&this->regular, &this->best_effort}) {
        for (const auto& account_flow : queue->active) {
            for (const auto& [priority, content] : account_flow.by_priority) {
                for (const auto& entry : content.entries) {
                    changes.refused.push_back({entry.request.ticket, refusal_reason::no_capacity});
                }
            }
        }
        *queue = {};
    }
    this->counts.evicted += changes.refused.size();
    this->counts.queued = 0;
    return changes;
}

admission_changes admission::expire(time_point now)
{
    admission_changes changes;
    this->evict_late(this->regular, changes, now);
    this->evict_late(this->best_effort, changes, now);
    return changes;
}

} // namespace rml
