#include "operator/publisher.hpp"

#include "objects/object_check.hpp"

#include <algorithm>
#include <thread>

namespace rml {

namespace {

/// Attempts of an edit before the conflict is reported. Operators rarely race, but without a limit a script
/// that publishes in a loop could delay an edit forever.
constexpr int max_edit_attempts = 5;

void set_outcome(publish_report& report, publish_outcome outcome, failure reason)
{
    report.outcome = outcome;
    report.reason = std::move(reason);
}

} // namespace

std::string_view to_string(publish_outcome outcome)
{
    switch (outcome) {
    case publish_outcome::published:
        return "published";
    case publish_outcome::unchanged:
        return "unchanged";
    case publish_outcome::conflict:
        return "conflict";
    case publish_outcome::not_published:
        return "not_published";
    case publish_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

publish_report publisher::publish(object_set set, std::optional<std::uint64_t> expected)
{
    return this->publish_once(std::move(set), expected, this->options.attempt_id);
}

publish_report publisher::edit(const std::function<status(object_set&)>& change)
{
    publish_report report;
    for (int race = 0; race < max_edit_attempts; ++race) {
        report = {};
        report.attempt_id = this->options.attempt_id + "-" + std::to_string(race);
        auto state = this->read();
        if (failed(state)) {
            set_outcome(report, publish_outcome::not_published, error(state));
            return report;
        }
        auto set = value(state).current.set;
        report.generation = value(state).head.generation;
        if (auto changed = change(set); failed(changed)) {
            set_outcome(report, publish_outcome::not_published, error(changed));
            return report;
        }
        if (const auto problems = check_objects(set); has_errors(problems)) {
            set_outcome(report, publish_outcome::not_published, to_failure(problems));
            return report;
        }
        report = this->publish_once(std::move(set), value(state).head.generation, report.attempt_id);
        if (report.outcome != publish_outcome::conflict) {
            return report;
        }
    }
    return report;
}

result<published_state> publisher::read()
{
    const auto head = this->read_head();
    if (failed(head)) {
        return error(head);
    }
    published_state state;
    state.head = value(head).head;
    state.head_revision = value(head).revision;
    if (state.head.generation == 0) {
        return state;
    }
    auto set = this->read_generation(state.head.generation);
    if (failed(set)) {
        return error(set);
    }
    state.current = value(std::move(set));
    if (object_set_digest(state.current.set) != state.head.digest) {
        return failure{failure_kind::malformed,
                       config_set_key(state.head.generation) + ": digest differs from the head"};
    }
    return state;
}

result<published_set> publisher::read_generation(std::uint64_t generation)
{
    const auto key = config_set_key(generation);
    const auto found = this->get(key);
    if (failed(found)) {
        return error(found);
    }
    if (!value(found)) {
        return failure{failure_kind::not_found, key};
    }
    auto published = decode_published_set(value(found)->bytes);
    if (succeeded(published) && value(published).set.generation != generation) {
        return failure{failure_kind::malformed, key + ": holds another generation"};
    }
    return published;
}

result<std::optional<stored_value>> publisher::get(std::string_view key)
{
    for (int attempt = 1;; ++attempt) {
        auto found = this->store.get(key);
        if (succeeded(found) || attempt >= this->options.step_attempts) {
            return found;
        }
        this->pause(this->options.retry_delay);
    }
}

result<publisher::head_value> publisher::read_head()
{
    const auto found = this->get(config_head_key);
    if (failed(found)) {
        return error(found);
    }
    if (!value(found)) {
        return head_value{};
    }
    auto head = decode_config_head(value(found)->bytes);
    if (failed(head)) {
        return error(head);
    }
    return head_value{value(std::move(head)), value(found)->revision};
}

publish_report publisher::publish_once(object_set set, std::optional<std::uint64_t> expected,
                                       const std::string& attempt_id)
{
    publish_report report;
    report.attempt_id = attempt_id;
    const auto head = this->read_head();
    if (failed(head)) {
        set_outcome(report, publish_outcome::not_published, error(head));
        return report;
    }
    auto base = value(head);
    report.generation = base.head.generation;
    if (expected && *expected != base.head.generation) {
        set_outcome(report, publish_outcome::conflict,
                    {failure_kind::conflict, "generation " + std::to_string(base.head.generation) +
                                                 " is in force, expected " + std::to_string(*expected)});
        return report;
    }
    if (base.head.generation > 0 && object_set_digest(set) == base.head.digest) {
        set.generation = base.head.generation;
        report.outcome = publish_outcome::unchanged;
        report.set = std::move(set);
        return report;
    }
    set.generation = base.head.generation + 1;
    const auto bytes =
        encode_published_set({attempt_id, this->options.author, this->options.published_at, set});
    if (failed(bytes)) {
        set_outcome(report, publish_outcome::not_published, error(bytes));
        return report;
    }
    const auto key = config_set_key(set.generation);
    failure reason;
    const auto written = this->write_set(key, value(bytes), attempt_id, 0, reason);
    if (written == set_write::failed) {
        set_outcome(report, publish_outcome::not_published, std::move(reason));
        return report;
    }
    if (written == set_write::occupied &&
        !this->replace_unfinished(key, value(bytes), attempt_id, base, report)) {
        return report;
    }
    this->write_head(base, {set.generation, object_set_digest(set), attempt_id, ""}, report);
    if (report.outcome == publish_outcome::published) {
        this->destroy_expired(set.generation);
        report.set = std::move(set);
    }
    return report;
}

publisher::set_write publisher::write_set(const std::string& key, const std::string& bytes,
                                          const std::string& attempt_id, std::uint64_t expected,
                                          failure& reason)
{
    for (int attempt = 0; attempt < this->options.step_attempts; ++attempt) {
        if (attempt > 0) {
            this->pause(this->options.retry_delay);
        }
        const auto written =
            expected == 0 ? this->store.create(key, bytes) : this->store.update(key, bytes, expected);
        if (succeeded(written)) {
            return set_write::written;
        }
        reason = error(written);
        const auto found = this->store.get(key);
        if (failed(found)) {
            reason = error(found);
            continue;
        }
        if (!value(found)) {
            continue;
        }
        const auto publication = decode_publication(value(found)->bytes);
        if (succeeded(publication) && value(publication).attempt_id == attempt_id) {
            return set_write::written;
        }
        if (value(found)->revision != expected) {
            return set_write::occupied;
        }
    }
    return set_write::failed;
}

bool publisher::replace_unfinished(const std::string& key, const std::string& bytes,
                                   const std::string& attempt_id, head_value& base, publish_report& report)
{
    this->pause(this->options.unfinished_wait);
    if (!this->fence(base, attempt_id, report)) {
        return false;
    }
    // The head is read again after the set. While it still has this fence, the set was written under an older
    // head, and its writer can no longer swap the head. Otherwise the set may belong to a later fence.
    const auto found = this->get(key);
    const auto now = this->read_head();
    if (failed(found) || !value(found) || failed(now)) {
        set_outcome(report, publish_outcome::not_published,
                    failed(found) ? error(found)
                    : failed(now) ? error(now)
                                  : failure{failure_kind::not_found, key});
        return false;
    }
    if (value(now).revision != base.revision) {
        report.generation = value(now).head.generation;
        set_outcome(report, publish_outcome::conflict,
                    {failure_kind::conflict, "another publication came first"});
        return false;
    }
    failure reason;
    const auto written = this->write_set(key, bytes, attempt_id, value(found)->revision, reason);
    if (written == set_write::failed) {
        set_outcome(report, publish_outcome::not_published, std::move(reason));
        return false;
    }
    if (written == set_write::occupied) {
        set_outcome(report, publish_outcome::conflict, {failure_kind::conflict, key + " was taken over"});
        return false;
    }
    report.replaced_unfinished = true;
    return true;
}

bool publisher::fence(head_value& base, const std::string& attempt_id, publish_report& report)
{
    auto fenced = base.head;
    fenced.fence = attempt_id;
    const auto bytes = encode_config_head(fenced);
    for (int attempt = 0; attempt < this->options.step_attempts; ++attempt) {
        if (attempt > 0) {
            this->pause(this->options.retry_delay);
        }
        const auto written = base.revision == 0 ? this->store.create(config_head_key, bytes)
                                                : this->store.update(config_head_key, bytes, base.revision);
        if (succeeded(written)) {
            base = {fenced, value(written)};
            return true;
        }
        report.reason = error(written);
        const auto now = this->read_head();
        if (failed(now)) {
            report.reason = error(now);
            continue;
        }
        if (value(now).head.generation == base.head.generation && value(now).head.fence == attempt_id) {
            base = value(now);
            return true;
        }
        if (value(now).revision != base.revision) {
            report.generation = value(now).head.generation;
            set_outcome(report, publish_outcome::conflict,
                        {failure_kind::conflict, "another publication came first"});
            return false;
        }
    }
    // A fence that arrives later changes no generation, so nothing of this publication can come into force.
    report.outcome = publish_outcome::not_published;
    return false;
}

void publisher::write_head(const head_value& base, const config_head& next, publish_report& report)
{
    const auto bytes = encode_config_head(next);
    bool sent = false;
    for (int attempt = 0; attempt < this->options.step_attempts; ++attempt) {
        if (attempt > 0) {
            this->pause(this->options.retry_delay);
        }
        const auto written = base.revision == 0 ? this->store.create(config_head_key, bytes)
                                                : this->store.update(config_head_key, bytes, base.revision);
        if (succeeded(written)) {
            report.generation = next.generation;
            report.outcome = publish_outcome::published;
            return;
        }
        report.reason = error(written);
        sent = sent || (error(written).kind != failure_kind::connection_refused &&
                        error(written).kind != failure_kind::conflict);
        if (this->resolve_head(base, next, report)) {
            return;
        }
    }
    report.outcome = sent ? publish_outcome::unknown : publish_outcome::not_published;
}

/// Reads the head back after a write whose outcome is unknown. Returns true when the outcome is decided.
bool publisher::resolve_head(const head_value& base, const config_head& next, publish_report& report)
{
    const auto now = this->read_head();
    if (failed(now)) {
        return false;
    }
    const auto& head = value(now).head;
    if (value(now).revision == base.revision) {
        return false;
    }
    bool own = head.generation == next.generation && head.attempt_id == next.attempt_id;
    if (!own && head.generation > next.generation) {
        // Later generations were published. A set is never replaced after the head has reached its
        // generation.
        const auto set = this->get(config_set_key(next.generation));
        if (failed(set) || !value(set)) {
            return false;
        }
        const auto publication = decode_publication(value(set)->bytes);
        own = succeeded(publication) && value(publication).attempt_id == next.attempt_id;
    }
    if (own) {
        report.generation = next.generation;
        report.outcome = publish_outcome::published;
        return true;
    }
    report.generation = head.generation;
    set_outcome(report, publish_outcome::conflict,
                {failure_kind::conflict, "another publication came first; generation " +
                                             std::to_string(head.generation) + " is in force"});
    return true;
}

/// Removes the oldest generation of the history. Best effort: a generation that remains only takes space.
void publisher::destroy_expired(std::uint64_t generation)
{
    if (generation <= this->options.retained_generations) {
        return;
    }
    const auto key = config_set_key(generation - this->options.retained_generations);
    const auto found = this->store.get(key);
    if (succeeded(found) && value(found)) {
        this->store.destroy(key, value(found)->revision);
    }
}

void publisher::pause(milliseconds time) const
{
    if (time.count() > 0) {
        std::this_thread::sleep_for(time);
    }
}

std::function<status(object_set&)> set_domain_state(const failure_domain_id& domain, service_state state)
{
    return [domain, state](object_set& set) -> status {
        const auto found =
            std::find_if(set.failure_domains.begin(), set.failure_domains.end(),
                         [&](const failure_domain_object& object) { return object.name == domain; });
        if (found == set.failure_domains.end()) {
            return failure{failure_kind::not_found, "failure_domain " + domain.str()};
        }
        found->state = state;
        return success();
    };
}

} // namespace rml
