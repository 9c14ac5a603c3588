//! Admission control for the calls to one target.
//!
//! An [`AdmissionGuard`] decides for each call whether it starts, waits in a queue, or is refused
//! with a retry delay. A [`ConcurrencyLimit`] bounds the calls that run at the same time; a queue
//! orders the waiting calls by [`CallOrder`]; an [`AdmissionThreshold`] sets the lowest priority
//! that is admitted. Responses return the threshold to the calling daemons, which keep it in a
//! [`ThresholdCache`] and refuse calls below it before any work is done for them.
//!
//! The module reads no clock and opens no socket. The owner of a guard calls
//! [`offer`](AdmissionGuard::offer), [`finish`](AdmissionGuard::finish) and
//! [`tick`](AdmissionGuard::tick), and after each of them calls
//! [`next_effect`](AdmissionGuard::next_effect) until it returns `None`.

mod admission_guard;
mod admission_queue;
mod admission_refusal;
mod admission_request;
mod admission_threshold;
mod aimd_limit;
mod call_order;
mod concurrency_limit;
mod demand_table;
mod external_slowdown;
mod gradient_limit;
mod guard_effect;
mod guard_load;
mod guard_settings;
mod latency_window;
mod load_report;
mod priority_queue;
mod rank_table;
mod service_time_estimate;
mod sojourn_control;
mod static_limit;
mod threshold_cache;
mod throughput_estimate;
mod ticket_table;

pub use {
    admission_guard::AdmissionGuard,
    admission_queue::{AdmissionQueue, QueuedTicket},
    admission_refusal::{AdmissionDecision, AdmissionRefusal, RefusalReason},
    admission_request::AdmissionRequest,
    admission_threshold::AdmissionThreshold,
    aimd_limit::AimdLimit,
    call_order::CallOrder,
    concurrency_limit::{ConcurrencyLimit, LimitUsage, ServiceSample},
    gradient_limit::GradientLimit,
    guard_effect::GuardEffect,
    guard_load::GuardLoad,
    guard_settings::{DrainState, GuardSettings, SojournMode, ThresholdMode},
    load_report::LoadReport,
    priority_queue::PriorityQueue,
    static_limit::StaticLimit,
    threshold_cache::ThresholdCache,
    ticket_table::{CompletionKind, TicketKey},
};
