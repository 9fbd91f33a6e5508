#include "decision/crash_attribution.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <string>

namespace rml {

namespace {

/// Time after a loss until which another loss that explains it can be reported.
constexpr milliseconds decision_delay = limits::correlated_loss_window + limits::loss_report_delay;
/// Unexplained losses after which a request is blocked. The second one normally happens in a trial.
constexpr std::size_t blocking_losses = 2;
/// Interval between removals of expired records.
constexpr seconds expiry_interval{10};

duration time_between(time_point a, time_point b)
{
    return a > b ? a - b : b - a;
}

} // namespace

request_fingerprint make_fingerprint(const account_id& account, std::string_view path, std::string_view body)
{
    return {hash64(body, hash64(path, hash64(account.str())))};
}

std::uint64_t crash_attribution::loss_key(const group_run& run)
{
    // Hashes one text instead of passing the incarnation as a seed: on inputs of a few bytes, small seeds
    // collide across groups.
    return hash64(run.group.str() + '@' + std::to_string(run.incarnation));
}

bool crash_attribution::explained(const record& known, const counted_loss& counted) const
{
    if (counted.decided) {
        return counted.explained;
    }
    const auto own = std::find_if(this->recent_losses.begin(), this->recent_losses.end(),
                                  [&](const loss_event& event) { return event.loss == counted.loss; });
    if (own == this->recent_losses.end()) {
        return false;
    }
    return std::any_of(this->recent_losses.begin(), this->recent_losses.end(), [&](const loss_event& event) {
        const bool involved =
            std::any_of(known.counted_losses.begin(), known.counted_losses.end(),
                        [&](const counted_loss& other) { return other.loss == event.loss; });
        // Losses in which the same request was in flight cannot explain each other: a query of death causes
        // several losses that look correlated.
        return !involved && time_between(event.at, own->at) <= limits::correlated_loss_window &&
               (event.fabric == own->fabric || event.domain == own->domain);
    });
}

crash_verdict crash_attribution::verdict_of(const record& known, time_point now) const
{
    if (known.blocked) {
        return crash_verdict::blocked;
    }
    std::size_t unexplained = 0;
    bool decided = true;
    for (const auto& counted : known.counted_losses) {
        if (now < counted.at + limits::classification_delay) {
            return crash_verdict::hold;
        }
        unexplained += this->explained(known, counted) ? 0 : 1;
        decided = decided && (counted.decided || now >= counted.at + decision_delay);
    }
    if (unexplained >= blocking_losses) {
        return decided ? crash_verdict::blocked : crash_verdict::refuse;
    }
    return unexplained > 0 || known.counted_losses.size() >= 2 ? crash_verdict::trial : crash_verdict::run;
}

crash_verdict crash_attribution::check(request_fingerprint fingerprint, time_point now) const
{
    const auto known = this->records.find(fingerprint.value);
    if (known == this->records.end() || now >= known->second.expires) {
        return crash_verdict::run;
    }
    return this->verdict_of(known->second, now);
}

void crash_attribution::begin(std::uint64_t ticket, request_fingerprint fingerprint, const group_run& target,
                              bool trial)
{
    this->in_flight[ticket] = {fingerprint, target, trial};
    this->by_group[target.group].push_back(ticket);
}

crash_changes crash_attribution::end(std::uint64_t ticket, bool succeeded, time_point now)
{
    crash_changes changes;
    const auto found = this->in_flight.find(ticket);
    if (found == this->in_flight.end()) {
        return changes;
    }
    const auto ended = found->second;
    this->in_flight.erase(found);
    if (const auto members = this->by_group.find(ended.target.group); members != this->by_group.end()) {
        auto& tickets = members->second;
        tickets.erase(std::remove(tickets.begin(), tickets.end(), ticket), tickets.end());
        if (tickets.empty()) {
            this->by_group.erase(members);
        }
    }
    const auto known = this->records.find(ended.fingerprint.value);
    if (!ended.trial || !succeeded || known == this->records.end() || known->second.blocked) {
        return changes;
    }
    ++known->second.version;
    known->second.counted_losses.clear();
    ++this->counts.cleared;
    changes.notices.push_back(this->make_notice(ended.fingerprint, known->second, now));
    return changes;
}

void crash_attribution::evict_record()
{
    // Evicts suspected before blocked requests, and of these the one that expires first.
    const auto before = [](const auto& a, const auto& b) {
        return std::make_pair(a.second.blocked, a.second.expires) <
               std::make_pair(b.second.blocked, b.second.expires);
    };
    this->records.erase(std::min_element(this->records.begin(), this->records.end(), before));
    ++this->counts.dropped;
}

crash_attribution::record& crash_attribution::find_or_create(request_fingerprint fingerprint, time_point now)
{
    const auto known = this->records.find(fingerprint.value);
    if (known != this->records.end()) {
        if (now >= known->second.expires) {
            known->second = record{};
        }
        return known->second;
    }
    if (this->records.size() >= limits::crash_records) {
        this->evict_record();
    }
    return this->records[fingerprint.value];
}

void crash_attribution::count_loss(request_fingerprint fingerprint, record& known, std::uint64_t loss,
                                   time_point at)
{
    bool listed = false;
    for (const auto& entry : known.counted_losses) {
        if (entry.loss == loss) {
            return;
        }
        listed = listed || !entry.decided;
    }
    if (known.counted_losses.size() < max_losses) {
        known.counted_losses.push_back({loss, at, false, false});
        if (!listed) {
            this->undecided.push_back(fingerprint);
        }
    }
}

crash_changes crash_attribution::group_lost(const group_run& lost, time_point at, time_point now)
{
    crash_changes changes;
    const auto key = loss_key(lost);
    const bool repeated = std::any_of(this->recent_losses.begin(), this->recent_losses.end(),
                                      [&](const loss_event& event) { return event.loss == key; });
    if (!repeated) {
        ++this->counts.losses;
        this->recent_losses.push_back({key, lost.fabric, lost.domain, at});
        if (this->recent_losses.size() > limits::crash_recent_losses) {
            this->recent_losses.pop_front();
        }
    }
    const auto members = this->by_group.find(lost.group);
    if (members == this->by_group.end()) {
        return changes;
    }
    std::vector<std::uint64_t> others;
    for (const auto ticket : members->second) {
        const auto found = this->in_flight.find(ticket);
        const auto entry = found->second;
        if (entry.target.incarnation != lost.incarnation) {
            others.push_back(ticket);
            continue;
        }
        this->in_flight.erase(found);
        auto& known = this->find_or_create(entry.fingerprint, now);
        known.local = true;
        known.expires = now + limits::block_lifetime;
        this->count_loss(entry.fingerprint, known, key, now);
        this->unclassified.push_back({ticket, entry.fingerprint, now + limits::classification_delay});
        if (known.counted_losses.size() >= 2) {
            // Sent before the classification, so that no other daemon runs the request in the meantime.
            changes.notices.push_back(this->make_notice(entry.fingerprint, known, now));
        }
    }
    members->second = std::move(others);
    if (members->second.empty()) {
        this->by_group.erase(members);
    }
    return changes;
}

std::vector<failure_domain_id> crash_attribution::recent_domains(request_fingerprint fingerprint) const
{
    std::vector<failure_domain_id> domains;
    const auto known = this->records.find(fingerprint.value);
    if (known == this->records.end()) {
        return domains;
    }
    for (const auto& event : this->recent_losses) {
        const bool is_counted =
            std::any_of(known->second.counted_losses.begin(), known->second.counted_losses.end(),
                        [&](const counted_loss& counted) { return counted.loss == event.loss; });
        if (is_counted && std::find(domains.begin(), domains.end(), event.domain) == domains.end()) {
            domains.push_back(event.domain);
        }
    }
    return domains;
}

crash_notice crash_attribution::make_notice(request_fingerprint fingerprint, const record& known,
                                            time_point now) const
{
    crash_notice notice;
    notice.fingerprint = fingerprint;
    notice.version = known.version;
    notice.blocked = known.blocked;
    for (const auto& counted : known.counted_losses) {
        notice.losses.push_back({counted.loss, counted.decided && counted.explained});
    }
    notice.ttl = std::chrono::duration_cast<milliseconds>(known.expires - now);
    return notice;
}

void crash_attribution::decide(crash_changes& changes, time_point now)
{
    std::vector<request_fingerprint> still_undecided;
    for (const auto fingerprint : this->undecided) {
        const auto found = this->records.find(fingerprint.value);
        if (found == this->records.end()) {
            continue;
        }
        auto& known = found->second;
        bool all_decided = true;
        for (auto& counted : known.counted_losses) {
            if (!counted.decided && now >= counted.at + decision_delay) {
                counted.explained = this->explained(known, counted);
                counted.decided = true;
            }
            all_decided = all_decided && counted.decided;
        }
        if (!all_decided) {
            still_undecided.push_back(fingerprint);
            continue;
        }
        const bool blocks = !known.blocked && this->verdict_of(known, now) == crash_verdict::blocked;
        if (blocks) {
            known.blocked = true;
            known.expires = now + limits::block_lifetime;
            ++this->counts.blocked;
        }
        if (known.local && (blocks || known.counted_losses.size() >= 2)) {
            changes.notices.push_back(this->make_notice(fingerprint, known, now));
        }
    }
    this->undecided = std::move(still_undecided);
}

crash_changes crash_attribution::poll(time_point now)
{
    crash_changes changes;
    while (!this->unclassified.empty() && this->unclassified.front().due <= now) {
        const auto entry = this->unclassified.front();
        this->unclassified.pop_front();
        auto verdict = this->check(entry.fingerprint, now);
        if (verdict == crash_verdict::hold) {
            // The fingerprint has a newer, unclassified loss. The request is classified after that one.
            this->unclassified.push_back(
                {entry.ticket, entry.fingerprint, now + limits::classification_delay});
            continue;
        }
        const auto known = this->records.find(entry.fingerprint.value);
        if (verdict == crash_verdict::run) {
            ++this->counts.correlated;
        } else if (known != this->records.end()) {
            ++this->counts.suspects;
            changes.notices.push_back(this->make_notice(entry.fingerprint, known->second, now));
        }
        changes.classified.push_back(
            {entry.ticket, entry.fingerprint, verdict, this->recent_domains(entry.fingerprint)});
    }
    this->decide(changes, now);
    const auto ended = [&](const loss_event& event) {
        return now >= event.at + decision_delay + limits::correlated_loss_window + limits::loss_report_delay;
    };
    this->recent_losses.erase(std::remove_if(this->recent_losses.begin(), this->recent_losses.end(), ended),
                              this->recent_losses.end());
    if (now >= this->next_expiry) {
        this->next_expiry = now + expiry_interval;
        for (auto entry = this->records.begin(); entry != this->records.end();) {
            entry = now >= entry->second.expires ? this->records.erase(entry) : std::next(entry);
        }
    }
    this->counts.records = this->records.size();
    return changes;
}

void crash_attribution::apply(const crash_notice& notice, time_point now)
{
    if (notice.ttl <= milliseconds(0)) {
        return;
    }
    const auto found = this->records.find(notice.fingerprint.value);
    if (found != this->records.end() && notice.version < found->second.version) {
        return;
    }
    auto& known = this->find_or_create(notice.fingerprint, now);
    if (notice.version > known.version) {
        known.version = notice.version;
        known.counted_losses.clear();
    }
    known.expires = std::max(known.expires, now + std::min<milliseconds>(notice.ttl, limits::block_lifetime));
    known.blocked = known.blocked || notice.blocked;
    for (const auto& loss : notice.losses) {
        // The sender has classified the loss, so the classification delay is over.
        this->count_loss(notice.fingerprint, known, loss.loss, now - limits::classification_delay);
        for (auto& entry : known.counted_losses) {
            if (entry.loss == loss.loss && loss.explained) {
                entry.explained = true;
                entry.decided = true;
            }
        }
    }
}

std::size_t crash_attribution::memory() const
{
    std::size_t sum =
        this->in_flight.size() * sizeof(in_flight_request) + this->recent_losses.size() * sizeof(loss_event);
    for (const auto& [fingerprint, known] : this->records) {
        sum += sizeof(fingerprint) + sizeof(known) + known.counted_losses.capacity() * sizeof(counted_loss);
    }
    return sum;
}

} // namespace rml
