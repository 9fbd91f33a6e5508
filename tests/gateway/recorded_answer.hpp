#pragma once

#include "http/server.hpp"

#include <functional>
#include <string_view>

namespace rml::test {

/// Records the answer that the caller would get.
class recorded_answer final : public http::response_writer
{
public:
    status send(const http::response& whole) override
    {
        this->answer = whole;
        this->finished = true;
        return success();
    }
    status start(const http::response& head) override
    {
        this->answer = head;
        return success();
    }
    status write(std::string_view chunk) override
    {
        this->answer.body += chunk;
        if (this->on_write) {
            this->on_write();
        }
        return success();
    }
    status finish() override
    {
        this->finished = true;
        return success();
    }
    void abort() override { this->aborted = true; }
    bool started() const override { return this->answer.status != 0; }
    void on_disconnect(const std::function<void()>& callback) override { this->disconnect = callback; }

    std::function<void()> disconnect; ///< to be called when the caller leaves
    std::function<void()> on_write;   ///< called in the coroutine of the request
    http::response answer{0, {}, {}};
    bool finished{false}; ///< the answer looks complete
    bool aborted{false};
};

} // namespace rml::test
