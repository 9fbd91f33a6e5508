/// What the status of a target's answer says about the request, and what its caller may be told.
///
/// Load: targets that fail a share of their requests with any status, after they have run them. A caller
/// takes 408, 421, 429 and 503 for the promise that its request has not run and never will, and repeats an
/// order that must run once. A target proves that it did not run a request only by marking its answer, or by
/// 421.
#pragma once

#include <cstdint>

namespace rml {

/// 200 to 299.
bool is_success(int status);

/// Whether a caller takes the status for the promise that the request has not run: 408, 421, 429 or 503.
bool promises_not_run(int status);

/// Whether the target failed or turned the request away, so that another target may answer it: a server error
/// (500 and above), or a status that promises that the request has not run.
bool is_target_failure(int status);

/// Whether the caller may get an answer with this status. `possible_runs`: attempts of the request, at all
/// targets, of which it is not proven that they did not run it. A request that may run twice gets the
/// target's own answer: its caller may repeat it in any case.
bool may_tell_caller(int status, bool idempotent, std::uint32_t possible_runs);

} // namespace rml
