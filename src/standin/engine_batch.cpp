#include "model/token_stream.hpp"
#include "standin/engine_node.hpp"

#include <algorithm>

namespace rml::standin::detail {

void engine_node::admit(const run_pointer& run)
{
    this->queued.push_back(run);
    this->promote();
    this->note_load();
}

void engine_node::promote()
{
    while (this->running.size() < this->options.batch && !this->queued.empty()) {
        const auto first = std::max_element(
            this->queued.begin(), this->queued.end(),
            [](const run_pointer& a, const run_pointer& b) { return a->priority < b->priority; });
        const auto run = *first;
        this->queued.erase(first);
        this->start_run(run);
        if (run->phase == run_phase::lost) {
            return;
        }
    }
    this->schedule_step();
}

void engine_node::start_run(const run_pointer& run)
{
    run->phase = run_phase::running;
    run->group = this->group.str() + "@" + std::to_string(this->epoch);
    this->running.push_back(run);
    ++this->counters.started;
    this->counters.most_running = std::max<std::uint64_t>(this->counters.most_running, this->running.size());
    if (!this->members_present()) {
        ++this->counters.started_with_missing_member;
    }
    if (!this->options.crash_marker.empty() &&
        run->prompt.find(this->options.crash_marker) != std::string::npos) {
        ++this->counters.crashes;
        this->restart();
        return;
    }
    if (this->running.size() > this->borne()) {
        ++this->counters.overloads_while_cold;
        this->restart();
        return;
    }
    if (this->cache.use(prefix_hash(run->prompt), steady_clock::now())) {
        ++this->counters.cache_hits;
    } else {
        run->prefill_steps = this->options.prefill / std::max(this->options.step, milliseconds(1));
    }
    run->wake.cancel();
}

void engine_node::schedule_step()
{
    if (this->stepping || this->running.empty()) {
        return;
    }
    this->stepping = true;
    this->step_timer.expires_after(this->options.step * std::max<std::int64_t>(this->faults.slow_factor, 1));
    this->step_timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code& code) {
        const auto self = weak.lock();
        if (!code && self) {
            self->stepping = false;
            self->step();
        }
    });
}

void engine_node::step()
{
    if (this->faults.paused || this->member_paused()) {
        this->schedule_step();
        return;
    }
    const auto batch = this->running;
    for (const auto& run : batch) {
        if (run->deadline <= steady_clock::now()) {
            this->end_run(*run, run_phase::expired);
            continue;
        }
        if (run->prefill_steps > 0) {
            --run->prefill_steps;
            continue;
        }
        ++run->available;
        ++this->counters.tokens;
        if (run->available >= run->wanted) {
            ++this->counters.completed;
            this->end_run(*run, run_phase::finished);
        } else {
            run->wake.cancel();
        }
    }
    this->promote();
    this->note_load();
}

void engine_node::end_run(engine_run& run, run_phase phase)
{
    run.phase = phase;
    const auto same = [&](const run_pointer& other) { return other.get() == &run; };
    run.wake.cancel();
    this->queued.remove_if(same);
    this->running.remove_if(same);
}

void engine_node::end_all(run_phase phase)
{
    auto all = std::move(this->running);
    all.splice(all.end(), this->queued);
    this->running.clear();
    this->queued.clear();
    for (const auto& run : all) {
        this->counters.lost += phase == run_phase::lost ? 1 : 0;
        run->phase = phase;
        run->wake.cancel();
    }
    this->note_load();
}

void engine_node::note_load()
{
    const auto now = steady_clock::now();
    this->load_samples.push_back({now, static_cast<std::uint32_t>(this->running.size()),
                                  static_cast<std::uint32_t>(this->queued.size())});
    const auto visible = now - this->options.status_lag;
    while (this->load_samples.size() > 1 && this->load_samples[1].at <= visible) {
        this->load_samples.pop_front();
    }
}

std::size_t engine_node::borne() const
{
    std::size_t slots = this->options.cold_slots;
    const auto warm_step = this->options.warm_step;
    if (warm_step <= milliseconds::zero()) {
        return this->options.batch;
    }
    for (auto passed = steady_clock::now() - this->warm_since;
         passed >= warm_step && slots < this->options.batch; passed -= warm_step) {
        slots *= 2;
    }
    return std::min(std::max<std::size_t>(slots, 1), this->options.batch);
}

void engine_node::restart()
{
    ++this->counters.restarts;
    ++this->incarnation;
    ++this->load_number;
    this->end_all(run_phase::lost);
    this->group = group_id();
    this->epoch = 0;
    this->rank = 0;
    this->members.clear();
    this->model = model_id();
    this->version.clear();
    this->fencing = 0;
    this->loaded = false;
    this->leaving = false;
    this->cache.clear();
    this->down_until = steady_clock::now() + this->options.restart;
    this->server->close_connections();
    this->announce_loss();
}

void engine_node::announce_loss()
{
    for (const auto& [instance, other] : *this->registry) {
        if (other != this) {
            other->lose_member(this->options.instance);
        }
    }
}

void engine_node::lose_member(const instance_id& member)
{
    const bool affected =
        this->rank == 0 && !this->group.empty() &&
        std::find(this->members.begin(), this->members.end(), member) != this->members.end();
    if (affected) {
        this->end_all(run_phase::lost);
    }
}

bool engine_node::serves_as_member(const group_id& wanted, std::uint64_t wanted_epoch) const
{
    return !this->faults.down && steady_clock::now() >= this->down_until && this->loaded &&
           this->group == wanted && this->epoch == wanted_epoch;
}

bool engine_node::members_present() const
{
    return std::all_of(this->members.begin(), this->members.end(), [this](const instance_id& member) {
        const auto found = this->registry->find(member);
        return found == this->registry->end() || found->second == this ||
               found->second->serves_as_member(this->group, this->epoch);
    });
}

bool engine_node::member_paused() const
{
    return std::any_of(this->members.begin(), this->members.end(), [this](const instance_id& member) {
        const auto found = this->registry->find(member);
        return found != this->registry->end() && found->second->faults.paused;
    });
}

} // namespace rml::standin::detail
