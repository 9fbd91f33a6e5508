#include "decision/crash_attribution.hpp"
#include "decision/crash_part_fleet.hpp"
#include "decision/random_source.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace rml;

namespace {

constexpr request_fingerprint crashing = {1};
constexpr request_fingerprint other = {2};

group_run make_run(const std::string& id, const std::string& domain)
{
    return {group_id(id), 1, fabric_domain_id(id), failure_domain_id(domain)};
}

/// Daemon whose requests with given parts are lost or answered, each on a group and in a failure domain of
/// its own.
class part_daemon
{
public:
    crash_attribution attribution;
    time_point now{seconds(1000)};

    void lose(const std::vector<request_fingerprint>& parts, bool trial = false)
    {
        const auto name = std::to_string(++this->tickets);
        const auto run = make_run("g" + name, "d" + name);
        this->attribution.begin(this->tickets, {{1000 + this->tickets}, parts}, run, trial, this->now);
        this->attribution.group_lost(run, this->now, this->now);
        this->pass(limits::classification_delay);
    }
    void answer(const std::vector<request_fingerprint>& parts)
    {
        const auto run = make_run("a" + std::to_string(++this->tickets), "a");
        this->attribution.begin(this->tickets, {{1000 + this->tickets}, parts}, run, false, this->now);
        this->attribution.answer_continued(this->tickets, this->now, this->now);
        this->attribution.end(this->tickets, true, this->now);
    }
    void pass(milliseconds time)
    {
        this->now += time;
        this->attribution.poll(this->now);
    }
    crash_verdict check(const std::vector<request_fingerprint>& parts) const
    {
        return this->attribution.check_features({{999}, parts}, this->now);
    }

private:
    std::uint64_t tickets{0};
};

/// What two daemons that know the same have in common.
std::vector<std::tuple<std::uint64_t, milliseconds, bool>> losses_of(const crash_attribution& daemon,
                                                                     time_point now)
{
    std::vector<std::tuple<std::uint64_t, milliseconds, bool>> out;
    for (const auto& notice : daemon.notices(now)) {
        for (const auto& loss : notice.losses) {
            out.emplace_back(loss.loss, loss.age, loss.explained);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

crash_notice make_part_notice(std::vector<crash_loss> losses, std::optional<milliseconds> acquitted = {})
{
    return {crashing, 0, false, std::move(losses), milliseconds(1'000'000), true, acquitted};
}

} // namespace

TEST_CASE("a part that crashes groups is stopped and sound requests beside it are served", "[crash]")
{
    // Guards against requests with one crashing part that end group after group, and against refusing what
    // shares their other parts.
    std::size_t losses = 0;
    std::size_t blackout_losses = 0;
    std::size_t shared = 0;
    const bool held = rc::check("several daemons", [&] {
        random_source random;
        crash_part_fleet system(random, true);
        constexpr int steps_with_faults = 1200;
        for (int i = 0; i < steps_with_faults; ++i) {
            system.advance();
            RC_ASSERT(system.late_losses() <= 3U);
        }
        const auto served = system.shared_served();
        if (served.all >= 20) {
            RC_ASSERT(2 * served.begun >= served.all);
        }
        system.end_faults();
        const auto healed_at = system.time() + limits::part_block_time + seconds(5);
        while (system.time() < healed_at) {
            system.advance();
        }
        RC_ASSERT(system.refused_sound_parts() == 0U);
        losses += system.losses_by_parts();
        blackout_losses += system.blackout_losses();
        shared += served.all;
    });
    CAPTURE(losses, blackout_losses, shared);
    CHECK(held);
    CHECK(losses >= 200);
    CHECK(blackout_losses >= 200);
    CHECK(shared >= 10000);
}

TEST_CASE("a part is suspected, tried, blocked and tried again", "[crash]")
{
    part_daemon daemon;
    SECTION("an unknown part is tried after one loss and refused after two")
    {
        daemon.lose({crashing});
        CHECK(daemon.check({crashing}) == crash_verdict::trial);
        daemon.lose({crashing}, true);
        CHECK(daemon.check({crashing}) == crash_verdict::refuse);
        daemon.pass(crash_records::decision_delay);
        CHECK(daemon.check({crashing}) == crash_verdict::blocked);

        SECTION("and is tried again after its block, which doubles with the loss of that trial")
        {
            daemon.pass(limits::part_block_time);
            CHECK(daemon.check({crashing}) == crash_verdict::trial);
            daemon.lose({crashing}, true);
            daemon.pass(limits::part_block_time);
            CHECK(daemon.check({crashing}) == crash_verdict::blocked);
            daemon.pass(limits::part_block_time);
            CHECK(daemon.check({crashing}) == crash_verdict::trial);
            daemon.answer({crashing});
            CHECK(daemon.check({crashing}) == crash_verdict::run);
        }
        SECTION("and many losses at once do not prolong its block")
        {
            for (int i = 0; i < 6; ++i) {
                daemon.lose({crashing});
            }
            daemon.pass(limits::part_block_time);
            CHECK(daemon.check({crashing}) == crash_verdict::trial);
        }
    }
    SECTION(
        "a part that was answered recently runs after one loss, is tried after two and refused after three")
    {
        daemon.answer({crashing});
        daemon.pass(milliseconds(50));
        daemon.lose({crashing});
        CHECK(daemon.check({crashing}) == crash_verdict::run);
        daemon.lose({crashing});
        CHECK(daemon.check({crashing}) == crash_verdict::trial);
        daemon.lose({crashing}, true);
        CHECK(daemon.check({crashing}) == crash_verdict::refuse);

        SECTION("and that does not change when the answer is long ago")
        {
            daemon.pass(limits::part_block_time);
            daemon.answer({crashing});
            daemon.pass(milliseconds(50));
            daemon.lose({crashing});
            daemon.pass(limits::crash_acquittal_lifetime);
            CHECK(daemon.check({crashing}) == crash_verdict::run);
        }
    }
    SECTION("no other trial starts before the loss of one is classified")
    {
        daemon.answer({crashing});
        daemon.pass(milliseconds(50));
        daemon.lose({crashing});
        daemon.lose({crashing});
        const auto run = make_run("g", "d");
        daemon.attribution.begin(100, {{100}, {crashing}}, run, true, daemon.now);
        daemon.attribution.group_lost(run, daemon.now, daemon.now);
        CHECK(daemon.check({crashing}) == crash_verdict::hold);
    }
    SECTION("the loss of a trial is not explained by another loss in its failure domain")
    {
        const auto first = make_run("x1", "d");
        daemon.attribution.begin(100, {{100}, {crashing}}, first, true, daemon.now);
        daemon.attribution.group_lost(first, daemon.now, daemon.now);
        daemon.attribution.group_lost(make_run("x2", "d"), daemon.now, daemon.now);
        daemon.lose({crashing}, true);
        CHECK(daemon.check({crashing}) == crash_verdict::refuse);
    }
    SECTION("crashes by one part do not explain those by another in the same failure domain")
    {
        daemon.lose({crashing});
        daemon.lose({crashing});
        for (std::uint64_t ticket = 100; ticket < 102; ++ticket) {
            const auto run = make_run("x" + std::to_string(ticket), "d");
            daemon.attribution.begin(ticket, {{ticket}, {ticket == 100 ? crashing : other}}, run, false,
                                     daemon.now);
            daemon.attribution.group_lost(run, daemon.now, daemon.now);
        }
        daemon.pass(limits::classification_delay);
        CHECK(daemon.check({crashing}) == crash_verdict::refuse);
        CHECK(daemon.check({other}) == crash_verdict::trial);
    }
    SECTION("two parts that were always lost together are refused together and tried alone")
    {
        daemon.lose({crashing, other});
        daemon.lose({crashing, other}, true);
        CHECK(daemon.check({crashing, other}) == crash_verdict::refuse);
        CHECK(daemon.check({crashing}) == crash_verdict::trial);
        CHECK(daemon.check({other}) == crash_verdict::trial);
        daemon.answer({other});
        CHECK(daemon.check({other}) == crash_verdict::run);
        CHECK(daemon.check({crashing}) == crash_verdict::refuse);
    }
    SECTION("losses with a part that has more of them do not count against the others")
    {
        daemon.lose({crashing, other});
        daemon.lose({crashing, other}, true);
        daemon.lose({crashing});
        CHECK(daemon.check({crashing}) == crash_verdict::refuse);
        CHECK(daemon.check({other}) == crash_verdict::trial);
    }
    SECTION("losses before an answer do not explain those of another part")
    {
        daemon.lose({crashing, other});
        daemon.answer({other});
        daemon.pass(milliseconds(50));
        daemon.lose({other});
        daemon.lose({other});
        daemon.lose({other});
        daemon.lose({crashing}, true);
        CHECK(daemon.check({crashing}) == crash_verdict::refuse);
    }
    SECTION(
        "a whole request is not refused for two losses, and after three it waits for their classification")
    {
        for (std::uint64_t ticket = 100; ticket < 103; ++ticket) {
            const auto run = make_run("g" + std::to_string(ticket), "d");
            daemon.attribution.begin(ticket, {{999}, {}}, run, false, daemon.now);
            daemon.attribution.group_lost(run, daemon.now, daemon.now);
            CHECK(daemon.check({}) == (ticket < 102 ? crash_verdict::run : crash_verdict::hold));
        }
        daemon.pass(seconds(5));
        CHECK(daemon.check({}) == crash_verdict::blocked);
    }
}

TEST_CASE("evidence on parts is merged", "[crash]")
{
    const time_point now{seconds(1000)};
    SECTION("with the same result whatever the order and repetition of notices")
    {
        std::vector<crash_notice> notices{
            make_part_notice({{11, false, milliseconds(900)}, {12, true, milliseconds(500)}}),
            make_part_notice({{11, false, milliseconds(950)}, {13, false, milliseconds(2000)}}),
            make_part_notice({{12, false, milliseconds(520)}}, milliseconds(1500)),
            make_part_notice({{14, false, milliseconds(400)}}, milliseconds(1800))};
        const std::vector<std::tuple<std::uint64_t, milliseconds, bool>> expected{
            {11, milliseconds(950), false}, {12, milliseconds(520), true}, {14, milliseconds(400), false}};
        std::vector<std::size_t> order{0, 1, 2, 3};
        do {
            crash_attribution daemon;
            for (const auto i : order) {
                daemon.apply(notices[i], now);
                daemon.apply(notices[order.front()], now);
            }
            CAPTURE(order);
            CHECK(losses_of(daemon, now) == expected);
        } while (std::next_permutation(order.begin(), order.end()));
    }
    SECTION("and an answer does not seem later with each exchange")
    {
        // Guards against acquittals that pass back and forth until they are later than the losses.
        part_daemon first;
        part_daemon second;
        first.answer({crashing});
        for (auto* daemon : {&first, &second}) {
            daemon->pass(milliseconds(50));
        }
        for (int i = 0; i < 3; ++i) {
            first.lose({crashing});
            second.pass(limits::classification_delay);
        }
        REQUIRE(first.check({crashing}) == crash_verdict::refuse);
        for (int i = 0; i < 20; ++i) {
            const auto from_first = first.attribution.notices(first.now);
            const auto from_second = second.attribution.notices(second.now);
            first.pass(milliseconds(100));
            second.pass(milliseconds(100));
            for (const auto& notice : from_first) {
                second.attribution.apply(notice, second.now);
            }
            for (const auto& notice : from_second) {
                first.attribution.apply(notice, first.now);
            }
        }
        CHECK(first.check({crashing}) >= crash_verdict::refuse);
        CHECK(second.check({crashing}) >= crash_verdict::refuse);
    }
    SECTION("and the records of sound parts end although daemons exchange them")
    {
        part_daemon first;
        part_daemon second;
        first.lose({crashing});
        second.pass(limits::classification_delay);
        for (int i = 0; i < 300; ++i) {
            for (const auto& notice : first.attribution.notices(first.now)) {
                second.attribution.apply(notice, second.now);
            }
            for (const auto& notice : second.attribution.notices(second.now)) {
                first.attribution.apply(notice, first.now);
            }
            for (auto* daemon : {&first, &second}) {
                daemon->answer({crashing});
                daemon->pass(milliseconds(100));
            }
        }
        CHECK(first.attribution.notices(first.now).empty());
        CHECK(second.attribution.notices(second.now).empty());
    }
    SECTION("and the block of a whole request is not prolonged by exchanging it")
    {
        crash_attribution first;
        crash_attribution second;
        constexpr seconds lifetime{10};
        constexpr milliseconds delay{500};
        first.apply({crashing, 0, true, {}, lifetime}, now);
        for (auto time = now; time < now + 2 * lifetime; time += 2 * delay) {
            for (const auto& notice : first.notices(time)) {
                second.apply(notice, time + delay);
            }
            for (const auto& notice : second.notices(time + delay)) {
                first.apply(notice, time + 2 * delay);
            }
        }
        CHECK(first.check(crashing, now + 2 * lifetime) == crash_verdict::run);
    }
    SECTION("and a daemon with old evidence learns of an answer that the others have forgotten")
    {
        part_daemon first;
        part_daemon second;
        first.lose({crashing});
        for (const auto& notice : first.attribution.notices(first.now)) {
            second.attribution.apply(notice, second.now + limits::classification_delay);
        }
        second.pass(limits::classification_delay);
        for (auto* daemon : {&first, &second}) {
            daemon->pass(milliseconds(100));
        }
        first.answer({crashing});
        for (auto* daemon : {&first, &second}) {
            daemon->pass(2 * limits::crash_cleared_lifetime);
        }
        REQUIRE(second.check({crashing}) == crash_verdict::trial);
        for (const auto& notice : second.attribution.notices(second.now)) {
            first.attribution.apply(notice, first.now);
        }
        for (const auto& notice : first.attribution.notices(first.now)) {
            second.attribution.apply(notice, second.now);
        }
        CHECK(second.check({crashing}) == crash_verdict::run);
    }
}

TEST_CASE("the state on parts is bounded", "[crash]")
{
    part_daemon daemon;
    SECTION("a refused part keeps its record when other records are evicted")
    {
        daemon.lose({crashing});
        daemon.lose({crashing}, true);
        for (std::uint64_t i = 0; i < limits::crash_records + 100; ++i) {
            daemon.attribution.apply({{1'000'000 + i}, 0, false, {{i, false}}, milliseconds(10'000'000)},
                                     daemon.now);
        }
        daemon.pass(milliseconds(100));
        CHECK(daemon.attribution.stats().records == limits::crash_records);
        CHECK(daemon.check({crashing}) == crash_verdict::refuse);
    }
    SECTION("a part keeps its latest losses, and each is decided")
    {
        for (std::size_t i = 0; i < 2 * crash_attribution::max_losses; ++i) {
            daemon.lose({crashing});
        }
        for (const auto& notice : daemon.attribution.notices(daemon.now)) {
            CHECK(notice.losses.size() <= crash_attribution::max_losses);
        }
    }
    SECTION("and losses that it has dropped do not explain the others")
    {
        for (std::size_t i = 0; i < crash_attribution::max_losses + 4; ++i) {
            const auto run = make_run("x" + std::to_string(i), "d");
            daemon.attribution.begin(1000 + i, {{1000 + i}, {crashing}}, run, false, daemon.now);
            daemon.attribution.group_lost(run, daemon.now, daemon.now);
            daemon.pass(milliseconds(20));
        }
        daemon.pass(crash_records::decision_delay);
        CHECK(daemon.check({crashing}) == crash_verdict::blocked);
    }
    SECTION("parts beyond the limit of a request are not counted")
    {
        std::vector<request_fingerprint> parts;
        for (std::uint64_t i = 0; i <= limits::crash_parts; ++i) {
            parts.push_back({100 + i});
        }
        daemon.lose(parts);
        CHECK(daemon.check({parts[limits::crash_parts - 1]}) == crash_verdict::trial);
        CHECK(daemon.check({parts[limits::crash_parts]}) == crash_verdict::run);
    }
    SECTION("answered parts are remembered up to a limit, the latest ones")
    {
        answered_features parts;
        for (std::uint64_t i = 0; i < 2 * limits::crash_acquitted_parts; ++i) {
            parts.record(i, daemon.now);
            REQUIRE(parts.size() <= limits::crash_acquitted_parts);
        }
        CHECK(parts.find(2 * limits::crash_acquitted_parts - 1) == daemon.now);
        CHECK_FALSE(parts.find(0).has_value());
        parts.record(0, daemon.now + limits::crash_acquittal_lifetime);
        parts.record(0, daemon.now);
        CHECK(parts.find(0) == daemon.now + limits::crash_acquittal_lifetime);
    }
}
