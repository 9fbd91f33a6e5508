#include "base/limits.hpp"
#include "decision/claim.hpp"
#include "decision/outcome.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <ostream>
#include <rapidcheck.h>
#include <vector>

using namespace rml;

namespace {

const time_point start_time{std::chrono::hours(1)};
constexpr milliseconds request_deadline{10000};
const std::string body = "body";

claim_document make_document(claim_state state, const std::string& attempt)
{
    return {state, attempt, body, {}};
}

/// A store with one key, and writes that have not reached it yet.
class model_store
{
public:
    claim_write_reply write(const claim_write& wanted)
    {
        const auto current = this->claim ? this->claim->revision : 0;
        if (wanted.expect != current) {
            return failure{failure_kind::conflict, "store"};
        }
        this->claim = stored_claim{wanted.document, ++this->last_revision};
        return this->last_revision;
    }

    void delay(const claim_write& late) { this->late_writes.push_back(late); }

    /// One of the late writes reaches the store; its reply is dropped.
    void deliver_late(std::size_t choice)
    {
        if (!this->late_writes.empty()) {
            const auto at =
                this->late_writes.begin() + static_cast<std::ptrdiff_t>(choice % this->late_writes.size());
            const auto late = *at;
            this->late_writes.erase(at);
            this->write(late);
        }
    }

    claim_read_reply read() const { return this->claim; }
    bool has_late_writes() const { return !this->late_writes.empty(); }

    std::optional<stored_claim> claim;

private:
    std::uint64_t last_revision{0};
    std::deque<claim_write> late_writes;
};

enum class service_reply
{
    answered,
    refused, ///< the service reports that it did not run the call
    lost,    ///< the connection broke; the service may have run the call
    unsent,  ///< no connection
};

/// How the store treats one call.
enum class store_fault
{
    none,
    reply_lost, ///< the write takes effect, its reply is lost
    dropped,    ///< the write never takes effect, no reply
    delayed,    ///< the write takes effect later, no reply
    conflict,   ///< the write takes effect and gets a conflict: the client repeated it after a lost reply
};

/// One request with the key, advanced step by step.
class model_request
{
public:
    model_request(int number, milliseconds until)
        : claim("attempt-" + std::to_string(number), body, start_time + until), step(claim.start(start_time))
    {
    }

    bool ended() const { return this->reported.has_value() && !this->settlement; }

    /// Takes one step. `service` counts the runs at the service.
    void advance(model_store& store, store_fault fault, service_reply reply, time_point now, int& runs)
    {
        if (this->settlement) {
            return this->settle(store, fault);
        }
        if (const auto* write = std::get_if<claim_write>(&this->step)) {
            this->step = this->claim.on_write(apply(store, *write, fault), now);
        } else if (std::holds_alternative<claim_read>(this->step)) {
            this->step = this->claim.on_read(read(store, fault), now);
        }
        this->on_step(reply, now, runs);
    }

    /// The settlement ended without writing the final state of the claim.
    bool gave_up{false};
    bool sent{false};
    bool ran{false};
    std::optional<outcome> reported;

private:
    static claim_write_reply apply(model_store& store, const claim_write& write, store_fault fault)
    {
        switch (fault) {
        case store_fault::none:
            return store.write(write);
        case store_fault::reply_lost:
            store.write(write);
            break;
        case store_fault::delayed:
            store.delay(write);
            break;
        case store_fault::conflict: {
            store.write(write);
            return failure{failure_kind::conflict, "store"};
        }
        case store_fault::dropped:
            break;
        }
        return failure{failure_kind::timeout, "store"};
    }

    static claim_read_reply read(const model_store& store, store_fault fault)
    {
        if (fault == store_fault::none || fault == store_fault::conflict) {
            return store.read();
        }
        return failure{failure_kind::timeout, "store"};
    }

    void on_step(service_reply reply, time_point now, int& runs)
    {
        if (std::holds_alternative<claim_send>(this->step)) {
            // The process may be paused between the claim and the send.
            const auto checked = this->claim.before_send(now);
            if (std::holds_alternative<claim_send>(checked)) {
                return this->send(reply, runs);
            }
            this->step = checked;
        }
        if (const auto* refused = std::get_if<claim_refuse>(&this->step)) {
            this->reported = outcome::not_run;
            if (refused->release_claim) {
                this->begin(this->claim.release());
            }
        } else if (std::holds_alternative<claim_replay>(this->step)) {
            this->reported = outcome::completed;
        } else if (const auto* unknown = std::get_if<claim_unknown>(&this->step)) {
            this->reported = outcome::unknown;
            if (unknown->release_claim) {
                this->begin(this->claim.release());
            }
        }
    }

    void send(service_reply reply, int& runs)
    {
        attempt_outcome attempt;
        if (reply != service_reply::unsent) {
            attempt.on_send();
            this->sent = true;
        }
        if (reply == service_reply::answered || reply == service_reply::lost) {
            ++runs;
            this->ran = true;
        }
        if (reply == service_reply::answered) {
            attempt.on_completed();
            this->begin(this->claim.store_answer({200, "text/plain", "booked", true}));
        } else if (reply == service_reply::lost) {
            attempt.on_lost();
        } else {
            if (reply == service_reply::refused) {
                attempt.on_refused();
            }
            this->begin(this->claim.release());
        }
        this->reported = attempt.current();
    }

    void begin(claim_settlement next)
    {
        this->settlement = std::make_unique<claim_settlement>(std::move(next));
        this->settle_step = this->settlement->start();
    }

    void settle(model_store& store, store_fault fault)
    {
        if (const auto* write = std::get_if<claim_write>(&this->settle_step)) {
            this->settle_step = this->settlement->on_write(apply(store, *write, fault));
        } else if (std::holds_alternative<claim_read>(this->settle_step)) {
            this->settle_step = this->settlement->on_read(read(store, fault));
        }
        if (const auto* end = std::get_if<claim_settlement::finished>(&this->settle_step)) {
            this->gave_up = !end->settled;
            this->settlement.reset();
        }
    }

    claim_attempt claim;
    claim_step step;
    std::unique_ptr<claim_settlement> settlement;
    claim_settlement::step settle_step;
};

struct model_event
{
    int request{0};
    store_fault fault{store_fault::none};
    service_reply reply{service_reply::answered};
    int pause{0}; ///< milliseconds before the event
    bool deliver{false};
};

/// rapidcheck prints counterexamples with it.
std::ostream& operator<<(std::ostream& out, const model_event& event)
{
    return out << "request " << event.request << " fault " << static_cast<int>(event.fault) << " reply "
               << static_cast<int>(event.reply) << " pause " << event.pause << " deliver " << event.deliver;
}

rc::Gen<model_event> any_event()
{
    return rc::gen::build<model_event>(
        rc::gen::set(&model_event::request, rc::gen::inRange(0, 4)),
        rc::gen::set(&model_event::fault,
                     rc::gen::weightedElement<store_fault>({{6, store_fault::none},
                                                            {1, store_fault::reply_lost},
                                                            {1, store_fault::dropped},
                                                            {1, store_fault::delayed},
                                                            {1, store_fault::conflict}})),
        rc::gen::set(&model_event::reply, rc::gen::element(service_reply::answered, service_reply::refused,
                                                           service_reply::lost, service_reply::unsent)),
        rc::gen::set(&model_event::pause,
                     rc::gen::weightedOneOf<int>({{8, rc::gen::inRange(0, 50)}, {1, rc::gen::just(6000)}})),
        rc::gen::set(&model_event::deliver, rc::gen::arbitrary<bool>()));
}

} // namespace

namespace rc {
template <>
struct Arbitrary<model_event>
{
    static Gen<model_event> arbitrary() { return any_event(); }
};
} // namespace rc

namespace {

void check_interleaving(const std::vector<model_event>& events)
{
    model_store store;
    std::vector<model_request> requests;
    for (int i = 0; i < 4; ++i) {
        requests.emplace_back(i, request_deadline);
    }
    auto now = start_time;
    int runs = 0;
    const auto advance = [&](const model_event& next) {
        now += milliseconds(next.pause);
        if (next.deliver) {
            store.deliver_late(static_cast<std::size_t>(next.request));
        }
        auto& request = requests[static_cast<std::size_t>(next.request)];
        if (!request.ended()) {
            request.advance(store, next.fault, next.reply, now, runs);
        }
        RC_ASSERT(runs <= 1);
    };
    for (const auto& next : events) {
        advance(next);
    }
    // The store recovers: every request ends, while late writes still reach the store between the steps.
    for (int round = 0; round < 200; ++round) {
        advance({round % 4, store_fault::none, service_reply::answered, 100, round % 3 == 0});
    }
    int completed = 0;
    for (const auto& request : requests) {
        RC_ASSERT(request.ended());
        RC_ASSERT(request.reported != outcome::not_run || !request.ran);
        completed += request.ran && request.reported == outcome::completed ? 1 : 0;
    }
    RC_ASSERT(completed <= runs);
    // If no call ran, no write is late and no settlement gave up, the key must be free for a later request.
    const bool proven = runs == 0 && !store.has_late_writes() &&
                        std::none_of(requests.begin(), requests.end(),
                                     [](const model_request& each) { return each.gave_up; });
    RC_ASSERT(!proven || !store.claim || store.claim->document.state == claim_state::released);
}

} // namespace

// Guards against a second run under one key, and against a not-run refusal of a call that ran, with store
// faults, lost replies, late writes, pauses and repeated keys.
TEST_CASE("a request with an idempotency key runs at most once", "[claim]")
{
    // Rare interleavings need thousands of sequences; by default rapidcheck runs 100 cases.
    constexpr std::size_t sequences_per_case = 50;
    REQUIRE(rc::check("interleavings of four requests with one key", [] {
        const auto sequences = *rc::gen::container<std::vector<std::vector<model_event>>>(
            sequences_per_case, rc::gen::arbitrary<std::vector<model_event>>());
        for (const auto& events : sequences) {
            check_interleaving(events);
        }
    }));
}

TEST_CASE("each observed state of a claim leads to one step", "[claim]")
{
    claim_attempt claim("mine", body, start_time + request_deadline);
    const auto late = start_time + request_deadline;
    REQUIRE(std::get<claim_write>(claim.start(start_time)).expect == 0);
    const failure timed_out{failure_kind::timeout, "store"};
    const failure conflict{failure_kind::conflict, "store"};

    SECTION("the request is sent after a confirmed claim")
    {
        CHECK(std::holds_alternative<claim_send>(claim.on_write(std::uint64_t{5}, start_time)));
        // Guards against sending the request after the caller's deadline.
        CHECK(std::get<claim_refuse>(claim.before_send(late)).release_claim);
    }
    SECTION("a claim confirmed after the deadline is released, not sent")
    {
        CHECK(std::get<claim_refuse>(claim.on_write(std::uint64_t{5}, late)).release_claim);
    }
    SECTION("after a create without a reply the request is refused as not run and the claim released")
    {
        const auto refused = std::get<claim_refuse>(claim.on_write(timed_out, start_time));
        CHECK(refused.reason.kind == failure_kind::unavailable);
        CHECK(refused.release_claim);
    }
    SECTION("an existing key is read")
    {
        REQUIRE(std::holds_alternative<claim_read>(claim.on_write(conflict, start_time)));
        auto other = make_document(claim_state::claimed, "other");

        SECTION("done: the stored answer")
        {
            other.state = claim_state::done;
            other.answer = {201, "text/plain", "booked", true};
            const auto step = claim.on_read(stored_claim{other, 3}, start_time);
            CHECK(std::get<claim_replay>(step).answer == other.answer);
        }
        SECTION("released: created again on its revision")
        {
            other.state = claim_state::released;
            const auto step = claim.on_read(stored_claim{other, 3}, start_time);
            CHECK(std::get<claim_write>(step).expect == 3);
        }
        SECTION("different body: refused in any state")
        {
            for (const auto state : {claim_state::claimed, claim_state::done, claim_state::released}) {
                other.state = state;
                other.body_hash = "different";
                const auto step = claim.on_read(stored_claim{other, 3}, start_time);
                CHECK(std::get<claim_refuse>(step).reason.kind == failure_kind::conflict);
                CHECK_FALSE(std::get<claim_refuse>(step).release_claim);
            }
        }
        SECTION("claimed: waits, then unknown; the claim is never taken over")
        {
            CHECK(std::holds_alternative<claim_read>(claim.on_read(stored_claim{other, 3}, start_time)));
            CHECK(std::holds_alternative<claim_unknown>(claim.on_read(stored_claim{other, 3}, late)));
        }
        SECTION("claimed: the last read ends before the deadline, with few reads on the way")
        {
            // Guards against an answer after the deadline, and against waiting requests that overload the
            // store with reads.
            auto now = start_time;
            int reads = 0;
            auto step = claim.on_read(stored_claim{other, 3}, now);
            while (const auto* read = std::get_if<claim_read>(&step)) {
                now += read->wait;
                CHECK(read->wait > milliseconds(0));
                CHECK(now < late);
                ++reads;
                step = claim.on_read(stored_claim{other, 3}, now);
            }
            CHECK(std::holds_alternative<claim_unknown>(step));
            CHECK(now + milliseconds(500) > late);
            CHECK(reads <= 10);
        }
        SECTION("not readable: waits, then unknown, since an earlier request may have run")
        {
            CHECK(std::holds_alternative<claim_read>(claim.on_read(timed_out, start_time)));
            CHECK(std::holds_alternative<claim_unknown>(claim.on_read(timed_out, late)));
        }
    }
    SECTION("an answer above the limit is stored without its body")
    {
        auto settlement =
            claim.store_answer({200, "text/plain", std::string(limits::claim_answer_bytes + 1, 'x'), true});
        const auto written = std::get<claim_write>(settlement.start()).document;
        const auto decoded = decode_claim(encode_claim(written));
        REQUIRE(succeeded(decoded));
        CHECK(value(decoded).state == claim_state::done);
        CHECK_FALSE(value(decoded).answer.body_kept);
        CHECK(value(decoded).answer.body.empty());
    }
}

// Guards against a corrupt document that makes a claimed key look free.
TEST_CASE("claim documents survive a round trip and truncated ones are rejected", "[claim]")
{
    REQUIRE(rc::check("round trip", [] {
        claim_document document;
        document.state = *rc::gen::element(claim_state::claimed, claim_state::done, claim_state::released);
        document.attempt_id = *rc::gen::string<std::string>();
        document.body_hash = *rc::gen::string<std::string>();
        if (document.state == claim_state::done) {
            document.answer = {*rc::gen::inRange(100, 600), "text/plain", *rc::gen::string<std::string>(),
                               true};
        }
        const auto bytes = encode_claim(document);
        const auto decoded = decode_claim(bytes);
        RC_ASSERT(succeeded(decoded));
        RC_ASSERT(value(decoded) == document);
        const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT(failed(decode_claim(bytes.substr(0, cut))));
    }));

    const account_id account("workshop");
    CHECK(claim_key(account, "a") == claim_key(account, "a"));
    CHECK(claim_key(account, "a") != claim_key(account, "b"));
    CHECK(claim_key(account, "a") != claim_key(account_id("other"), "a"));
    CHECK(claim_body_hash("POST", "/a", "b") != claim_body_hash("POST", "/ab", ""));
}
