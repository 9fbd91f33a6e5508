#include "gateway/forwarding_site.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using namespace rml::test;

namespace {

const std::string event_stream = "content-type: text/event-stream\r\n";
const std::string signed_head = "HTTP/1.1 200 OK\r\nx-id: A\r\nx-signature: s\r\n";
const std::string stream_head = signed_head + event_stream;
const std::string chunked = "transfer-encoding: chunked\r\n";

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) + "\n\n";
}

/// The events `first` to `last`.
std::string events(int first, int last)
{
    std::string out;
    for (int id = first; id <= last; ++id) {
        out += event(id);
    }
    return out;
}

const std::string whole_stream = events(1, 4);

enum class ending
{
    close,
    reset,
};

void end(raw_connection& connection, ending how)
{
    // A reset discards what the system has not sent yet.
    std::this_thread::sleep_for(milliseconds(how == ending::reset ? 10 : 0));
    how == ending::reset ? connection.reset() : connection.shutdown();
}

/// One answer of a target: its pieces are written one after another.
struct scripted_answer
{
    std::vector<std::string> pieces;
    ending how{ending::close};
};

void play(raw_connection& connection, const scripted_answer& answer)
{
    for (const auto& piece : answer.pieces) {
        connection.send(piece);
        if (answer.pieces.size() > 1) {
            std::this_thread::sleep_for(milliseconds(2));
        }
    }
    end(connection, answer.how);
}

/// What the caller and the targets saw of one request.
struct outcome
{
    http::response answer;
    bool finished{false};
    bool aborted{false};
    int sends{0};
};

/// Sends one request to `targets` equal targets, which give the answers in turn, the last one again and
/// again.
outcome send(const std::string& path, const std::vector<scripted_answer>& answers, int targets)
{
    std::atomic<std::size_t> sends{0};
    std::vector<std::unique_ptr<raw_server>> servers;
    forwarding_site site;
    for (int i = 0; i < targets; ++i) {
        servers.push_back(std::make_unique<raw_server>([&](const http::request&, raw_connection& connection) {
            play(connection, answers[std::min(sends++, answers.size() - 1)]);
            return false;
        }));
        site.add_target("t" + std::to_string(i), servers.back()->address());
    }
    const auto& got = site.send(path, "A");
    return {got.answer, got.finished, got.aborted, static_cast<int>(sends)};
}

/// A stream that breaks off after event 2 and goes on with `next` at the other target.
outcome resume(const scripted_answer& next)
{
    return send("/resumable/1",
                {{{stream_head + chunked + "\r\n" + chunk(events(1, 2) + "id: 3\nda")}}, next}, 2);
}

/// Checks that the caller has the first two events and an aborted connection.
void check_aborted(const outcome& got)
{
    CHECK(got.sends == 2);
    CHECK(got.answer.status == 200);
    CHECK(got.answer.body == events(1, 2));
    CHECK(got.aborted);
    CHECK_FALSE(got.finished);
}

/// Checks that the caller has the first two events, at most those that follow, and an aborted connection.
void check_aborted_in_order(const outcome& got)
{
    CHECK(got.sends == 2);
    CHECK(whole_stream.compare(0, got.answer.body.size(), got.answer.body) == 0);
    CHECK(got.answer.body.size() >= events(1, 2).size());
    CHECK(got.aborted);
    CHECK_FALSE(got.finished);
}

void check_whole(const outcome& got)
{
    CHECK(got.answer.status == 200);
    CHECK(got.answer.body == whole_stream);
    CHECK(got.finished);
    CHECK_FALSE(got.aborted);
}

/// Checks that the caller got no success.
void check_failed(const outcome& got)
{
    CHECK(got.answer.status == 502);
    CHECK(got.finished);
}

} // namespace

// Guards against the text of a failed target in a stream, and against a stream that ends there as if
// complete.
TEST_CASE("an error in place of the rest of a stream reaches no caller", "[gateway][broken]")
{
    const std::string error_line = "HTTP/1.1 500 Internal Server Error\r\nx-id: A\r\n";
    const std::string text = "engine failed\n\n";

    SECTION("the rest of the stream is passed on")
    {
        check_whole(resume({{stream_head + chunked + "\r\n" + chunk(events(3, 4)) + last_chunk}}));
        check_whole(resume({{stream_head + "\r\n" + events(3, 4)}}));
        check_whole(resume(
            {{signed_head + "content-type: Text/Event-Stream ; charset=utf-8\r\n\r\n" + events(3, 4)}}));
    }
    SECTION("an error with a length, without, and in chunks")
    {
        check_aborted(resume({{error_line + "content-length: 15\r\n\r\n" + text}}));
        check_aborted(resume({{error_line + "\r\n" + text}}));
        check_aborted(resume({{error_line + chunked + "\r\n" + chunk(text) + last_chunk}}));
    }
    SECTION("an error whose head arrives in pieces, whole or broken off")
    {
        const auto head = error_line + "content-length: 15\r\n\r\n";
        for (std::size_t cut = 1; cut < head.size(); cut += 7) {
            INFO("after " << cut << " bytes");
            check_aborted(resume({{head.substr(0, cut), head.substr(cut) + text}}));
            check_aborted(resume({{head.substr(0, cut)}}));
            check_aborted(resume({{head.substr(0, cut)}, ending::reset}));
        }
    }
    SECTION("an error text in a success with another content type")
    {
        for (const std::string type : {"text/plain", "application/json", "text/event-streams"}) {
            const auto head = signed_head + "content-type: " + type + "\r\n";
            INFO(type);
            check_aborted(resume({{head + "content-length: 15\r\n\r\n" + text}}));
            check_aborted(resume({{head + "\r\n" + text}}));
            check_aborted(resume({{head + chunked + "\r\n" + chunk(text) + last_chunk}}));
            check_aborted(resume({{head + "\r\n" + events(3, 4)}}));
        }
    }
    SECTION("an error text as an event without an id")
    {
        check_aborted(resume({{stream_head + "\r\n" + "data: " + text}}));
        check_aborted(resume({{stream_head + "\r\n" + "event: error\ndata: " + text + events(3, 4)}}));
    }
    SECTION("a success without the signature")
    {
        check_aborted(resume({{"HTTP/1.1 200 OK\r\nx-id: A\r\n" + event_stream + "\r\n" + events(3, 4)}}));
    }
    SECTION("a refusal that says that the request was not executed")
    {
        check_aborted(resume({{refusal("A")}}));
        check_aborted(resume({{refusal("A", "421 Misdirected Request")}}));
    }
}

// Guards against missing and repeated events, and against a stream without its rest that looks complete.
TEST_CASE("a resumed stream that does not go on with the next event is aborted", "[gateway][broken]")
{
    SECTION("it begins again")
    {
        check_aborted(resume({{stream_head + "\r\n" + whole_stream}}));
        check_aborted(resume({{stream_head + chunked + "\r\n" + chunk(whole_stream) + last_chunk}}));
    }
    SECTION("it leaves out an event")
    {
        check_aborted(resume({{stream_head + "\r\n" + event(4)}}));
    }
    SECTION("it has no events")
    {
        check_aborted(resume({{stream_head + "\r\n"}}));
        check_aborted(resume({{stream_head + "content-length: 0\r\n\r\n"}}));
        check_aborted(resume({{stream_head + chunked + "\r\n" + last_chunk}}));
        const auto got = resume({{stream_head + "\r\n: comment\n\n"}});
        CHECK(got.answer.body == events(1, 2) + ": comment\n\n");
        CHECK(got.aborted);
        CHECK_FALSE(got.finished);
    }
    SECTION("it has no length and is reset, or ends inside an event")
    {
        check_aborted_in_order(resume({{stream_head + "\r\n" + event(3)}, ending::reset}));
        check_aborted_in_order(resume({{stream_head + "\r\n" + event(3) + "id: 4\nda"}, ending::reset}));
        check_aborted_in_order(resume({{stream_head + "\r\n" + event(3) + "id: 4\nda"}}));
    }
}

// Guards against events that come twice: without an id, the next target cannot know where to go on.
TEST_CASE("a stream of which the last event has no id is not resumed", "[gateway][broken]")
{
    const auto send_first = [](const std::string& first) {
        return send("/resumable/1",
                    {{{stream_head + chunked + "\r\n" + chunk(first)}},
                     {{stream_head + chunked + "\r\n" + chunk(whole_stream) + last_chunk}}},
                    2);
    };
    for (const std::string first : {"data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n"}) {
        const auto got = send_first(first);
        CHECK(got.answer.body == first);
        CHECK(got.sends == 1);
        CHECK(got.aborted);
    }
    SECTION("a comment is not an event")
    {
        const auto got = send("/resumable/1",
                              {{{stream_head + chunked + "\r\n" + chunk(events(1, 2) + ": comment\n\n")}},
                               {{stream_head + "\r\n" + events(3, 4)}}},
                              2);
        CHECK(got.answer.body == events(1, 2) + ": comment\n\n" + events(3, 4));
        CHECK(got.finished);
    }
}

// Guards against a success for an answer of which not even the head was complete.
TEST_CASE("an answer that ends inside its head is no success", "[gateway][broken]")
{
    const std::string body = whole_stream;
    for (const std::string& framing :
         {"content-length: " + std::to_string(body.size()) + "\r\n", std::string(), chunked}) {
        const auto head = stream_head + framing + "\r\n";
        for (const auto how : {ending::close, ending::reset}) {
            SECTION("framing '" + framing + (how == ending::reset ? "', reset" : "', closed"))
            {
                for (const std::string path : {"/orders/1", "/stock/1", "/streams/1", "/resumable/1"}) {
                    for (std::size_t cut = 0; cut < head.size(); ++cut) {
                        INFO(path << ", " << cut << " bytes of the head");
                        check_failed(send(path, {{{head.substr(0, cut)}, how}}, 1));
                    }
                }
            }
        }
    }
}

// Guards against a success with an empty body for an answer of which only the head arrived.
TEST_CASE("an answer of which only the head arrives is no success", "[gateway][broken]")
{
    for (const std::string& framing : {std::string("content-length: 9\r\n"), std::string(), chunked}) {
        for (const auto how : {ending::close, ending::reset}) {
            for (const std::string path : {"/orders/1", "/stock/1", "/streams/1", "/resumable/1"}) {
                INFO(path << ", framing '" << framing << (how == ending::reset ? "', reset" : "', closed"));
                check_failed(send(path, {{{stream_head + framing + "\r\n"}, how}}, 1));
            }
        }
    }
    SECTION("a failure without length and body is passed on, since no caller takes it for a success")
    {
        for (const std::string path : {"/orders/1", "/stock/1", "/streams/1", "/resumable/1"}) {
            INFO(path);
            const auto got = send(path, {{{"HTTP/1.1 500 Internal Server Error\r\nx-id: A\r\n\r\n"}}}, 1);
            CHECK(got.answer.status == 500);
            CHECK(got.answer.body.empty());
        }
    }
    SECTION("an empty answer with a length, or with a status that has no body, is complete")
    {
        for (const std::string path : {"/orders/1", "/stock/1", "/streams/1"}) {
            INFO(path);
            CHECK(send(path, {{{stream_head + "content-length: 0\r\n\r\n"}}}, 1).answer.status == 200);
            CHECK(send(path, {{{"HTTP/1.1 204 No Content\r\nx-id: A\r\nx-signature: s\r\n\r\n"}}}, 1)
                      .answer.status == 204);
        }
    }
}

// Guards against a partial answer that looks complete: without a length, only the way it ends tells.
TEST_CASE("an answer without length is complete only when its connection is closed at its end",
          "[gateway][broken]")
{
    SECTION("a plain answer")
    {
        const auto head = signed_head + "\r\n";
        for (const std::string path : {"/orders/1", "/stock/1"}) {
            INFO(path);
            const auto got = send(path, {{{head, "whole ", "answer"}}}, 1);
            CHECK(got.answer.status == 200);
            CHECK(got.answer.body == "whole answer");
            check_failed(send(path, {{{head, "whole ", "answer"}, ending::reset}}, 1));
            check_failed(send(path, {{{head + "whole answer"}, ending::reset}}, 1));
        }
    }
    SECTION("a plain answer that may be repeated comes from the other target after a reset")
    {
        const auto got =
            send("/stock/1",
                 {{{signed_head + "\r\nwhole ans"}, ending::reset}, {{signed_head + "\r\nanother"}}}, 2);
        CHECK(got.answer.status == 200);
        CHECK(got.answer.body == "another");
    }
    SECTION("a stream that is closed after its last event")
    {
        for (const std::string path : {"/streams/1", "/resumable/1"}) {
            check_whole(send(path, {{{stream_head + "\r\n" + whole_stream}}}, 1));
            check_whole(send(path, {{{stream_head + "\r\n", events(1, 2), events(3, 4)}}}, 1));
        }
    }
    SECTION("a stream that is reset after an event, or that ends inside one, is aborted")
    {
        const std::vector<scripted_answer> broken{
            {{stream_head + "\r\n" + events(1, 2)}, ending::reset},
            {{stream_head + "\r\n" + events(1, 2) + "id: 3\nda"}, ending::reset},
            {{stream_head + "\r\n" + events(1, 2) + "id: 3\nda"}, ending::close},
            {{stream_head + "\r\n" + events(1, 2) + "id: 3\ndata: c\n"}, ending::close}};
        for (const auto& answer : broken) {
            for (const std::string path : {"/streams/1", "/resumable/1"}) {
                INFO(path << ", " << answer.pieces.back());
                const auto got = send(path, {answer}, 1);
                CHECK(got.answer.body == events(1, 2));
                CHECK(got.aborted);
                CHECK_FALSE(got.finished);
            }
            const auto got = send("/resumable/1", {answer, {{stream_head + "\r\n" + events(3, 4)}}}, 2);
            check_whole(got);
        }
    }
}

// Guards against bytes of a target beyond the content of its answer.
TEST_CASE("an answer whose framing is contradictory or unknown is no success", "[gateway][broken]")
{
    const std::string body = events(1, 4);
    const auto length = "content-length: " + std::to_string(body.size()) + "\r\n";
    const auto chunks = "\r\n" + chunk(body) + last_chunk;
    for (const std::string path : {"/orders/1", "/stock/1", "/streams/1", "/resumable/1"}) {
        DYNAMIC_SECTION(path)
        {
            check_failed(send(path, {{{stream_head + length + "content-length: 9\r\n\r\n" + body}}}, 1));
            check_failed(send(path, {{{stream_head + "content-length: 9, 10\r\n\r\n" + body}}}, 1));
            check_failed(send(path, {{{stream_head + length + chunked + chunks}}}, 1));
            check_failed(send(path, {{{stream_head + chunked + length + chunks}}}, 1));
            check_failed(send(path, {{{stream_head + chunked + chunked + chunks}}}, 1));
            check_failed(send(path, {{{stream_head + "transfer-encoding: gzip\r\n\r\n" + body}}}, 1));
            check_failed(send(path, {{{stream_head + "transfer-encoding: gzip, chunked\r\n" + chunks}}}, 1));
            check_failed(send(path, {{{stream_head + "transfer-encoding: chunked, gzip\r\n" + chunks}}}, 1));
        }
    }
}

TEST_CASE("only the content of an answer reaches the caller", "[gateway][broken]")
{
    const std::string body = events(1, 4);
    const auto length = "content-length: " + std::to_string(body.size()) + "\r\n";

    SECTION("bytes beyond the length, and trailers, are dropped")
    {
        for (const std::string path : {"/orders/1", "/stock/1", "/streams/1", "/resumable/1"}) {
            INFO(path);
            check_whole(send(path, {{{stream_head + length + "\r\n" + body + "engine failed\n\n"}}}, 1));
            check_whole(send(path, {{{stream_head + length + length + "\r\n" + body}}}, 1));
            const auto got = send(
                path, {{{stream_head + chunked + "\r\n" + chunk(body) + "0\r\nx-signature: t\r\n\r\n"}}}, 1);
            check_whole(got);
            CHECK(http::find_header(got.answer.headers, "x-signature") == "s");
        }
    }
    SECTION("a resumed stream keeps the headers with which it began")
    {
        const auto got = resume({{"HTTP/1.1 200 OK\r\nx-id: A\r\nx-signature: other\r\nx-extra: 1\r\n" +
                                  event_stream + "\r\n" + events(3, 4)}});
        check_whole(got);
        CHECK(http::find_header(got.answer.headers, "x-signature") == "s");
        CHECK_FALSE(http::find_header(got.answer.headers, "x-extra"));
    }
}

// Guards against a request that waits for a body that never comes, and against the next answer as that body.
TEST_CASE("the answer to HEAD has no body", "[gateway][broken]")
{
    raw_server target([](const http::request&, raw_connection& connection) {
        connection.send(signed_head + "content-length: 12\r\n\r\n");
        return true;
    });
    forwarding_site site;
    site.add_target("t", target.address());
    site.method = "HEAD";
    for (int round = 0; round < 2; ++round) {
        const auto& got = site.send("/stock/1", "A", "");
        CHECK(got.answer.status == 200);
        CHECK(got.answer.body.empty());
    }
    CHECK(target.accepted() == 1);

    SECTION("also where it states neither a length nor chunks")
    {
        raw_server unframed([](const http::request&, raw_connection& connection) {
            connection.send(signed_head + "\r\n");
            return false;
        });
        forwarding_site other;
        other.add_target("t", unframed.address());
        other.method = "HEAD";
        CHECK(other.send("/orders/1", "A", "").answer.status == 200);
    }
}

TEST_CASE("a target that sends single bytes and no events is replaced as a silent one is",
          "[gateway][broken_answer]")
{
    // Guards against a stalled stream that never ends because a byte arrives now and then.
    std::atomic<int> received{0};
    raw_server trickling([&](const http::request&, raw_connection& connection) {
        ++received;
        connection.send(stream_head + chunked + "\r\n" + chunk(event(1)));
        connection.send_repeatedly(chunk("i"), 10000, milliseconds(40));
        return false;
    });
    raw_server sound([&](const http::request&, raw_connection& connection) {
        connection.send(stream_head + chunked + "\r\n" + chunk(events(2, 4)) + last_chunk);
        return true;
    });
    forwarding_site site;
    site.ticks = true;
    site.add_engine("trickling", trickling.address());
    site.add_engine("sound", sound.address());
    site.make_last_choice("sound");
    auto& got = site.send("/plans/1", "A");
    CHECK(received == 1);
    CHECK(got.finished);
    CHECK(got.answer.body == whole_stream);
}

TEST_CASE("a slow stream whose events keep coming is not cut", "[gateway][broken_answer]")
{
    // Guards against sound streams that are given up because they are slow.
    std::atomic<int> received{0};
    raw_server slow([&](const http::request&, raw_connection& connection) {
        ++received;
        connection.send(stream_head + chunked + "\r\n");
        for (int id = 1; id <= 8; ++id) {
            connection.send(chunk(event(id)));
            std::this_thread::sleep_for(milliseconds(150));
        }
        connection.send(last_chunk);
        return true;
    });
    forwarding_site site;
    site.ticks = true;
    site.add_engine("slow", slow.address());
    site.add_engine("other", slow.address());
    site.make_last_choice("other");
    auto& got = site.send("/plans/1", "A");
    CHECK(received == 1);
    CHECK(got.finished);
    CHECK(got.answer.body == events(1, 8));
}

// Guards against a target in trouble whose status 000 reached a caller as an answer.
TEST_CASE("an answer with an invalid status reaches no caller", "[gateway][broken_answer]")
{
    const std::string fields = "x-id: A\r\nx-signature: s\r\n";
    const std::string plain_end = "content-length: 4\r\n\r\ntext";
    const std::string stream_end = event_stream + chunked + "\r\n" + chunk(whole_stream) + last_chunk;
    SECTION("alone, at the head of a stream, or in place of its rest")
    {
        for (const std::string status : {"000", "001", "099", "100", "101", "102", "103", "199", "600", "700",
                                         "999", "1000", "2000", "20", "2", "", "OK", "-20", "0x1"}) {
            const auto head = "HTTP/1.1 " + status + " Odd\r\n" + fields;
            INFO("status '" << status << "'");
            check_failed(send("/orders/1", {{{head + plain_end}}}, 1));
            check_failed(send("/resumable/1", {{{head + stream_end}}}, 1));
            check_aborted(resume({{head + event_stream + "\r\n" + events(3, 4)}}));
        }
    }
    SECTION("an interim answer before the final one is passed over")
    {
        for (const std::string status : {"100", "102", "103"}) {
            INFO(status);
            const auto interim = "HTTP/1.1 " + status + " Interim\r\n\r\n";
            check_whole(send("/resumable/1", {{{interim + signed_head + stream_end}}}, 1));
        }
    }
    SECTION("a request that may be repeated is answered by another target")
    {
        const auto got =
            send("/resumable/1",
                 {{{"HTTP/1.1 000 Odd\r\n" + fields + stream_end}}, {{signed_head + stream_end}}}, 2);
        CHECK(got.sends == 2);
        check_whole(got);
    }
    SECTION("an answer that has no body by its status is complete without the bytes after it")
    {
        for (const int status : {204, 304}) {
            const auto head = "HTTP/1.1 " + std::to_string(status) + " Empty\r\n" + fields;
            for (const auto& rest : {"\r\n", plain_end.c_str(), stream_end.c_str()}) {
                for (const std::string path : {"/orders/1", "/resumable/1"}) {
                    INFO(status << " " << path << " " << rest);
                    const auto got = send(path, {{{head + rest}}}, 1);
                    CHECK(got.answer.status == status);
                    CHECK(got.answer.body.empty());
                    CHECK(got.finished);
                }
            }
        }
    }
}
