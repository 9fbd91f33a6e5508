#include "decision/crash_records.hpp"

#include <algorithm>
#include <utility>

namespace rml {

namespace {

/// Interval between removals of expired records.
constexpr seconds expiry_interval{10};

crash_record::counted_loss reported_loss(const crash_loss& loss, time_point now)
{
    const auto at = now - loss.age;
    return {loss.loss, at, at - loss.ran, loss.trial, true};
}

} // namespace

void crash_records::evict_record()
{
    // Evicts suspected before blocked requests and parts, and of these the one that expires first.
    const auto rank = [](const crash_record& known) {
        const auto refused = known.part ? crash_record::blocking_losses : crash_record::refusing_losses;
        return std::make_pair(known.blocked || known.weight() >= refused, known.expires);
    };
    const auto before = [&](const auto& a, const auto& b) { return rank(a.second) < rank(b.second); };
    this->records.erase(std::min_element(this->records.begin(), this->records.end(), before));
    ++this->evictions;
}

crash_record& crash_records::find_or_create(request_fingerprint fingerprint, time_point now)
{
    const auto known = this->records.find(fingerprint.value);
    if (known != this->records.end()) {
        if (now >= known->second.expires) {
            known->second = crash_record{};
        }
        return known->second;
    }
    if (this->records.size() >= limits::crash_records) {
        this->evict_record();
    }
    return this->records[fingerprint.value];
}

crash_record& crash_records::find_or_create_part(request_fingerprint part, time_point now)
{
    auto& known = this->find_or_create(part, now);
    known.part = true;
    if (const auto sound = this->acquitted.find(part.value); sound) {
        known.own_acquittal = std::max(known.own_acquittal.value_or(*sound), *sound);
        known.acquit(*sound);
    }
    return known;
}

void crash_records::count_loss(request_fingerprint fingerprint, crash_record& known,
                               const counted_loss& added)
{
    if (known.add_loss(added)) {
        this->undecided.push_back(fingerprint);
    }
}

bool crash_records::add_event(std::uint64_t loss, const group_run& lost, time_point at)
{
    if (std::any_of(this->recent_losses.begin(), this->recent_losses.end(),
                    [&](const loss_event& event) { return event.loss == loss; })) {
        return false;
    }
    this->recent_losses.push_back({loss, lost.fabric, lost.domain, at});
    if (this->recent_losses.size() > limits::crash_recent_losses) {
        this->recent_losses.pop_front();
    }
    return true;
}

const crash_record& crash_records::count_request(request_fingerprint whole,
                                                 const crash_record::counted_loss& loss, time_point now)
{
    auto& known = this->find_or_create(whole, now);
    known.local = true;
    known.expires = now + limits::block_lifetime;
    this->count_loss(whole, known, loss);
    return known;
}

const crash_record& crash_records::count_part(request_fingerprint part,
                                              const crash_record::counted_loss& loss, time_point now)
{
    auto& known = this->find_or_create_part(part, now);
    known.local = true;
    this->count_loss(part, known, loss);
    known.update_part_expiry(now);
    return known;
}

const crash_record* crash_records::acquit(request_fingerprint part, time_point at, time_point now)
{
    this->acquitted.record(part.value, at);
    const auto found = this->records.find(part.value);
    if (found == this->records.end()) {
        return nullptr;
    }
    auto& known = found->second;
    known.own_acquittal = std::max(known.own_acquittal.value_or(at), at);
    if (!known.acquit(at)) {
        return nullptr;
    }
    known.update_part_expiry(now);
    return known.weight() == 0 ? &known : nullptr;
}

const crash_record* crash_records::clear(request_fingerprint whole, time_point now)
{
    this->answered.record(whole.value, now);
    const auto known = this->records.find(whole.value);
    if (known == this->records.end() || (!known->second.blocked && known->second.counted_losses.empty())) {
        return nullptr;
    }
    ++known->second.version;
    known->second.counted_losses.clear();
    known->second.blocked = false;
    return &known->second;
}

const crash_record* crash_records::find(request_fingerprint fingerprint) const
{
    const auto known = this->records.find(fingerprint.value);
    return known == this->records.end() ? nullptr : &known->second;
}

std::vector<failure_domain_id> crash_records::recent_domains(request_fingerprint fingerprint) const
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

void crash_records::decide(decisions& made, time_point now)
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
        // A daemon that had no such request in flight may not know what explains the losses.
        const bool blocks = !known.part && known.local && !known.blocked &&
                            this->verdict_of(known, now) == crash_verdict::blocked;
        if (blocks) {
            known.blocked = true;
            known.expires = now + limits::block_lifetime;
            ++made.blocked;
        }
        if (known.local && (blocks || known.counted_losses.size() >= 2)) {
            made.notices.push_back(known.make_notice(fingerprint, now));
        }
    }
    this->undecided = std::move(still_undecided);
}

crash_records::decisions crash_records::poll(time_point now)
{
    decisions made;
    this->decide(made, now);
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
    return made;
}

void crash_records::apply(const crash_notice& notice, time_point now)
{
    // Without the network delay, a notice that is passed on again and again would never expire.
    const auto lifetime = notice.part ? notice.ttl : notice.ttl - limits::loss_report_delay;
    if (lifetime <= milliseconds(0)) {
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
        known.blocked = false;
    }
    known.expires = std::max(known.expires, now + std::min<milliseconds>(lifetime, limits::block_lifetime));
    known.blocked = known.blocked || notice.blocked;
    for (const auto& loss : notice.losses) {
        this->count_loss(notice.fingerprint, known, reported_loss(loss, now));
        if (loss.explained) {
            known.mark_explained(loss.loss);
        }
    }
}

void crash_records::apply_part(const crash_notice& notice, time_point now)
{
    // Without a loss there is nothing to clear, and a record would be sent back.
    if (notice.losses.empty() && this->find(notice.fingerprint) == nullptr) {
        return;
    }
    auto& known = this->find_or_create_part(notice.fingerprint, now);
    const bool suspected = known.weight() > 0;
    if (notice.acquitted_age) {
        known.acquit(now - *notice.acquitted_age);
    }
    for (const auto& loss : notice.losses) {
        this->count_loss(notice.fingerprint, known, reported_loss(loss, now));
        if (loss.explained) {
            known.mark_explained(loss.loss);
        }
    }
    // The lifetime of a cleared record is not renewed, so that daemons do not keep one alive for each other.
    if (suspected || known.weight() > 0 || known.expires == time_point{}) {
        known.update_part_expiry(now);
    }
}

std::vector<crash_notice> crash_records::notices(time_point now) const
{
    std::vector<crash_notice> out;
    for (const auto& [print, known] : this->records) {
        // A single loss of a whole request is common, and its notice was sent when it was classified.
        const bool relevant =
            known.part ? known.weight() > 0 || known.own_acquittal
                       : known.blocked || known.counted_losses.size() >= crash_record::blocking_losses;
        if (now < known.expires && relevant) {
            out.push_back(known.make_notice({print}, now));
        }
    }
    return out;
}

std::vector<crash_notice> crash_records::established(time_point now) const
{
    using entry = std::pair<time_point, const std::pair<const std::uint64_t, crash_record>*>;
    std::vector<entry> found;
    for (const auto& record : this->records) {
        const auto& [print, known] = record;
        if (now < known.expires && known.weight() >= crash_record::blocking_losses &&
            this->established(known, now)) {
            found.emplace_back(known.latest_loss(), &record);
        }
    }
    std::sort(found.begin(), found.end(), [](const entry& a, const entry& b) {
        return std::make_pair(a.first, a.second->first) > std::make_pair(b.first, b.second->first);
    });
    found.resize(std::min(found.size(), limits::archived_crash_records));
    std::vector<crash_notice> out;
    out.reserve(found.size());
    for (const auto& [latest, record] : found) {
        out.push_back(record->second.make_notice({record->first}, now));
    }
    return out;
}

std::size_t crash_records::memory() const
{
    std::size_t sum = this->recent_losses.size() * sizeof(loss_event);
    for (const auto& [fingerprint, known] : this->records) {
        sum += sizeof(fingerprint) + sizeof(known) + known.counted_losses.capacity() * sizeof(counted_loss);
    }
    return sum;
}

} // namespace rml
