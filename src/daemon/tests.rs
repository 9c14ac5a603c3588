//! Tests of the shared admission guard: calls that are evicted or dropped while queued.

use {
    super::shared_guard::SharedGuard,
    crate::{
        admission::{
            AdmissionGuard, AdmissionRequest, CompletionKind, GuardSettings, RefusalReason,
            StaticLimit,
        },
        context::{CallPriority, RequestId},
        policy::OverloadPolicy,
        time::{ProcessClock, TimePoint},
    },
    std::{sync::Arc, time::Duration},
};

const SLOTS: u32 = 1;

fn shared_guard(queue_capacity: u32) -> Arc<SharedGuard<StaticLimit>> {
    let settings = GuardSettings {
        queue_capacity,
        ..GuardSettings::new(SLOTS, &OverloadPolicy::default())
    };
    let guard = AdmissionGuard::new(settings, TimePoint::ORIGIN);
    SharedGuard::new(ProcessClock::start(), guard)
}

fn request(rank: u8) -> AdmissionRequest {
    AdmissionRequest {
        priority: CallPriority::new(rank, RequestId::from_u128(1)),
        depth: 0,
        deadline: TimePoint::from_millis(60_000),
    }
}

#[tokio::test]
async fn evicted_call_is_refused_before_its_ticket_index_is_reused() {
    let shared_guard = shared_guard(1);
    let running = shared_guard.admit(request(1)).await.expect("a free slot");
    let low = tokio::spawn({
        let shared_guard = shared_guard.clone();
        async move { shared_guard.admit(request(1)).await.map(drop) }
    });
    while shared_guard.load().queued == 0 {
        tokio::task::yield_now().await;
    }
    let high = tokio::spawn({
        let shared_guard = shared_guard.clone();
        async move { shared_guard.admit(request(2)).await.map(drop) }
    });
    let refusal = low.await.expect("no panic").expect_err("evicted");
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    running.finish(CompletionKind::Success);
    assert!(high.await.expect("no panic").is_ok());
}

#[tokio::test]
async fn dropped_admission_leaves_the_queue() {
    let shared_guard = shared_guard(4);
    let running = shared_guard.admit(request(1)).await.expect("a free slot");
    let waiting = tokio::time::timeout(Duration::from_millis(1), shared_guard.admit(request(1)));
    assert!(waiting.await.is_err());
    assert_eq!(shared_guard.load().queued, 0);
    drop(running);
    assert_eq!(shared_guard.load().in_flight, 0);
}
