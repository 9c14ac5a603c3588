//! The daemon on a platform that runs its own configuration store.
//!
//! A sidecar is the only way to the target beside it. Calls enter at the sidecar of their caller,
//! which routes them by the operator's [`RoutePlan`], admits or refuses them ([`FrontAdmission`])
//! and chooses a target ([`PeerTable`]). The sidecar of that target holds the call until a slot is
//! free ([`SlotGuard`]), runs it, and sends back with the answer what it and the calls below it
//! cost ([`TreeCost`]) and how loaded the target is ([`TargetLoad`]).
//!
//! Names, formats and calls of a platform stand behind [`PlatformDialect`] and [`PlanSource`].
//! Decisions are plain code over tables, without clock or sockets:
//!
//! ```
//! use banyantrestle::{
//!     sidecar::{SlotGuard, SlotVerdict},
//!     time::TimePoint,
//! };
//!
//! let now = TimePoint::ORIGIN;
//! let deadline = TimePoint::from_millis(500);
//! let mut guard = SlotGuard::new(1, now);
//! assert_eq!(guard.offer(now, 1, now, deadline), SlotVerdict::Start);
//! assert!(matches!(guard.offer(now, 1, now, deadline), SlotVerdict::Wait(_)));
//! ```

mod admin_calls;
mod call_trouble;
mod decision_log;
mod final_answer;
mod forward_call;
mod front_admission;
mod hop_context;
mod hop_outcome;
mod hop_service;
mod live_target;
mod load_report;
mod outbound_service;
mod peer_call;
mod peer_subset;
mod peer_table;
mod plan_watch;
mod platform_dialect;
mod pressure_rumour;
mod repeat_budget;
mod repeat_rule;
mod route_plan;
mod route_rule;
mod running_calls;
mod service_valve;
mod sidecar_daemon;
mod sidecar_settings;
mod sidecar_shutdown;
mod sidecar_state;
mod slot_desk;
mod slot_guard;
mod target_register;
mod target_report;
mod target_trail;
mod tree_cost;

pub use {
    call_trouble::CallTrouble,
    front_admission::{FrontAdmission, FrontRefusal},
    hop_context::{HopContext, MAX_HOPS},
    peer_table::{PeerEnd, PeerTable},
    platform_dialect::{FeedAnswer, HeaderDialect, PlanRow, PlanSource, PlatformDialect},
    pressure_rumour::{KnownPressure, PressureRumour},
    repeat_budget::{RepeatAsk, RepeatBounds, RepeatBudget},
    repeat_rule::{AttemptEnd, AttemptHistory, NextStep},
    route_plan::{CallerLimits, RoutePlan},
    route_rule::{RepeatSafety, RouteRule, SplitPart},
    service_valve::ServiceValve,
    sidecar_daemon::SidecarDaemon,
    sidecar_settings::{SidecarListen, SidecarSettings},
    slot_guard::{SlotEnd, SlotGuard, SlotVerdict, TargetLoad, WaitKey},
    target_register::{RegisterChange, TargetPhase, TargetRegister},
    target_report::{ReportedState, TargetBeat, TargetReport},
    target_trail::TargetTrail,
    tree_cost::{ServiceCost, TreeCost},
};
pub(crate) use {final_answer::explain_outcome, running_calls::PART_SEPARATOR};
