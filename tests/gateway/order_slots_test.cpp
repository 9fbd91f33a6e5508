#include "gateway/order_slots.hpp"

#include "gateway/coroutine.hpp"
#include "http/pause.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

using namespace rml;
using gateway::order_slots;
using gateway::yield_context;

// Guards against a manager that sends the orders of a whole site at once, so that all of them time out.
TEST_CASE("the manager has a limited number of orders in flight", "[gateway][order_slots]")
{
    constexpr std::size_t limit = 3;
    boost::asio::io_context context;
    order_slots slots(context, limit);
    std::size_t in_flight = 0;
    std::size_t most = 0;
    std::string order;
    const auto send = [&](char name, bool urgent) {
        gateway::start_coroutine(context, [&, name, urgent](yield_context yield) {
            const order_slots::permit slot(slots, urgent, yield);
            order += name;
            most = std::max(most, ++in_flight);
            http::pause(milliseconds(1), yield);
            --in_flight;
        });
    };
    for (const char name : {'a', 'b', 'c', 'd', 'e'}) {
        send(name, false);
    }
    for (const char name : {'1', '2'}) {
        send(name, true);
    }
    context.run();
    CHECK(most == limit);
    CHECK(order.substr(0, limit) == "abc");
    CHECK(order.substr(limit) == "12de"); // urgent orders overtake the waiting ones
    CHECK(in_flight == 0);

    SECTION("and takes further ones when all have ended")
    {
        context.restart();
        send('z', false);
        context.run();
        CHECK(order.back() == 'z');
    }
}
