#include "decision/crash_attribution.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <string>

namespace rml {

namespace {

std::uint64_t loss_key(const group_run& run)
{
    // Hashes one text instead of passing the incarnation as a seed: on inputs of a few bytes, small seeds
    // collide across groups.
    return hash64(run.group.str() + '@' + std::to_string(run.incarnation));
}

} // namespace

crash_verdict crash_attribution::check(request_fingerprint fingerprint, time_point now) const
{
    return this->records.check(fingerprint, now);
}

crash_verdict crash_attribution::check_features(const crash_features& features, time_point now) const
{
    return this->find_worst(features, now).verdict;
}

crash_finding crash_attribution::find_worst(const crash_features& features, time_point now) const
{
    return this->records.find_worst(features, now);
}

std::vector<request_fingerprint> crash_attribution::find_suspects(const crash_features& features,
                                                                  time_point now) const
{
    std::vector<request_fingerprint> out;
    const auto add_if_suspected = [&](const crash_features& feature, request_fingerprint print) {
        if (this->check_features(feature, now) == crash_verdict::trial) {
            out.push_back(print);
        }
    };
    add_if_suspected({features.whole, {}}, features.whole);
    for (const auto part : features.parts) {
        add_if_suspected({{}, {part}}, part);
    }
    return out;
}

time_point crash_attribution::latest_loss(const crash_features& features) const
{
    return this->records.latest_loss(features);
}

void crash_attribution::begin(std::uint64_t ticket, request_fingerprint fingerprint, const group_run& target,
                              time_point now)
{
    this->begin(ticket, crash_features{fingerprint, {}}, target, false, now);
}

void crash_attribution::begin(std::uint64_t ticket, const crash_features& features, const group_run& target,
                              bool trial, time_point now)
{
    auto& entry = this->in_flight[ticket];
    entry = {features, target, now, trial, false};
    if (entry.features.parts.size() > limits::crash_parts) {
        entry.features.parts.resize(limits::crash_parts);
    }
    this->by_group[target.group].push_back(ticket);
}

void crash_attribution::acquit(request_fingerprint part, time_point at, time_point now,
                               crash_changes& changes)
{
    if (const auto* cleared = this->records.acquit(part, at, now); cleared != nullptr) {
        ++this->counts.cleared;
        changes.notices.push_back(cleared->make_notice(part, now));
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
    if (succeeded) {
        if (const auto* cleared = this->records.clear(ended.features.whole, now); cleared != nullptr) {
            ++this->counts.cleared;
            changes.notices.push_back(cleared->make_notice(ended.features.whole, now));
        }
    }
    return changes;
}

crash_changes crash_attribution::group_lost(const group_run& lost, time_point at, time_point now)
{
    crash_changes changes;
    const auto key = loss_key(lost);
    if (this->records.add_event(key, lost, at)) {
        ++this->counts.losses;
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
    const crash_record::counted_loss counted{loss, at, request.sent, request.trial};
    const auto& whole = this->records.count_request(request.features.whole, counted, now);
    if (whole.counted_losses.size() >= 2) {
        // Sent before the classification, so that no other daemon runs the request in the meantime.
        changes.notices.push_back(whole.make_notice(request.features.whole, now));
    }
    if (request.continued) {
        return;
    }
    for (const auto part : request.features.parts) {
        const auto& known = this->records.count_part(part, counted, now);
        changes.notices.push_back(known.make_notice(part, now));
    }
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
        const auto* known = this->records.find(entry.fingerprint);
        if (verdict == crash_verdict::run) {
            ++this->counts.correlated;
        } else if (known != nullptr) {
            ++this->counts.suspects;
            changes.notices.push_back(known->make_notice(entry.fingerprint, now));
        }
        changes.classified.push_back(
            {entry.ticket, entry.fingerprint, verdict, this->records.recent_domains(entry.fingerprint)});
    }
    const auto decided = this->records.poll(now);
    this->counts.blocked += decided.blocked;
    changes.notices.insert(changes.notices.end(), decided.notices.begin(), decided.notices.end());
    this->counts.dropped = this->records.evicted();
    this->counts.records = this->records.size();
    return changes;
}

void crash_attribution::apply(const crash_notice& notice, time_point now)
{
    this->records.apply(notice, now);
}

std::vector<crash_notice> crash_attribution::notices(time_point now) const
{
    return this->records.notices(now);
}

std::vector<crash_notice> crash_attribution::established(time_point now) const
{
    return this->records.established(now);
}

std::size_t crash_attribution::memory() const
{
    return this->in_flight.size() * sizeof(in_flight_request) + this->records.memory();
}

} // namespace rml
