#include "running_daemon.hpp"

using namespace rml;
using namespace rml::test;

namespace {

const std::string four_tokens = "t0 t1 t2 t3 ";

bool serve(const http::request& message, raw_connection& connection)
{
    connection.send(stream_head(request_id_of(message)) + correct_tokens(message, 4) + done_chunk());
    return true;
}

} // namespace

// Guards against an answer that is incomplete, or that misses the headers which callers rely on.
TEST_CASE("a generation is relayed as a stream and as a whole", "[caller]")
{
    scripted_engine engine(serve);
    running_daemon daemon;
    daemon.add_group(engine, "g1");

    SECTION("as a stream")
    {
        const auto answer = daemon.generate(true);
        CHECK(answer.status == 200);
        CHECK(http::find_header(answer.headers, "content-type") == "text/event-stream");
        CHECK(http::find_header(answer.headers, "x-request-id") == "call-1");
        CHECK(content_of(answer) == four_tokens);
        CHECK(is_done(answer));
    }
    SECTION("as a whole")
    {
        const auto answer = daemon.generate(false);
        CHECK(answer.status == 200);
        CHECK(outcome_of(answer) == "completed");
        CHECK(content_of(answer) == four_tokens);

        SECTION("and the next one uses the same connection without a further status read")
        {
            CHECK(content_of(daemon.generate(false)) == four_tokens);
            CHECK(engine.connections() == 1);
            CHECK(engine.status_reads == 1);
        }
    }
    CHECK(daemon.state.open_permits == 0);
}
