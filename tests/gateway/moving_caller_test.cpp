#include "gateway/forwarding_site.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using namespace rml::test;

namespace {

/// An office with one book of orders behind two daemons, one for each failure domain.
class two_domains
{
public:
    two_domains()
        : office([this](const http::request& message, raw_connection& connection) {
              return this->answer(message, connection);
          })
    {
        for (auto* daemon : {&this->first, &this->second}) {
            daemon->add_target("office", this->office.address());
        }
    }

    /// Answers with the number of orders in the book.
    bool answer(const http::request& message, raw_connection& connection)
    {
        const auto id = run_record::id_of(message);
        this->record.add(message);
        if (message.target.rfind("/orders/", 0) == 0) {
            ++this->orders;
        }
        if (this->lose_next.exchange(false)) {
            connection.reset();
            return false;
        }
        connection.send(whole_answer("200 OK", id_line(id) + "x-signature: s\r\n",
                                     id + ": " + std::to_string(this->orders) + " orders"));
        if (this->repeat_last) {
            connection.send(this->last_answer);
        }
        this->last_answer = whole_answer("200 OK", id_line(id) + "x-signature: s\r\n", "again " + id);
        return true;
    }

    std::atomic<int> orders{0};
    std::atomic<bool> lose_next{false};
    bool repeat_last{false};
    std::string last_answer;
    run_record record;
    raw_server office;
    forwarding_site first;
    forwarding_site second;
};

} // namespace

TEST_CASE("a caller moves from one daemon to another in the middle of its work", "[gateway][moving]")
{
    two_domains site;

    SECTION("each answer belongs to the question asked there")
    {
        // Guards against an answer to an earlier question, on connections that stay open across the move.
        site.repeat_last = true;
        for (int i = 0; i < 4; ++i) {
            const auto check = std::to_string(i);
            CHECK(site.first.send("/stock/1", "help" + check).answer.body.rfind("help" + check + ":", 0) ==
                  0);
            CHECK(site.second.send("/stock/1", "check" + check).answer.body.rfind("check" + check + ":", 0) ==
                  0);
        }
    }
    SECTION("an order made through one daemon is seen through the other")
    {
        CHECK(site.first.send("/orders/1", "A").answer.body == "A: 1 orders");
        CHECK(site.second.send("/stock/1", "B").answer.body == "B: 1 orders");
        CHECK(site.first.send("/stock/1", "C").answer.body == "C: 1 orders");
    }
    SECTION("an order whose answer was lost runs once, and the caller does not learn that it had not run")
    {
        // Guards against a second order through the other daemon: callers repeat only what has not run.
        site.lose_next = true;
        const auto status = site.first.send("/orders/1", "A").answer.status;
        CHECK(status == 502);
        CHECK(site.record.runs_of("A") == 1);
        CHECK(site.second.send("/stock/1", "B").answer.body == "B: 1 orders");
    }
    SECTION("a repeatable request whose answer was lost is answered where the caller is")
    {
        site.lose_next = true;
        site.first.add_target("office2", site.office.address());
        CHECK(site.first.send("/stock/1", "A").answer.body == "A: 0 orders");
    }
    SECTION("a caller that leaves during its request gets nothing of it at the other daemon")
    {
        auto& left = site.first.send("/stock/1", "A", "two planks", [&] { site.first.leave(); });
        CHECK(left.answer.status == 200);
        CHECK(site.second.send("/stock/1", "B").answer.body == "B: 0 orders");
    }
}
