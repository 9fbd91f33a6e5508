#include "decision/prompt_load.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Exceeds the prompts that engines accept.
constexpr double max_prompt_tokens = 131072;

} // namespace

std::optional<duration> first_token_time(const reading_profile& profile, const prompt_queue& queue,
                                         std::uint64_t tokens)
{
    if (profile.tokens_per_s <= 0) {
        return std::nullopt;
    }
    const auto unread = queue.unread_tokens + tokens;
    // The prompt of this request takes a step in any case, also if its size is not stated.
    const auto chunk = std::max<std::uint64_t>(1, profile.chunk_tokens > 0 ? profile.chunk_tokens : unread);
    const auto steps = static_cast<double>(std::max<std::uint64_t>(1, (unread + chunk - 1) / chunk));
    const auto step = profile.step + profile.step_per_request * static_cast<double>(queue.requests + 1);
    const std::chrono::duration<double> reading(static_cast<double>(unread) / profile.tokens_per_s);
    return std::chrono::duration_cast<duration>(queue.pace * (reading + steps * step));
}

std::uint32_t counted_prompt(double stated)
{
    return static_cast<std::uint32_t>(std::clamp(stated, 0.0, max_prompt_tokens));
}

void unread_prompts::begin(const instance_id& target, std::uint32_t tokens)
{
    if (tokens > 0) {
        this->tokens_by_target[target] += tokens;
    }
}

void unread_prompts::end(const instance_id& target, std::uint32_t tokens)
{
    const auto found = this->tokens_by_target.find(target);
    if (found == this->tokens_by_target.end()) {
        return;
    }
    if (found->second <= tokens) {
        this->tokens_by_target.erase(found);
    } else {
        found->second -= tokens;
    }
}

std::uint64_t unread_prompts::at(const instance_id& target) const
{
    const auto found = this->tokens_by_target.find(target);
    return found == this->tokens_by_target.end() ? 0 : found->second;
}

} // namespace rml
