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

/// Time for which a part is blocked; doubles with each loss beyond the first that blocked it.
duration part_block_time(std::size_t further_losses)
{
    constexpr std::size_t max_doublings = 6;
    const auto time = limits::part_block_time * (1 << std::min(further_losses, max_doublings));
    return std::min<duration>(time, limits::block_lifetime);
}

} // namespace

request_fingerprint make_fingerprint(const account_id& account, std::string_view path, std::string_view body)
{
    return {hash64(body, hash64(path, hash64(account.str())))};
}

request_fingerprint make_part_fingerprint(std::string_view part)
{
    return {hash64(part, hash64("prompt part"))};
}

std::size_t crash_attribution::record::weight() const
{
    return static_cast<std::size_t>(
        std::count_if(this->counted_losses.begin(), this->counted_losses.end(),
                      [this](const counted_loss& loss) { return this->counts(loss); }));
}

bool crash_attribution::record::lists(std::uint64_t loss) const
{
    return std::any_of(this->counted_losses.begin(), this->counted_losses.end(),
                       [&](const counted_loss& other) { return other.loss == loss; });
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
        // Losses in which the same request was in flight cannot explain each other: a query of death causes
        // several losses that look correlated.
        return !known.lists(event.loss) &&
               time_between(event.at, own->at) <= limits::correlated_loss_window &&
               (event.fabric == own->fabric || event.domain == own->domain) &&
               !(known.part && this->attributed(event.loss));
    });
}

bool crash_attribution::attributed(std::uint64_t loss) const
{
    return std::any_of(this->records.begin(), this->records.end(), [&](const auto& entry) {
        return entry.second.lists(loss) && entry.second.weight() >= blocking_losses;
    });
}

bool crash_attribution::explained_by_part(const record& known, const counted_loss& counted) const
{
    const auto weight = known.weight();
    return std::any_of(this->records.begin(), this->records.end(), [&](const auto& entry) {
        return entry.second.part && entry.second.lists(counted.loss) && entry.second.weight() > weight;
    });
}

bool crash_attribution::ambiguous(const record& known, const crash_features& features) const
{
    const auto weight = known.weight();
    const auto carried = [&](std::uint64_t print) {
        return print == features.whole.value ||
               std::any_of(features.parts.begin(), features.parts.end(),
                           [&](request_fingerprint part) { return part.value == print; });
    };
    return std::any_of(this->records.begin(), this->records.end(), [&](const auto& entry) {
        const auto& [print, other] = entry;
        return !carried(print) && other.weight() == weight &&
               std::all_of(known.counted_losses.begin(), known.counted_losses.end(),
                           [&, &other = other](const counted_loss& loss) {
                               return !known.counts(loss) || other.lists(loss.loss);
                           });
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
        unexplained += this->explained(known, counted) || this->explained_by_part(known, counted) ? 0 : 1;
        decided = decided && (counted.decided || now >= counted.at + decision_delay);
    }
    if (unexplained >= blocking_losses) {
        return decided ? crash_verdict::blocked : crash_verdict::refuse;
    }
    return unexplained > 0 || known.counted_losses.size() >= 2 ? crash_verdict::trial : crash_verdict::run;
}

crash_verdict crash_attribution::part_verdict(const record& known, const crash_features& features,
                                              time_point now) const
{
    // A sound part that many requests share is in flight at most losses, and its next acquittal follows.
    const bool known_sound = known.acquitted && now < *known.acquitted + limits::crash_acquittal_lifetime;
    const std::size_t ignored = known_sound ? 1 : 0;
    std::size_t losses = 0;
    std::size_t unexplained = 0;
    bool decided = true;
    bool unclassified = false;
    time_point latest{};
    for (const auto& counted : known.counted_losses) {
        if (!known.counts(counted)) {
            continue;
        }
        if (now < counted.at + limits::classification_delay) {
            unclassified = true;
            continue;
        }
        ++losses;
        latest = std::max(latest, counted.at);
        const bool has_cause = this->explained(known, counted) || this->explained_by_part(known, counted);
        unexplained += has_cause ? 0 : 1;
        decided = decided && (counted.decided || now >= counted.at + decision_delay);
    }
    const auto blocking = blocking_losses + ignored;
    const bool refused = unexplained >= blocking && !this->ambiguous(known, features);
    if (refused && now < latest + part_block_time(unexplained - blocking)) {
        return decided ? crash_verdict::blocked : crash_verdict::refuse;
    }
    if (unclassified && !known_sound) {
        return crash_verdict::hold;
    }
    return unexplained > ignored || losses >= blocking ? crash_verdict::trial : crash_verdict::run;
}

crash_verdict crash_attribution::check_features(const crash_features& features, time_point now) const
{
    return this->find_worst(features, now).verdict;
}

crash_finding crash_attribution::find_worst(const crash_features& features, time_point now) const
{
    const auto whole = this->check(features.whole, now);
    crash_finding worst{whole >= crash_verdict::refuse ? whole : crash_verdict::run, features.whole, false};
    for (const auto part : features.parts) {
        const auto known = this->records.find(part.value);
        if (known == this->records.end() || now >= known->second.expires) {
            continue;
        }
        if (const auto verdict = this->part_verdict(known->second, features, now); verdict > worst.verdict) {
            worst = {verdict, part, true};
        }
    }
    return worst;
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
    this->begin(ticket, crash_features{fingerprint, {}}, target, trial);
}

void crash_attribution::begin(std::uint64_t ticket, const crash_features& features, const group_run& target,
                              bool trial)
{
    auto& entry = this->in_flight[ticket];
    entry = {features, target, trial, false};
    if (entry.features.parts.size() > limits::crash_parts) {
        entry.features.parts.resize(limits::crash_parts);
    }
    this->by_group[target.group].push_back(ticket);
}

void crash_attribution::update_part_expiry(record& known)
{
    known.expires = known.acquitted ? *known.acquitted + limits::crash_cleared_lifetime : time_point{};
    for (const auto& counted : known.counted_losses) {
        if (known.counts(counted)) {
            known.expires = std::max(known.expires, counted.at + limits::block_lifetime);
        }
    }
}

void crash_attribution::acquit(request_fingerprint part, time_point at, time_point now,
                               crash_changes& changes)
{
    this->acquitted.record(part.value, at);
    const auto found = this->records.find(part.value);
    if (found == this->records.end() || found->second.acquitted >= at) {
        return;
    }
    auto& known = found->second;
    const bool suspected = known.weight() > 0;
    known.acquitted = at;
    update_part_expiry(known);
    if (suspected && known.weight() == 0) {
        ++this->counts.cleared;
        changes.notices.push_back(this->make_notice(part, known, now));
    }
}

crash_changes crash_attribution::answer_continued(std::uint64_t ticket, time_point began, time_point now)
{
    crash_changes changes;
    if (const auto found = this->in_flight.find(ticket); found != this->in_flight.end()) {
        found->second.continued = true;
        for (const auto part : found->second.features.parts) {
            this->acquit(part, began, now, changes);
        }
    }
    return changes;
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
    if (succeeded && !ended.continued) {
        for (const auto part : ended.features.parts) {
            this->acquit(part, now, now, changes);
        }
    }
    const auto known = this->records.find(ended.features.whole.value);
    if (!ended.trial || !succeeded || known == this->records.end() || known->second.blocked) {
        return changes;
    }
    ++known->second.version;
    known->second.counted_losses.clear();
    ++this->counts.cleared;
    changes.notices.push_back(this->make_notice(ended.features.whole, known->second, now));
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

crash_attribution::record& crash_attribution::find_or_create_part(request_fingerprint part, time_point now)
{
    auto& known = this->find_or_create(part, now);
    known.part = true;
    if (const auto sound = this->acquitted.find(part.value); sound) {
        known.acquitted = std::max(known.acquitted.value_or(*sound), *sound);
    }
    return known;
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
    if (known.part && known.counted_losses.size() >= max_part_losses) {
        const auto oldest =
            std::min_element(known.counted_losses.begin(), known.counted_losses.end(),
                             [](const counted_loss& a, const counted_loss& b) {
                                 return std::make_pair(a.at, a.loss) < std::make_pair(b.at, b.loss);
                             });
        if (oldest->at < at) {
            *oldest = {loss, at, false, false};
        }
    } else if (known.part || known.counted_losses.size() < max_losses) {
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
        this->count_request(entry, key, at, now, changes);
        this->unclassified.push_back({ticket, entry.features.whole, now + limits::classification_delay});
    }
    members->second = std::move(others);
    if (members->second.empty()) {
        this->by_group.erase(members);
    }
    return changes;
}

void crash_attribution::count_request(const in_flight_request& request, std::uint64_t loss, time_point at,
                                      time_point now, crash_changes& changes)
{
    auto& whole = this->find_or_create(request.features.whole, now);
    whole.local = true;
    whole.expires = now + limits::block_lifetime;
    this->count_loss(request.features.whole, whole, loss, now);
    if (whole.counted_losses.size() >= 2) {
        // Sent before the classification, so that no other daemon runs the request in the meantime.
        changes.notices.push_back(this->make_notice(request.features.whole, whole, now));
    }
    if (request.continued) {
        return;
    }
    for (const auto part : request.features.parts) {
        auto& known = this->find_or_create_part(part, now);
        known.local = true;
        this->count_loss(part, known, loss, at);
        update_part_expiry(known);
        changes.notices.push_back(this->make_notice(part, known, now));
    }
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
        crash_loss loss{counted.loss, counted.decided && counted.explained};
        if (known.part) {
            loss.age = std::chrono::duration_cast<milliseconds>(now - counted.at);
        }
        notice.losses.push_back(loss);
    }
    notice.part = known.part;
    if (known.acquitted) {
        notice.acquitted_age = std::chrono::duration_cast<milliseconds>(now - *known.acquitted);
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
        const bool blocks =
            !known.part && !known.blocked && this->verdict_of(known, now) == crash_verdict::blocked;
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
    if (notice.part) {
        this->apply_part(notice, now);
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

void crash_attribution::apply_part(const crash_notice& notice, time_point now)
{
    auto& known = this->find_or_create_part(notice.fingerprint, now);
    if (notice.acquitted_age) {
        const auto at = now - *notice.acquitted_age;
        known.acquitted = std::max(known.acquitted.value_or(at), at);
        this->acquitted.record(notice.fingerprint.value, at);
    }
    for (const auto& loss : notice.losses) {
        this->count_loss(notice.fingerprint, known, loss.loss, now - loss.age);
        for (auto& entry : known.counted_losses) {
            if (entry.loss == loss.loss && loss.explained) {
                entry.explained = true;
                entry.decided = true;
            }
        }
    }
    update_part_expiry(known);
}

std::vector<crash_notice> crash_attribution::notices(time_point now) const
{
    std::vector<crash_notice> out;
    for (const auto& [print, known] : this->records) {
        // A single loss of a whole request is common, and its notice was sent when it was classified.
        const bool relevant = known.part || known.blocked || known.counted_losses.size() >= blocking_losses;
        if (now < known.expires && relevant) {
            out.push_back(this->make_notice({print}, known, now));
        }
    }
    return out;
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
