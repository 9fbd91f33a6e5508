#include "decision/crash_records.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace rml {

namespace {

duration time_between(time_point a, time_point b)
{
    return a > b ? a - b : b - a;
}

/// Whether two targets stand in the same domain. Those of plain services have no fabric domain, and an empty
/// name is not a domain that they share.
template <class Id>
bool same_domain(const Id& a, const Id& b)
{
    return !a.empty() && a == b;
}

} // namespace

bool crash_records::explained(const crash_record& known, const counted_loss& counted) const
{
    if (counted.decided || counted.trial) {
        return counted.explained && !counted.trial;
    }
    const auto own = std::find_if(this->recent_losses.begin(), this->recent_losses.end(),
                                  [&](const loss_event& event) { return event.loss == counted.loss; });
    // A full record may have dropped losses, which would then look like losses without this part.
    if (own == this->recent_losses.end() || (known.part && known.full())) {
        return false;
    }
    return std::any_of(this->recent_losses.begin(), this->recent_losses.end(), [&](const loss_event& event) {
        // Losses in which the same request was in flight cannot explain each other: a query of death causes
        // several losses that look correlated.
        return !known.lists(event.loss) &&
               time_between(event.at, own->at) <= limits::correlated_loss_window &&
               (same_domain(event.fabric, own->fabric) || same_domain(event.domain, own->domain)) &&
               !(known.part && this->attributed(event.loss));
    });
}

bool crash_records::attributed(std::uint64_t loss) const
{
    return std::any_of(this->records.begin(), this->records.end(), [&](const auto& entry) {
        const auto& known = entry.second;
        const auto unexplained = [&](const counted_loss& counted) {
            return known.counts(counted) && (!counted.decided || !counted.explained || counted.trial);
        };
        return known.counts_loss(loss) &&
               static_cast<std::size_t>(
                   std::count_if(known.counted_losses.begin(), known.counted_losses.end(), unexplained)) >=
                   crash_record::blocking_losses;
    });
}

bool crash_records::explained_by_part(const crash_record& known, const counted_loss& counted) const
{
    // A request that has the part itself is still judged by the part.
    const auto least =
        known.part ? known.weight() + 1 : std::max(known.weight(), crash_record::blocking_losses);
    return std::any_of(this->records.begin(), this->records.end(), [&](const auto& entry) {
        return entry.second.part && entry.second.counts_loss(counted.loss) && entry.second.weight() >= least;
    });
}

bool crash_records::ambiguous(const crash_record& known, const crash_features& features) const
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
                               return !known.counts(loss) || other.counts_loss(loss.loss);
                           });
    });
}

crash_records::loss_summary crash_records::summarize(const crash_record& known, time_point now,
                                                     bool settled_only) const
{
    loss_summary out;
    std::vector<const counted_loss*> without_cause;
    for (const auto& counted : known.counted_losses) {
        if (!known.counts(counted)) {
            continue;
        }
        // Whoever reports a loss of a whole request has classified it.
        const bool classified_there = counted.reported && !known.part;
        if (!classified_there && now < counted.at + limits::classification_delay) {
            out.unclassified = true;
            continue;
        }
        const bool decided = counted.decided || now >= counted.at + decision_delay;
        if (settled_only && !decided && !counted.trial) {
            continue;
        }
        ++out.losses;
        out.decided = out.decided && decided;
        if (this->explained(known, counted) || this->explained_by_part(known, counted)) {
            continue;
        }
        if (counted.trial) {
            ++out.trials;
        } else {
            without_cause.push_back(&counted);
        }
    }
    out.unexplained = out.trials + without_cause.size();
    out.incidents = out.trials;
    std::sort(without_cause.begin(), without_cause.end(),
              [](const auto* a, const auto* b) { return a->at < b->at; });
    std::optional<time_point> incident; // its first loss
    for (const auto* counted : without_cause) {
        const bool same = incident && counted->at <= *incident + limits::correlated_loss_window &&
                          counted->sent < *incident;
        if (!same) {
            incident = counted->at;
            ++out.incidents;
        }
    }
    return out;
}

bool crash_records::established(const crash_record& known, time_point now) const
{
    const auto found = this->summarize(known, now, true);
    return known.part ? found.unexplained >= crash_record::blocking_losses
                      : found.losses >= crash_record::refusing_losses &&
                            found.incidents >= crash_record::blocking_losses;
}

crash_verdict crash_records::verdict_of(const crash_record& known, time_point now) const
{
    if (known.blocked) {
        return crash_verdict::blocked;
    }
    const auto found = this->summarize(known, now);
    if (found.unclassified) {
        return crash_verdict::hold;
    }
    if (found.incidents >= crash_record::blocking_losses) {
        return found.decided ? crash_verdict::blocked : crash_verdict::refuse;
    }
    return found.incidents > 0 || found.losses >= 2 ? crash_verdict::trial : crash_verdict::run;
}

crash_verdict crash_records::part_verdict(const crash_record& known, const crash_features& features,
                                          time_point now) const
{
    // A sound part that many requests share is in flight at most losses, and its next acquittal follows.
    const bool known_sound =
        known.acquitted && known.first_loss() < *known.acquitted + limits::crash_acquittal_lifetime;
    const std::size_t ignored = known_sound ? 1 : 0;
    const auto found = this->summarize(known, now);
    const auto blocking = crash_record::blocking_losses + ignored;
    // Requests with a part that crashes targets often run on several at once, so the losses of one incident
    // all count against a part.
    const bool refused = found.unexplained >= blocking && !this->ambiguous(known, features);
    if (refused && now < known.blocked_until()) {
        return found.decided ? crash_verdict::blocked : crash_verdict::refuse;
    }
    const bool suspected = found.unexplained > ignored || found.losses >= blocking;
    if (found.unclassified && (suspected || !known_sound)) {
        return crash_verdict::hold;
    }
    return suspected ? crash_verdict::trial : crash_verdict::run;
}

crash_verdict crash_records::whole_verdict(const crash_record& known, request_fingerprint whole,
                                           time_point now) const
{
    const auto losses = known.counted_losses.size();
    if (losses < crash_record::refusing_losses) {
        return crash_verdict::run;
    }
    const auto found = this->summarize(known, now);
    if (found.unclassified) {
        return crash_verdict::hold;
    }
    // A request that was answered before crashes no target by itself. If it does now, a trial shows it.
    const auto answer = this->answered.find(whole.value);
    const bool known_sound = answer && known.first_loss() < *answer + limits::crash_acquittal_lifetime;
    const bool refused =
        found.incidents >= crash_record::blocking_losses && (!known_sound || found.trials > 0);
    if (refused && now < known.blocked_until()) {
        return found.decided ? crash_verdict::blocked : crash_verdict::refuse;
    }
    return found.incidents > 0 || losses >= crash_record::suspecting_losses ? crash_verdict::trial
                                                                            : crash_verdict::run;
}

crash_finding crash_records::find_worst(const crash_features& features, time_point now) const
{
    const auto* whole = this->find(features.whole);
    const bool counts = whole != nullptr && now < whole->expires;
    crash_finding worst{counts ? this->whole_verdict(*whole, features.whole, now) : crash_verdict::run,
                        features.whole, false};
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

time_point crash_records::latest_loss(const crash_features& features) const
{
    time_point latest{};
    const auto include = [&](request_fingerprint print) {
        if (const auto* known = this->find(print); known != nullptr) {
            for (const auto& counted : known->counted_losses) {
                latest = known->counts(counted) ? std::max(latest, counted.at) : latest;
            }
        }
    };
    include(features.whole);
    std::for_each(features.parts.begin(), features.parts.end(), include);
    return latest;
}

crash_verdict crash_records::check(request_fingerprint fingerprint, time_point now) const
{
    const auto known = this->records.find(fingerprint.value);
    if (known == this->records.end() || now >= known->second.expires) {
        return crash_verdict::run;
    }
    return this->verdict_of(known->second, now);
}

} // namespace rml
