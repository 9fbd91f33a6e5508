#include "decision/crash_attribution.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

using namespace rml;

namespace {

constexpr request_fingerprint subject{7};

/// Targets of a plain service: no fabric domain, and a failure domain that is the first letter of the name.
group_run run_of(const std::string& target)
{
    return {group_id(target), 1, fabric_domain_id(), failure_domain_id(target.substr(0, 1))};
}

/// What happens to one request, the subject, and to others beside it.
struct step
{
    enum class kind
    {
        send,   ///< the subject is sent to the target
        trial,  ///< the same as a trial
        other,  ///< another request is sent to the target
        lose,   ///< the target is lost
        answer, ///< the target answers the subject
        wait,
    };

    kind what{kind::wait};
    std::string target;
    milliseconds time{0};
};

step send(const char* target)
{
    return {step::kind::send, target, {}};
}
step trial(const char* target)
{
    return {step::kind::trial, target, {}};
}
step other(const char* target)
{
    return {step::kind::other, target, {}};
}
step lose(const char* target)
{
    return {step::kind::lose, target, {}};
}
step answer(const char* target)
{
    return {step::kind::answer, target, {}};
}
step wait(milliseconds time)
{
    return {step::kind::wait, "", time};
}

struct evidence_case
{
    std::string name;
    std::vector<step> steps;
    crash_verdict expected;
};

crash_verdict verdict_after(const std::vector<step>& steps)
{
    crash_attribution daemon;
    time_point now{seconds(1000)};
    std::uint64_t ticket = 0;
    std::map<std::string, std::uint64_t> sent;
    const auto pass = [&](milliseconds time) {
        constexpr milliseconds poll_interval{50};
        for (const auto until = now + time; now < until;) {
            now += std::min(poll_interval, std::chrono::duration_cast<milliseconds>(until - now));
            daemon.poll(now);
        }
    };
    for (const auto& entry : steps) {
        const auto run = run_of(entry.target);
        switch (entry.what) {
        case step::kind::send:
        case step::kind::trial:
            daemon.begin(++ticket, crash_features{subject, {}}, run, entry.what == step::kind::trial, now);
            sent[entry.target] = ticket;
            break;
        case step::kind::other:
            ++ticket;
            daemon.begin(ticket, crash_features{{1000 + ticket}, {}}, run, false, now);
            break;
        case step::kind::lose:
            daemon.group_lost(run, now, now);
            break;
        case step::kind::answer:
            daemon.end(sent.at(entry.target), true, now);
            break;
        case step::kind::wait:
            pass(entry.time);
            break;
        }
        pass(milliseconds(10));
    }
    return daemon.check_features({subject, {}}, now);
}

const milliseconds decided = crash_records::decision_delay + milliseconds(100);

std::vector<evidence_case> evidence_cases()
{
    return {
        {"three targets lost one after the other",
         {send("a1"), lose("a1"), send("b1"), lose("b1"), send("c1"), lose("c1"), wait(decided)},
         crash_verdict::blocked},
        {"the same beside an accident in a fourth domain, without fabric domains",
         {other("d1"), lose("d1"), send("a1"), lose("a1"), send("b1"), lose("b1"), send("c1"), lose("c1"),
          wait(decided)},
         crash_verdict::blocked},
        {"the same beside an accident in the domain of one of them",
         {other("a2"), lose("a2"), send("a1"), lose("a1"), send("b1"), lose("b1"), send("c1"), lose("c1"),
          wait(decided)},
         crash_verdict::blocked},
        {"three losses, all beside an accident in their domain",
         {other("a9"), lose("a9"), send("a1"), lose("a1"), send("a2"), lose("a2"), send("a3"), lose("a3"),
          wait(decided)},
         crash_verdict::run},
        {"four losses, all beside an accident in their domain",
         {other("a9"), lose("a9"), send("a1"), lose("a1"), send("a2"), lose("a2"), send("a3"), lose("a3"),
          send("a4"), lose("a4"), wait(decided)},
         crash_verdict::trial},
        {"the same, and two trials lost later",
         {other("a9"), lose("a9"), send("a1"), lose("a1"), send("a2"), lose("a2"), send("a3"), lose("a3"),
          send("a4"), lose("a4"), wait(seconds(10)), trial("a5"), lose("a5"), wait(seconds(5)), trial("a6"),
          lose("a6"), wait(decided)},
         crash_verdict::blocked},
        {"in flight on three targets that are lost together",
         {send("a1"), send("a2"), send("a3"), wait(milliseconds(100)), lose("a1"), lose("a2"), lose("a3"),
          wait(decided)},
         crash_verdict::trial},
        {"the same in three failure domains",
         {send("a1"), send("b1"), send("c1"), wait(milliseconds(100)), lose("a1"), lose("b1"), lose("c1"),
          wait(decided)},
         crash_verdict::trial},
        {"the same, and answered in a trial",
         {send("a1"), send("a2"), send("a3"), wait(milliseconds(100)), lose("a1"), lose("a2"), lose("a3"),
          wait(decided), trial("a4"), answer("a4")},
         crash_verdict::run},
        {"the same, and lost in a trial",
         {send("a1"), send("a2"), send("a3"), wait(milliseconds(100)), lose("a1"), lose("a2"), lose("a3"),
          wait(decided), trial("a4"), lose("a4"), wait(decided)},
         crash_verdict::blocked},
        {"answered before, and repeated on three targets of a domain that is lost within a second",
         {send("a0"), answer("a0"), wait(milliseconds(500)), send("a1"), wait(milliseconds(300)), lose("a1"),
          send("a2"), wait(milliseconds(300)), lose("a2"), send("a3"), wait(milliseconds(300)), lose("a3"),
          wait(decided)},
         crash_verdict::trial},
        {"the same, and lost in a trial",
         {send("a0"), answer("a0"), wait(milliseconds(500)), send("a1"), wait(milliseconds(300)), lose("a1"),
          send("a2"), wait(milliseconds(300)), lose("a2"), send("a3"), wait(milliseconds(300)), lose("a3"),
          wait(decided), trial("a4"), lose("a4"), wait(decided)},
         crash_verdict::blocked},
        {"blocked some time ago",
         {send("a1"), lose("a1"), send("b1"), lose("b1"), send("c1"), lose("c1"),
          wait(limits::request_block_time)},
         crash_verdict::trial},
        {"the same, and answered in that trial",
         {send("a1"), lose("a1"), send("b1"), lose("b1"), send("c1"), lose("c1"),
          wait(limits::request_block_time), trial("a2"), answer("a2")},
         crash_verdict::run},
        {"the same, and lost in that trial, for a longer time",
         {send("a1"), lose("a1"), send("b1"), lose("b1"), send("c1"), lose("c1"),
          wait(limits::request_block_time), trial("a2"), lose("a2"), wait(2 * limits::request_block_time)},
         crash_verdict::blocked},
        {"blocked, and an attempt that was sent before is answered",
         {send("b9"), send("a1"), lose("a1"), send("b1"), lose("b1"), send("c1"), lose("c1"), wait(decided),
          answer("b9")},
         crash_verdict::run},
    };
}

} // namespace

// Guards against a request that crashes its targets and runs on because an accident beside it explains its
// losses, and against refusing a request that was merely in flight on targets that were lost.
TEST_CASE("a whole request is judged by what its losses have in common", "[crash]")
{
    for (const auto& entry : evidence_cases()) {
        CAPTURE(entry.name);
        CHECK(verdict_after(entry.steps) == entry.expected);
    }
}
