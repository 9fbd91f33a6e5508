/// Checks that an answer is whole and belongs to its own request.
#pragma once

#include "base/failure.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rml::load {

/// How a request ended for its caller.
enum class verdict
{
    answered,      ///< whole and its own
    refused,       ///< outcome not-run
    unknown,       ///< outcome unknown, or a call without a whole answer
    failed,        ///< an error answer with another outcome, or none
    broken,        ///< a generation that ended early
    incomplete,    ///< the answer claims to be whole and lacks tokens
    foreign,       ///< the answer is not that of the request
    no_connection, ///< no entry could be reached
    timeout,       ///< no whole answer within the caller's deadline
    not_sent,      ///< above the limit of requests in flight
};
constexpr std::size_t verdicts = 10;

std::string_view to_string(verdict v);

/// Text of an answer against the tokens of its prompt.
verdict check_text(std::string_view prompt, std::size_t tokens, const std::string& text);

/// A chat.completion object.
verdict check_completion(std::string_view prompt, std::size_t tokens, const std::string& body);

/// Answer of the service stand-in to `body` under `key`.
verdict check_call(std::string_view key, std::string_view body, const std::string& answer);

/// An answer with another status than 200 and its x-rml-outcome.
verdict check_refusal(std::string_view outcome);

/// A transport failure. With `sent` the request may have arrived.
verdict check_failure(const failure& reason, bool sent, bool once_only);

} // namespace rml::load
