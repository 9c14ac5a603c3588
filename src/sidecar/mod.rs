//! The sidecar: the daemon for platforms that have their own configuration store.
//!
//! A sidecar runs on each VM, beside one target. A call enters at the sidecar on the VM of its
//! caller, which routes it by the operator's [`RouteConfig`] and chooses a target ([`PeerTable`]).
//! The sidecar of that target queues the call until a slot is free ([`SlotScheduler`]), runs it,
//! and reports with the response what the call and its child calls cost ([`TreeCost`]) and how
//! loaded the target is ([`TargetLoad`]). From these reports, the sidecar at which the first call
//! of a chain enters (the ingress sidecar) decides which requests to refuse ([`IngressAdmission`]).
//!
//! A *slot* is the capacity of a target for one call at a time. The *pressure* of a service is its
//! running and queued calls divided by its concurrency limit. The *rank* is the priority of a
//! request; a higher rank is served first. A *peer* is the sidecar beside a target that is called.
//!
//! [`PlatformAdapter`] and [`ConfigSource`] hide the names, formats and protocols of a platform.
//! The components that make decisions use neither clocks nor sockets:
//!
//! ```
//! use banyantrestle::{
//!     sidecar::{SlotDecision, SlotScheduler},
//!     time::TimePoint,
//! };
//!
//! let now = TimePoint::ORIGIN;
//! let deadline = TimePoint::from_millis(500);
//! let mut scheduler = SlotScheduler::new(1, now);
//! assert_eq!(scheduler.request(now, 1, now, deadline), SlotDecision::Start);
//! assert!(matches!(scheduler.request(now, 1, now, deadline), SlotDecision::Queued(_)));
//! ```

mod account_gate;
mod admin_service;
mod admitted_request;
mod attempt_history;
mod attempt_report;
mod call_pace;
mod call_table;
mod config_watch;
mod crash_watch;
mod departed_targets;
mod departure_log;
mod departure_store;
mod drain_window;
mod failure_cause;
mod forwarded_call;
mod hop_context;
mod inbound_service;
mod ingress_admission;
mod least_service;
mod leaving_peers;
mod lift_record;
mod live_target;
mod load_header;
mod local_response;
mod mesh_question;
mod outbound;
mod parent_recovery;
mod peer_call;
mod peer_formats;
mod peer_subset;
mod peer_table;
mod platform_adapter;
mod pressure_report;
mod process_load;
mod queue_pressure;
mod rank_rates;
mod rank_scale;
mod rank_set;
mod rank_shares;
mod rate_bucket;
mod refusal_store;
mod report_refusal;
mod report_source;
mod request_labels;
mod request_log;
mod request_tally;
mod response_notice;
mod route_config;
mod route_cost;
mod route_durations;
mod route_rule;
mod run_guard;
mod running_calls;
mod running_request;
mod sent_call;
mod served_count;
mod service_limiter;
mod service_ranks;
mod sidecar_daemon;
mod sidecar_settings;
mod sidecar_shutdown;
mod sidecar_state;
mod slot_scheduler;
mod slot_semaphore;
mod streamed_run;
mod suspect_exchange;
mod taken_body;
mod target_incarnation;
mod target_notice;
mod target_probe;
mod target_report;
mod target_retry_budget;
mod target_tracker;
mod tree_cost;
mod tried_targets;
mod unread_fields;

#[cfg(test)]
mod tests;

pub use {
    attempt_history::{AttemptHistory, AttemptOutcome, NextStep},
    departed_targets::{DepartedTargets, MAX_DEPARTED_TARGETS},
    departure_store::DEPARTURE_TABLE,
    drain_window::DrainWindow,
    failure_cause::FailureCause,
    hop_context::{HopContext, HopFormat, MAX_CALL_DEPTH},
    ingress_admission::{EndedRequest, IngressAdmission, IngressRefusal, RequestAdmission},
    least_service::LeastService,
    peer_table::{PeerOutcome, PeerTable},
    platform_adapter::{
        CallerCredential, ConfigRow, ConfigSource, ConfigStanding, FeedEvent, FeedPosition,
        HeaderNames, PlatformAdapter,
    },
    pressure_report::{PressureReport, ServicePressure},
    queue_pressure::QueuePressure,
    refusal_store::REFUSAL_TABLE,
    response_notice::{RateStatement, ResponseNotice},
    route_config::{CallerLimits, RouteConfig},
    route_durations::RouteDurations,
    route_rule::{RouteRetrySafety, RouteRule, WeightedService},
    service_limiter::ServiceLimiter,
    sidecar_daemon::SidecarDaemon,
    sidecar_settings::{ListenAddresses, SidecarSettings},
    slot_scheduler::{QueueKey, QueuedCall, SlotDecision, SlotOutcome, SlotScheduler, TargetLoad},
    target_incarnation::TargetIncarnation,
    target_report::{ReportedState, TargetHeartbeat, TargetReport},
    target_retry_budget::{RetryLimits, RetryRequest, TargetRetryBudget},
    target_tracker::{TargetChange, TargetPhase, TargetTracker},
    tree_cost::{ServiceCost, TreeCost},
    tried_targets::TriedTargets,
};
pub(crate) use {
    call_table::CALL_ID_SEPARATOR,
    local_response::{RATE_LIMIT_CAUSE, explain_outcome},
};
