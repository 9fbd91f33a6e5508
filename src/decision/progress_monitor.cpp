#include "decision/progress_monitor.hpp"

namespace rml {

void progress_monitor::begin(const instance_id& target, time_point now)
{
    auto& found = this->targets[target];
    if (found.requests == 0) {
        found.silent_since = now;
    }
    ++found.requests;
}

void progress_monitor::progress(const instance_id& target, bool first, time_point now)
{
    if (const auto found = this->targets.find(target); found != this->targets.end()) {
        found->second.silent_since = now;
        found->second.last_bytes = now;
        found->second.streaming += first ? 1 : 0;
    }
}

void progress_monitor::end(const instance_id& target, bool streaming)
{
    const auto found = this->targets.find(target);
    if (found == this->targets.end()) {
        return;
    }
    found->second.streaming -= streaming ? 1 : 0;
    if (--found->second.requests == 0) {
        this->targets.erase(found);
    }
}

bool progress_monitor::streaming(const instance_id& target) const
{
    const auto found = this->targets.find(target);
    return found != this->targets.end() && found->second.streaming > 0;
}

std::uint32_t progress_monitor::in_flight(const instance_id& target) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? 0 : found->second.requests;
}

duration progress_monitor::silence(const instance_id& target, time_point now) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? duration::zero() : now - found->second.silent_since;
}

bool progress_monitor::progressed(const instance_id& target, duration within, time_point now) const
{
    const auto found = this->targets.find(target);
    return found != this->targets.end() && found->second.last_bytes != time_point{} &&
           now - found->second.last_bytes <= within;
}

std::vector<instance_id> progress_monitor::busy() const
{
    std::vector<instance_id> out;
    for (const auto& [target, content] : this->targets) {
        out.push_back(target);
    }
    return out;
}

void progress_monitor::tick(time_point now)
{
    if (this->pauses.tick(now)) {
        for (auto& [target, content] : this->targets) {
            content.silent_since = now;
        }
    }
}

} // namespace rml
