#include "base/log.hpp"
#include "gateway/coroutine.hpp"
#include "gateway/request_run.hpp"

namespace rml::gateway::detail {

namespace {

/// Interval in which a request at a stalled target looks for another one.
constexpr milliseconds standby_interval{200};

} // namespace

void request_run::on_stalled(target_attempt& attempt)
{
    if (&attempt == this->standby.get()) {
        if (this->standby_running && !attempt.superseded && this->choose_standby()) {
            attempt.superseded = true;
            attempt.bound.connection->close();
        }
        return;
    }
    const auto now = steady_clock::now();
    if (!attempt.awaits_target || attempt.superseded || this->standby_running || now < this->next_standby) {
        return;
    }
    this->next_standby = now + standby_interval;
    this->standby_wanted = true;
    if (const auto target = this->choose_standby(); target) {
        this->standby_running = true;
        start_coroutine(this->owner.context,
                        [this, target](http::yield_context in) { this->run_standby(target, in); });
    }
}

std::optional<instance_id> request_run::choose_standby()
{
    const auto now = steady_clock::now();
    if (!this->standby_wanted || this->stopping || this->caller_disconnected || now >= this->deadline) {
        return std::nullopt;
    }
    if (this->sends >= this->chosen_route->max_attempts) {
        this->standby_obstacle = "attempt limit of the route reached";
        return std::nullopt;
    }
    if (!this->head_sent && !this->ends_before_stop(now)) {
        this->standby_obstacle = stopping_reason;
        return std::nullopt;
    }
    this->trial = false;
    if (this->owner.guard.check(this->features, now) != send_permission::allowed) {
        this->standby_obstacle = "suspected of crashing its target";
        return std::nullopt;
    }
    auto target = this->choose();
    if (!target) {
        this->standby_obstacle = "no other target";
        return std::nullopt;
    }
    if (!this->reserve_retry(now)) {
        this->standby_obstacle = "retry budget exhausted";
        return std::nullopt;
    }
    return target;
}

void request_run::run_standby(std::optional<instance_id> target, http::yield_context in)
{
    while (target) {
        const auto* state = this->owner.fleet.find_target(*target);
        if (state == nullptr) {
            break;
        }
        this->tried.push_back(*target);
        const auto attempt = this->create_attempt(*state);
        this->standby = attempt;
        this->owner.resumed.add();
        const auto end = this->begin(*attempt, in);
        if (end == attempt_end::begun && this->standby_wanted) {
            this->primary->superseded = true;
            if (this->primary->bound.connection) {
                this->primary->bound.connection->close();
            }
            break;
        }
        log(log_level::info, "standby attempt ended",
            {{"request_id", this->request_id},
             {"target", target->str()},
             {"reason", this->standby_wanted ? attempt->reason : "no longer needed"}});
        this->standby.reset();
        this->end_attempt(*attempt, end == attempt_end::begun ? attempt_end::superseded : end, in);
        target = this->primary->open ? this->choose_standby() : std::nullopt;
    }
    this->standby_running = false;
    this->standby_change.cancel();
}

void request_run::abandon_standby()
{
    this->standby_wanted = false;
    if (!this->standby) {
        return;
    }
    this->standby->superseded = true;
    if (!this->standby_running) {
        this->end_attempt(*this->standby, attempt_end::superseded, this->yield);
        this->standby.reset();
    } else if (this->standby->bound.connection) {
        this->standby->bound.connection->close();
    }
}

bool request_run::wait_for_standby()
{
    const auto ends = [this] { return this->stopping || this->caller_disconnected; };
    while (this->standby_running && !ends()) {
        this->wait_for_change();
    }
    return this->standby != nullptr && !ends();
}

void request_run::wait_for_change()
{
    boost::system::error_code ignored;
    this->standby_change.expires_at(time_point::max());
    this->standby_change.async_wait(this->yield[ignored]);
}

void request_run::close_connections()
{
    for (const auto& attempt : {this->primary, this->standby}) {
        if (attempt && attempt->bound.connection) {
            attempt->bound.connection->close();
        }
    }
    this->standby_change.cancel();
}

} // namespace rml::gateway::detail
