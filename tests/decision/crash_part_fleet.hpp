/// Fleet of daemons that serve requests with prompt parts, some of which crash each group that begins to
/// answer them. Simulated time, no network.
#pragma once

#include "decision/crash_attribution.hpp"
#include "decision/random_source.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rml {

class crash_part_fleet
{
public:
    static constexpr milliseconds step{50};
    static constexpr milliseconds contact{3000}; ///< time after which daemons in touch know of the evidence

    /// `use_parts` false: the daemons see whole requests only.
    crash_part_fleet(random_source& source, bool use_parts);

    /// Runs the requests of one step.
    void advance();
    /// Ends the requests with crashing parts and the blackouts.
    void end_faults();

    /// Losses to a crashing part later than `contact` after its fifth, sent by daemons in touch; the largest
    /// number of all parts.
    std::size_t late_losses() const;
    /// Sound requests that share a part with crashing ones, from twice `contact` after the fifth or last
    /// crash, without those beside a blackout.
    struct served_share
    {
        std::size_t begun{0};
        std::size_t all{0};
    };
    served_share shared_served() const { return this->shared; }
    /// Number of sound parts that some daemon does not run.
    std::size_t refused_sound_parts() const;
    std::size_t losses_by_parts() const;
    std::size_t blackout_losses() const { return this->blackouts; }
    time_point time() const { return this->now; }

private:
    static constexpr std::size_t daemon_count = 4;
    static constexpr std::size_t domain_count = 6;
    static constexpr std::size_t groups_per_domain = 4;

    struct group
    {
        group_run run;
        std::optional<time_point> returns_at;
        std::optional<time_point> fails_at; ///< by a blackout
    };
    struct crash
    {
        time_point at{};
        time_point sent{};
        bool in_touch{false};
    };
    struct crashing_part
    {
        std::uint64_t part{0};
        time_point starts{};
        bool first{false};       ///< position in the prompt
        bool companions{false};  ///< its requests carry parts that no other request has
        std::size_t interval{1}; ///< mean number of steps between its requests
        std::vector<crash> crashes;
    };
    struct request
    {
        std::uint64_t id{0};
        std::vector<std::uint64_t> parts;
        std::size_t daemon{0};
        int attempt{0}; ///< of the client
        time_point sends_at{};
        time_point gives_up{};
        std::optional<std::size_t> running_on;
        std::uint64_t ticket{0};
        time_point sent{};
        time_point begins_at{};
        time_point ends_at{};
        bool begun{false};
        bool continued{false};
        bool waiting{false}; ///< for the classification after a loss
        bool done{false};
    };
    struct network_message
    {
        std::size_t from{0};
        std::size_t to{0};
        std::optional<crash_notice> notice;
        group_run lost;
        time_point at{};
        time_point due{};
    };
    struct trial
    {
        std::uint64_t request{0};
        std::size_t daemon{0};
        std::vector<std::uint64_t> parts;
        std::optional<time_point> known_to_end; ///< when all other daemons know that it has ended
    };

    void end_trial(std::uint64_t request);
    std::uint64_t skewed(std::uint64_t base, std::size_t count);
    void add_requests();
    void add_request(std::vector<std::uint64_t> parts);
    void run_blackouts();
    void deliver();
    void share(std::size_t from, const crash_changes& changes);
    void send_notice(std::size_t from, const crash_notice& notice);
    void resend();
    void run(request& self);
    void try_send(request& self);
    void progress(request& self);
    void refuse(request& self);
    void lose(std::size_t g);
    void record_first_attempt(const request& self, bool begun);
    bool in_touch(std::size_t daemon) const;
    bool cut_off(std::size_t daemon) const;
    bool crashes(std::uint64_t part) const;
    bool crashes(const request& self) const;
    bool trial_running(const request& self) const;
    crash_features features_of(const request& self) const;
    crash_verdict verdict_of_part(std::size_t daemon, std::uint64_t part) const;

    random_source& random;
    bool use_parts;
    time_point now{seconds(1000)};
    crash_attribution daemons[daemon_count];
    std::vector<group> groups;
    std::vector<crashing_part> crashing;
    std::vector<request> requests;
    std::vector<network_message> network;
    std::vector<trial> trials;
    std::set<std::uint64_t> beside_crashing; ///< parts that came with a crashing one
    std::set<std::uint64_t> sound;           ///< parts that were used
    std::size_t first_parts{0};
    std::size_t middle_parts{0};
    std::size_t requests_per_step{1};
    bool with_blackouts{false};
    bool faults_ended{false};
    time_point next_blackout{};
    time_point beside_blackout_until{};
    std::size_t cut_daemon{0};
    time_point cut_from{};
    time_point cut_until{};
    std::uint64_t next_id{0};
    std::uint64_t next_ticket{0};
    std::size_t blackouts{0};
    served_share shared;
};

} // namespace rml
