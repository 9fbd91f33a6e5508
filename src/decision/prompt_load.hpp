/// Expected time to the first token at a target, from the prompt tokens that it has still to read.
///
/// A large model with long prompts is bound by reading prompts, not by slots: two targets with equally many
/// requests can differ by a factor of two in the time to the first token, because one has just received
/// several long prompts. A prompt counts as unread until the first event of its answer.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace rml {

/// Timing of an engine that reads prompts and decodes answers in steps.
struct reading_profile
{
    double tokens_per_s{0};        ///< 0: not stated
    std::uint32_t chunk_tokens{0}; ///< read per step at most; 0: not stated
    std::chrono::duration<double> step{0};
    std::chrono::duration<double> step_per_request{0};
};

/// Prompts of a target that are to be read before the first token of a new request.
struct prompt_queue
{
    std::uint64_t unread_tokens{0}; ///< of all daemons, as far as known
    std::uint32_t requests{0};      ///< that the target runs
    double pace{1};                 ///< factor on its step times
};

/// Time until the first token of a request with a prompt of `tokens`, or nothing without a reading rate.
std::optional<duration> first_token_time(const reading_profile& profile, const prompt_queue& queue,
                                         std::uint64_t tokens);

/// Tokens of a prompt whose caller states `stated`. Bounded, since any number can be stated.
std::uint32_t counted_prompt(double stated);

/// Prompt tokens that this daemon has sent to targets and that are unread.
class unread_prompts
{
public:
    void begin(const instance_id& target, std::uint32_t tokens);
    /// The prompt has been read, or its request has ended.
    void end(const instance_id& target, std::uint32_t tokens);
    std::uint64_t at(const instance_id& target) const;
    /// Targets with unread tokens.
    const std::map<instance_id, std::uint64_t>& all() const { return this->tokens_by_target; }

private:
    std::map<instance_id, std::uint64_t> tokens_by_target;
};

} // namespace rml
