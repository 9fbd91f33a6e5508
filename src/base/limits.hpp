/// Size and time limits of the system, with the reason for a number where there is one.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace rml::limits {

// Fleet, from the two-year target of docs/CAPACITY.md.
constexpr std::size_t max_daemons = 390;
constexpr std::size_t max_engines = 600;
constexpr std::size_t max_failure_domains = 10;

// Leases and duties.
constexpr milliseconds duty_lease{6000};
constexpr milliseconds duty_renewal{2000}; // two renewals may be lost before the lease expires
constexpr milliseconds order_timeout{2000};
constexpr milliseconds store_call_timeout{800};
constexpr std::size_t duty_candidates = 2;       // only these daemons call the store for a duty
constexpr milliseconds duty_retry{500};          // four attempts fit between a missed renewal and the expiry
constexpr milliseconds head_poll_interval{2000}; // detects a watch that hangs without an error

// Evidence and observation.
// Covers the longest delays: 0.5 s probe, 1 s report, 1 s digest and 0.3 s spread.
constexpr milliseconds evidence_lifetime{3000};
// The duty holder does not report an older observation as healthy. Sum of 0.5 s probe, 1 s report and 0.2 s
// transfer.
constexpr milliseconds observation_lifetime{1700};
constexpr std::size_t digest_sessions = 4; // senders of one domain's digests that are tracked separately
constexpr milliseconds probe_interval{500};
constexpr milliseconds digest_spread{300}; // longest transfer of a digest that is not delayed by a queue
constexpr milliseconds observe_interval{1000};
constexpr milliseconds probe_cache_lifetime{500};
constexpr milliseconds digest_interval{1000};

// Orders.
constexpr milliseconds order_backoff_initial{500};
constexpr milliseconds order_backoff_max{8000};
constexpr std::size_t orders_in_flight = 64; // of one manager; a whole domain of 60 engines fits

// Share of a pool's groups in one domain, as a divisor, that may load another version at the same time.
constexpr std::uint32_t update_share = 4;

// Risk of instances failing together, learned from coincident losses.
constexpr std::uint32_t risk_coincidences = 2; // one coincidence in two years is expected by chance
constexpr double risk_step = 0.1;              // weight per coincidence
constexpr double risk_cap = 0.5;               // below 1, the value of weights already loaded
constexpr std::chrono::hours risk_half_life{7 * 24};
constexpr std::size_t risk_pairs = 20000; // a whole domain of 60 engines has 1770

// Membership.
constexpr milliseconds keepalive_interval{1000};
constexpr milliseconds peer_link_timeout{3000};
constexpr milliseconds suspicion_window{5000};
constexpr milliseconds isolation_limit{4000}; // equal to the time in which a configuration must be in force
constexpr std::size_t peer_links = 4;

// Slots and grants.
constexpr milliseconds slot_lifetime{3000};
// Time between taking a slot and the target counting the request.
constexpr milliseconds slot_dispatch_margin{500};
constexpr milliseconds quota_lifetime{3000};
constexpr double quota_floor_share = 0.5;

// Retries.
constexpr double retry_share = 0.10;
constexpr seconds retry_window{10};
constexpr double retry_minimum_per_second = 1.0;

// Crash attribution.
constexpr milliseconds classification_delay{300};
constexpr milliseconds correlated_loss_window{2000};
constexpr milliseconds loss_report_delay{1500}; // one report and one digest interval late
constexpr std::chrono::hours block_lifetime{1};
constexpr std::size_t crash_records = 4096; // suspects and blocked requests together
constexpr std::size_t crash_recent_losses = 256;
constexpr std::size_t archived_crash_records = 64; // in the platform's store, some 500 bytes each
constexpr std::size_t crash_parts = 16;            // per request
// Time after which a blocked part may run in one trial. It doubles with each further loss, up to
// block_lifetime.
constexpr seconds part_block_time{60};
constexpr int part_block_growth = 2;
// Time after which a blocked request may run in one trial. It grows with each further loss, up to
// block_lifetime: three trials in about half an hour show whether it crashes its targets.
constexpr seconds request_block_time{20};
constexpr int request_block_growth = 8;
constexpr std::size_t crash_acquitted_parts = 8192;
constexpr seconds crash_acquittal_lifetime{60};
// Cleared records of parts are kept this long, so that daemons that resend old losses learn of the acquittal.
constexpr seconds crash_cleared_lifetime{10};

// Claims.
constexpr std::chrono::hours claim_lifetime{48}; // a caller may repeat a key one day later
constexpr std::size_t idempotency_key_bytes = 256;
constexpr std::size_t claim_answer_bytes = 16 * 1024;
constexpr milliseconds claim_poll_interval{200};
constexpr std::uint32_t claim_poll_doublings = 3; // keeps the store reads of a waiting repeated request few
constexpr std::uint32_t claim_settle_attempts = 12;
// The longest backoff is 12.8 s, so 12 attempts outlast a short outage.
constexpr std::uint32_t claim_settle_doublings = 6;

// Targets that leave or ask for a pause.
constexpr seconds max_target_pause{600};
constexpr std::size_t departure_records = 2048;
// A target answers for seconds after its announcement, and then its registry entry is gone.
constexpr seconds departure_lifetime{120};
// Covers a daemon that is cut off from the store for longer than entries live.
constexpr seconds departure_report_time{15};
constexpr std::size_t departure_reports = 64; // in one report; about 2 KB

// Targets that state how many requests they take.
constexpr seconds stated_rate_window{4}; // time over which targets average their requests
// A target that takes none could not say that its limit has ended.
constexpr double min_stated_rate = 0.1;     // requests per second
constexpr double max_stated_rate = 1.0e6;   // requests per second; above it a limit restricts nobody
constexpr seconds stated_rate_patience{10}; // time without an answer after which a limit grows by half
// Time for which a daemon reports what it heard; equal to the longest interval between reports of a daemon.
constexpr seconds stated_rate_report_time{10};
constexpr std::size_t stated_rate_reports = 64; // in one report; about 3 KB

// Targets.
constexpr milliseconds connect_timeout{1000};
constexpr milliseconds status_timeout{1000};
constexpr milliseconds cancel_timeout{2000};
constexpr milliseconds first_token_timeout{20000}; // an engine's own queue may hold a request for seconds
constexpr milliseconds token_gap_timeout{4000}; // tokens arrive 27 ms apart; a silent engine counts as failed
constexpr milliseconds target_idle_time{20000}; // below http_idle_timeout, so that the client closes first
constexpr std::size_t target_idle_connections = 32; // per target
constexpr std::size_t target_idle_total = 1024;     // to all targets, where no limit on descriptors is stated
constexpr milliseconds target_idle_check{1000};     // until a connection that its target closed is released
constexpr milliseconds disconnect_poll_interval{100}; // detects a caller's disconnect while no token arrives
constexpr std::size_t event_bytes = 64 * 1024;
constexpr std::size_t answer_bytes = 16 * 1024 * 1024;          // one answer that is not a stream
constexpr std::size_t buffered_answer_bytes = 32 * 1024 * 1024; // all such answers of a daemon together
constexpr std::size_t engine_answer_bytes = 256 * 1024;         // a report or the answer to an order
constexpr std::uint32_t generation_attempts = 5;
constexpr std::uint32_t max_tokens = 32768;

// Callers.
constexpr std::size_t http_header_bytes = 16 * 1024;
constexpr std::size_t http_body_bytes = 4 * 1024 * 1024;
constexpr milliseconds http_head_timeout{10000}; // bounds how long a slow sender holds a connection
constexpr milliseconds http_body_timeout{20000};
constexpr milliseconds http_idle_timeout{60000};
constexpr milliseconds http_write_timeout{20000};
constexpr std::size_t http_connections = 4096;
// Unread bytes of an answered connection are discarded for this long and up to this size before it is closed.
constexpr milliseconds http_closing_time{1000};
constexpr std::size_t http_closing_bytes = 4 * 1024 * 1024;
constexpr std::size_t http_refused_connections = 64; // refused ones that wait for the peer to close
constexpr milliseconds http_accept_pause{100};       // after a failure, such as too many open files
constexpr std::size_t request_id_bytes = 128;
constexpr milliseconds max_request_time{120000}; // end to end
constexpr seconds address_lifetime{30};
constexpr seconds drain_margin{5};

// Store and peers.
constexpr std::size_t store_value_bytes = 1024 * 1024;
constexpr std::size_t store_idle_connections = 4; // a watch, a renewal and two other calls at once
constexpr milliseconds store_idle_time{10000};    // below http_idle_timeout, so that the store closes later
constexpr int write_once_attempts = 4;
constexpr milliseconds write_once_retry_delay{50};
constexpr std::size_t peer_frame_bytes = 1024 * 1024 + 64 * 1024;
constexpr int peer_protocol_version = 1;

// Metrics.
constexpr std::size_t metric_series = 4096; // bounds memory when a label takes many values

// Logs.
constexpr std::size_t log_queue_records = 4096;
constexpr double log_lines_per_second = 2000;

} // namespace rml::limits
