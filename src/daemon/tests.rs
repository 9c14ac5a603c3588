//! Tests of the parts behind the listeners.

use {
    super::admission_desk::AdmissionDesk,
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

fn desk(queue_capacity: u32) -> Arc<AdmissionDesk<StaticLimit>> {
    let settings = GuardSettings {
        queue_capacity,
        ..GuardSettings::new(SLOTS, &OverloadPolicy::default())
    };
    let guard = AdmissionGuard::new(settings, TimePoint::ORIGIN);
    AdmissionDesk::new(ProcessClock::start(), guard)
}

fn request(rank: u8) -> AdmissionRequest {
    AdmissionRequest {
        priority: CallPriority::new(rank, RequestId::from_u128(1)),
        depth: 0,
        deadline: TimePoint::from_millis(60_000),
    }
}

#[tokio::test]
async fn an_evicted_call_is_told_though_its_place_is_taken_at_once() {
    let desk = desk(1);
    let running = desk.admit(request(1)).await.expect("a free slot");
    let low = tokio::spawn({
        let desk = desk.clone();
        async move { desk.admit(request(1)).await.map(drop) }
    });
    while desk.load().queued == 0 {
        tokio::task::yield_now().await;
    }
    let high = tokio::spawn({
        let desk = desk.clone();
        async move { desk.admit(request(2)).await.map(drop) }
    });
    let refusal = low.await.expect("no panic").expect_err("evicted");
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    running.finish(CompletionKind::Success);
    assert!(high.await.expect("no panic").is_ok());
}

#[tokio::test]
async fn a_caller_that_goes_away_gives_its_place_up() {
    let desk = desk(4);
    let running = desk.admit(request(1)).await.expect("a free slot");
    let waiting = tokio::time::timeout(Duration::from_millis(1), desk.admit(request(1)));
    assert!(waiting.await.is_err());
    assert_eq!(desk.load().queued, 0);
    drop(running);
    assert_eq!(desk.load().in_flight, 0);
}
