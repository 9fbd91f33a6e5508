/// An engine whose answers to generate requests are scripted by the test.
#pragma once

#include "model/engine_status.hpp"
#include "raw_server.hpp"
#include "target/engine_client.hpp"

#include <nlohmann/json.hpp>

namespace rml::test {

inline std::string request_id_of(const http::request& message)
{
    return http::find_header(message.headers, "x-request-id").value_or("");
}

/// Head of a correct answer to a generate request.
inline std::string stream_head(const std::string& request_id, const std::string& group = "g1@7",
                               const std::string& incarnation = "11")
{
    return "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
           "x-request-id: " +
           request_id + "\r\nx-group: " + group + "\r\nx-incarnation: " + incarnation + "\r\n\r\n";
}

inline std::string token_chunk(std::size_t index, const std::string& token)
{
    return chunk("data: {\"index\":" + std::to_string(index) + ",\"token\":\"" + token + "\"}\n\n");
}

inline std::string done_chunk()
{
    return chunk("data: [DONE]\n\n") + last_chunk;
}

inline std::string not_run_answer(const http::request& message, const std::string& status = "503 Unavailable")
{
    return whole_answer(status, "x-request-id: " + request_id_of(message) + "\r\nx-not-run: true\r\n",
                        "busy");
}

/// Events of the tokens "t<index>", from the first index after the resumed tokens up to `end` (exclusive).
inline std::string correct_tokens(const http::request& message, std::size_t end)
{
    const auto first = nlohmann::json::parse(message.body).at("resume_tokens").size();
    std::string out;
    for (auto i = first; i < end; ++i) {
        out += token_chunk(i, "t" + std::to_string(i) + " ");
    }
    return out;
}

/// Answers GET /status as rank 0 of g1@7 in incarnation 11, and cancels with 200; the script answers generate
/// requests.
class scripted_engine
{
public:
    explicit scripted_engine(raw_server::script generate, const std::string& group = "g1")
        : generate(std::move(generate)), group(group),
          server([this](const http::request& message, raw_connection& connection) {
              return this->answer(message, connection);
          })
    {
    }

    target::engine_target target() const
    {
        return {this->server.address(), group_id(this->group), 7, this->incarnation};
    }
    endpoint address() const { return this->server.address(); }
    int connections() const { return this->server.accepted(); }

    std::atomic<std::uint64_t> incarnation{11};
    std::atomic<int> status_reads{0};
    std::atomic<int> generations{0};
    std::atomic<int> cancels{0};

private:
    bool answer(const http::request& message, raw_connection& connection)
    {
        if (message.target == "/status") {
            ++this->status_reads;
            engine_status report;
            report.incarnation = this->incarnation;
            report.group = group_id(this->group);
            report.group_epoch = 7;
            report.loaded = true;
            connection.send(whole_answer("200 OK", "", encode_engine_status(report)));
            return true;
        }
        if (message.method == "DELETE") {
            ++this->cancels;
            connection.send(whole_answer("200 OK", "", ""));
            return true;
        }
        ++this->generations;
        return this->generate(message, connection);
    }

    raw_server::script generate;
    std::string group;
    raw_server server;
};

} // namespace rml::test
