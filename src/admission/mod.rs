//! Admission of calls to one target.
//!
//! An [`AdmissionGuard`] stands before each target. It starts a call, queues it for a short while,
//! or refuses it at once with a time to come back. A [`ConcurrencyLimit`] says how many calls run
//! at once; a queue holds the rest in the order of [`CallOrder`]; an [`AdmissionThreshold`] says
//! which priority is admitted at all, and travels back on answers to the [`ThresholdCache`] of callers,
//! so that work is shed before it has cost anything.
//!
//! Nothing here reads a clock or opens a socket. The owner of a guard calls
//! [`offer`](AdmissionGuard::offer), [`finish`](AdmissionGuard::finish) and
//! [`tick`](AdmissionGuard::tick), and after each call pulls
//! [`next_effect`](AdmissionGuard::next_effect) until it is empty.

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
    concurrency_limit::{ConcurrencyLimit, LimitUse, ServiceSample},
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
