#include "decision/crash_part_fleet.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace rml {

namespace {

constexpr std::uint64_t first_base = 1'000'000;
constexpr std::uint64_t middle_base = 2'000'000;
constexpr std::uint64_t rare_base = 3'000'000;
constexpr std::uint64_t new_base = 4'000'000;
constexpr std::uint64_t companion_base = 5'000'000;
constexpr seconds group_restart{3};
constexpr milliseconds longest_wait{800};  ///< of a request that must not be sent yet
constexpr milliseconds longest_delay{400}; ///< of a notice
constexpr int client_attempts = 3;

} // namespace

crash_part_fleet::crash_part_fleet(random_source& source, bool parts_used)
    : random(source), use_parts(parts_used)
{
    for (std::size_t g = 0; g < domain_count * groups_per_domain; ++g) {
        const auto domain = g / groups_per_domain;
        this->groups.push_back(
            {{group_id("g" + std::to_string(g)), 1, fabric_domain_id("f" + std::to_string(g)),
              failure_domain_id("d" + std::to_string(domain))},
             {},
             {}});
    }
    this->first_parts = static_cast<std::size_t>(this->random.pick({10, 60, 180}));
    this->middle_parts = static_cast<std::size_t>(this->random.pick({0, 5, 40}));
    this->requests_per_step = static_cast<std::size_t>(this->random.pick({1, 2, 4}));
    this->with_blackouts = this->random.one_in(2);
    this->next_blackout = this->now + seconds(5 + static_cast<int>(this->random.below(30)));
    if (this->random.one_in(2)) {
        this->cut_daemon = this->random.below(daemon_count);
        this->cut_from = this->now + seconds(5 + static_cast<int>(this->random.below(15)));
        this->cut_until = this->cut_from + seconds(4 + static_cast<int>(this->random.below(8)));
    }
    const auto count = static_cast<std::size_t>(this->random.pick({1, 1, 2}));
    for (std::size_t i = 0; i < count; ++i) {
        crashing_part created;
        created.first = this->middle_parts == 0 || this->random.one_in(3);
        created.part = new_base + i;
        if (this->random.one_in(2)) {
            created.part = created.first ? this->skewed(first_base, this->first_parts)
                                         : this->skewed(middle_base, this->middle_parts);
        }
        created.starts = this->now + seconds(5 + static_cast<int>(this->random.below(8)));
        created.companions = this->random.one_in(4);
        created.interval = static_cast<std::size_t>(this->random.pick({4, 20, 60}));
        this->crashing.push_back(created);
    }
}

std::uint64_t crash_part_fleet::skewed(std::uint64_t base, std::size_t count)
{
    const auto uniform = static_cast<double>(this->random.below(1'000'000)) / 1e6;
    return base + static_cast<std::uint64_t>(uniform * uniform * uniform * static_cast<double>(count));
}

void crash_part_fleet::advance()
{
    this->now += step;
    this->run_blackouts();
    this->deliver();
    for (std::size_t d = 0; d < daemon_count; ++d) {
        this->share(d, this->daemons[d].poll(this->now));
    }
    this->resend();
    this->add_requests();
    for (std::size_t i = 0; i < this->requests.size(); ++i) {
        this->run(this->requests[i]);
    }
    this->requests.erase(std::remove_if(this->requests.begin(), this->requests.end(),
                                        [](const request& entry) { return entry.done; }),
                         this->requests.end());
    this->trials.erase(std::remove_if(this->trials.begin(), this->trials.end(),
                                      [&](const trial& held) {
                                          return held.known_to_end && this->now >= *held.known_to_end;
                                      }),
                       this->trials.end());
}

void crash_part_fleet::end_faults()
{
    this->faults_ended = true;
    this->with_blackouts = false;
}

void crash_part_fleet::add_requests()
{
    for (std::size_t i = this->random.below(2 * this->requests_per_step + 1); i > 0; --i) {
        std::vector<std::uint64_t> parts{this->skewed(first_base, this->first_parts)};
        if (this->middle_parts != 0 && this->random.one_in(2)) {
            parts.push_back(this->skewed(middle_base, this->middle_parts));
        }
        if (this->random.one_in(10)) {
            parts.push_back(rare_base + this->random.below(1000));
        }
        if (!this->faults_ended ||
            std::none_of(parts.begin(), parts.end(), [&](auto part) { return this->crashes(part); })) {
            this->add_request(parts);
        }
    }
    for (const auto& entry : this->crashing) {
        if (this->faults_ended || this->now < entry.starts || !this->random.one_in(entry.interval)) {
            continue;
        }
        const auto other = entry.companions
                               ? companion_base + this->next_id
                               : this->skewed(entry.first ? middle_base : first_base,
                                              entry.first ? this->middle_parts : this->first_parts);
        if (!entry.first) {
            this->add_request({other, entry.part});
        } else if (this->middle_parts != 0 || entry.companions) {
            this->add_request({entry.part, other});
        } else {
            this->add_request({entry.part});
        }
    }
}

void crash_part_fleet::add_request(std::vector<std::uint64_t> parts)
{
    request created;
    created.id = ++this->next_id;
    created.parts = std::move(parts);
    created.sends_at = this->now;
    created.gives_up = this->now + longest_wait;
    created.daemon = this->random.below(daemon_count);
    const bool crashing_request = this->crashes(created);
    for (const auto part : created.parts) {
        if (crashing_request) {
            this->beside_crashing.insert(part);
        }
        this->sound.insert(part);
    }
    this->requests.push_back(std::move(created));
}

void crash_part_fleet::run_blackouts()
{
    if (this->with_blackouts && this->now >= this->next_blackout) {
        this->next_blackout = this->now + seconds(15 + static_cast<int>(this->random.below(30)));
        this->beside_blackout_until = this->now + 2 * contact;
        const auto first = this->random.below(domain_count) * groups_per_domain;
        for (auto g = first; g < first + groups_per_domain; ++g) {
            this->groups[g].fails_at = this->now + step * static_cast<int>(this->random.below(20));
        }
    }
    for (std::size_t g = 0; g < this->groups.size(); ++g) {
        auto& target = this->groups[g];
        if (target.returns_at && this->now >= *target.returns_at) {
            target.returns_at.reset();
            ++target.run.incarnation;
        }
        if (target.fails_at && this->now >= *target.fails_at) {
            target.fails_at.reset();
            if (!target.returns_at) {
                ++this->blackouts;
                this->lose(g);
            }
        }
    }
}

void crash_part_fleet::lose(std::size_t g)
{
    auto& target = this->groups[g];
    target.returns_at = this->now + group_restart;
    std::vector<bool> had_request(daemon_count, false);
    for (auto& entry : this->requests) {
        if (entry.running_on == g) {
            entry.running_on.reset();
            entry.waiting = true;
            had_request[entry.daemon] = true;
            this->end_trial(entry.id);
        }
    }
    for (std::size_t d = 0; d < daemon_count; ++d) {
        if (had_request[d]) {
            this->share(d, this->daemons[d].group_lost(target.run, this->now, this->now));
        }
        // Every daemon learns of the loss later.
        this->network.push_back({d, d, std::nullopt, target.run, this->now,
                                 this->now + step * static_cast<int>(this->random.below(24))});
    }
}

void crash_part_fleet::end_trial(std::uint64_t request)
{
    for (auto& held : this->trials) {
        if (held.request == request && !held.known_to_end) {
            held.known_to_end = this->now + longest_delay;
        }
    }
}

void crash_part_fleet::share(std::size_t from, const crash_changes& changes)
{
    for (const auto& notice : changes.notices) {
        this->send_notice(from, notice);
    }
    for (const auto& answer : changes.classified) {
        for (auto& entry : this->requests) {
            if (entry.waiting && entry.daemon == from && entry.ticket == answer.ticket) {
                entry.waiting = false;
                entry.sends_at = this->now;
                entry.gives_up = this->now + longest_wait;
                if (answer.verdict != crash_verdict::run && answer.verdict != crash_verdict::trial) {
                    this->refuse(entry);
                }
            }
        }
    }
}

void crash_part_fleet::send_notice(std::size_t from, const crash_notice& notice)
{
    for (std::size_t d = 0; d < daemon_count; ++d) {
        for (int copies = this->random.pick({0, 1, 1, 1, 1, 2}); d != from && copies > 0; --copies) {
            this->network.push_back(
                {from, d, notice, {}, {}, this->now + step * this->random.pick({0, 1, 2, 8})});
        }
    }
}

void crash_part_fleet::resend()
{
    if (this->now.time_since_epoch() % seconds(1) != duration::zero()) {
        return;
    }
    for (std::size_t d = 0; d < daemon_count; ++d) {
        for (const auto& notice : this->daemons[d].notices(this->now)) {
            this->send_notice(d, notice);
        }
    }
}

void crash_part_fleet::deliver()
{
    for (const auto& entry : std::exchange(this->network, {})) {
        if (entry.due > this->now) {
            this->network.push_back(entry);
        } else if (!entry.notice) {
            this->share(entry.to, this->daemons[entry.to].group_lost(entry.lost, entry.at, this->now));
        } else if (!this->cut_off(entry.from) && !this->cut_off(entry.to)) {
            this->daemons[entry.to].apply(*entry.notice, this->now);
        }
    }
}

void crash_part_fleet::run(request& self)
{
    if (self.running_on) {
        this->progress(self);
    } else if (!self.done && !self.waiting && this->now >= self.sends_at) {
        this->try_send(self);
    }
}

void crash_part_fleet::try_send(request& self)
{
    const auto verdict = this->daemons[self.daemon].check_features(this->features_of(self), this->now);
    if (verdict == crash_verdict::refuse || verdict == crash_verdict::blocked) {
        return this->refuse(self);
    }
    const auto g = this->random.below(this->groups.size());
    if (verdict == crash_verdict::hold || this->groups[g].returns_at ||
        (verdict == crash_verdict::trial && this->trial_running(self))) {
        if (this->now >= self.gives_up) {
            this->refuse(self);
        }
        return;
    }
    if (verdict == crash_verdict::trial) {
        trial held{self.id, self.daemon, {}, {}};
        for (const auto part : self.parts) {
            if (this->verdict_of_part(self.daemon, part) == crash_verdict::trial) {
                held.parts.push_back(part);
            }
        }
        this->trials.push_back(held);
    }
    self.running_on = g;
    self.ticket = ++this->next_ticket;
    self.sent = this->now;
    self.begins_at = this->now + step * static_cast<int>(1 + this->random.below(8));
    self.ends_at = self.begins_at + step * static_cast<int>(2 + this->random.below(30));
    self.begun = false;
    self.continued = false;
    this->daemons[self.daemon].begin(self.ticket, this->features_of(self), this->groups[g].run,
                                     verdict == crash_verdict::trial, this->now);
}

void crash_part_fleet::progress(request& self)
{
    if (!self.begun && this->now >= self.begins_at) {
        if (this->crashes(self)) {
            for (auto& entry : this->crashing) {
                if (this->now >= entry.starts &&
                    std::find(self.parts.begin(), self.parts.end(), entry.part) != self.parts.end()) {
                    entry.crashes.push_back({this->now, self.sent, this->in_touch(self.daemon)});
                }
            }
            return this->lose(*self.running_on);
        }
        self.begun = true;
        this->record_first_attempt(self, true);
        return;
    }
    auto& daemon = this->daemons[self.daemon];
    if (self.begun && !self.continued) {
        self.continued = true;
        this->share(self.daemon, daemon.answer_continued(self.ticket, self.begins_at, this->now));
        this->end_trial(self.id);
    }
    if (self.begun && this->now >= self.ends_at) {
        this->share(self.daemon, daemon.end(self.ticket, true, this->now));
        self.running_on.reset();
        self.done = true;
    }
}

void crash_part_fleet::refuse(request& self)
{
    this->record_first_attempt(self, false);
    self.done = ++self.attempt >= client_attempts;
    self.sends_at = this->now + seconds(1) + step * static_cast<int>(this->random.below(20));
    self.gives_up = self.sends_at + longest_wait;
    self.daemon = this->random.below(daemon_count);
}

void crash_part_fleet::record_first_attempt(const request& self, bool begun)
{
    const bool beside = std::any_of(self.parts.begin(), self.parts.end(),
                                    [&](auto part) { return this->beside_crashing.count(part) != 0; });
    const bool settled =
        std::all_of(this->crashing.begin(), this->crashing.end(), [&](const crashing_part& entry) {
            const auto& crashes_so_far = entry.crashes;
            return !crashes_so_far.empty() &&
                   this->now >
                       crashes_so_far[std::min<std::size_t>(crashes_so_far.size(), 5) - 1].at + 2 * contact;
        });
    if (self.attempt == 0 && beside && settled && !this->crashes(self) && !this->faults_ended &&
        this->in_touch(self.daemon) && this->now >= this->beside_blackout_until) {
        ++this->shared.all;
        this->shared.begun += begun ? 1 : 0;
    }
}

bool crash_part_fleet::cut_off(std::size_t daemon) const
{
    return daemon == this->cut_daemon && this->now >= this->cut_from && this->now < this->cut_until;
}

bool crash_part_fleet::in_touch(std::size_t daemon) const
{
    return daemon != this->cut_daemon || this->now < this->cut_from || this->now >= this->cut_until + contact;
}

bool crash_part_fleet::crashes(std::uint64_t part) const
{
    return std::any_of(this->crashing.begin(), this->crashing.end(), [&](const crashing_part& entry) {
        return entry.part == part && this->now >= entry.starts;
    });
}

bool crash_part_fleet::crashes(const request& self) const
{
    return std::any_of(self.parts.begin(), self.parts.end(), [&](auto part) { return this->crashes(part); });
}

bool crash_part_fleet::trial_running(const request& self) const
{
    return std::any_of(this->trials.begin(), this->trials.end(), [&](const trial& held) {
        // A daemon reports the end of a trial together with its result.
        const bool known = held.daemon == self.daemon
                               ? !held.known_to_end
                               : !this->cut_off(held.daemon) && !this->cut_off(self.daemon);
        return known && std::any_of(held.parts.begin(), held.parts.end(), [&](auto part) {
                   return std::find(self.parts.begin(), self.parts.end(), part) != self.parts.end();
               });
    });
}

crash_features crash_part_fleet::features_of(const request& self) const
{
    crash_features features{{self.id}, {}};
    for (const auto part : self.parts) {
        if (this->use_parts) {
            features.parts.push_back({part});
        }
    }
    return features;
}

crash_verdict crash_part_fleet::verdict_of_part(std::size_t daemon, std::uint64_t part) const
{
    return this->daemons[daemon].check_features({{}, {{part}}}, this->now);
}

std::size_t crash_part_fleet::late_losses() const
{
    std::size_t most = 0;
    for (const auto& entry : this->crashing) {
        if (entry.crashes.size() > 5) {
            const auto known_since = entry.crashes[4].at + contact;
            most = std::max(most, static_cast<std::size_t>(std::count_if(
                                      entry.crashes.begin(), entry.crashes.end(), [&](const crash& later) {
                                          return later.in_touch && later.sent > known_since;
                                      })));
        }
    }
    return most;
}

std::size_t crash_part_fleet::losses_by_parts() const
{
    std::size_t sum = 0;
    for (const auto& entry : this->crashing) {
        sum += entry.crashes.size();
    }
    return sum;
}

std::size_t crash_part_fleet::refused_sound_parts() const
{
    return static_cast<std::size_t>(std::count_if(this->sound.begin(), this->sound.end(), [&](auto part) {
        for (std::size_t d = 0; d < daemon_count && !this->crashes(part); ++d) {
            if (const auto verdict = this->verdict_of_part(d, part);
                verdict != crash_verdict::run && verdict != crash_verdict::trial) {
                return true;
            }
        }
        return false;
    }));
}

} // namespace rml
