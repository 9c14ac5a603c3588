use {
    super::{CLAIMS_TABLE, ClaimTransport, ExpirySweep, claim_service::ServiceState, row_prefix},
    crate::{
        context::ServiceName,
        table::TableStore,
        time::{TimePoint, TimerTick},
    },
    metrics::counter,
    std::{
        collections::HashMap,
        sync::{Arc, Weak},
        time::Duration,
    },
    xtra::{Actor, Context, Handler},
};

/// Interval between two pages of rows.
pub(super) const PAGE_INTERVAL: Duration = Duration::from_secs(1);

/// Rows per page.
const PAGE_ROWS: usize = 500;
/// Interval between two passes over the rows of a service.
const PASS_INTERVAL: Duration = Duration::from_secs(300);

/// Deletes the expired claims of the services for which this daemon is the first batcher.
///
/// It processes one page per interval, which bounds the load on the table service to one scan
/// and one transaction per second.
pub(super) struct SweepActor<S, T> {
    store: S,
    shared: Weak<ServiceState<S, T>>,
    sweeps: HashMap<ServiceName, ServiceSweep>,
}

struct ServiceSweep {
    sweep: ExpirySweep,
    next: TimePoint,
}

impl<S: TableStore, T: ClaimTransport> SweepActor<S, T> {
    pub(super) fn new(store: S, shared: Weak<ServiceState<S, T>>) -> Self {
        Self {
            store,
            shared,
            sweeps: HashMap::new(),
        }
    }

    /// Sweep of the service whose next page has been due longest.
    fn due_sweep(
        &mut self,
        shared: &ServiceState<S, T>,
        now: TimePoint,
    ) -> Option<&mut ServiceSweep> {
        let member = shared.identity.member;
        let ranking = shared.committer.ranking();
        self.sweeps
            .retain(|service, _| ranking.is_first(service, member));
        for service in ranking.services() {
            if ranking.is_first(service, member) && !self.sweeps.contains_key(service) {
                let sweep = ExpirySweep::new(member, row_prefix(service));
                let sweep = ServiceSweep { sweep, next: now };
                self.sweeps.insert(service.clone(), sweep);
            }
        }
        let due_sweep = self.sweeps.values_mut().filter(|sweep| sweep.next <= now);
        due_sweep.min_by_key(|sweep| sweep.next)
    }

    async fn sweep_page(&mut self, shared: &ServiceState<S, T>, now: TimePoint) {
        let wall_ms = shared.committer.clock.wall_ms();
        let store = self.store.clone();
        let Some(due_sweep) = self.due_sweep(shared, now) else {
            return;
        };
        let scanned = store
            .scan(CLAIMS_TABLE, due_sweep.sweep.cursor(), PAGE_ROWS)
            .await;
        let Ok(page) = scanned else {
            due_sweep.next = now + PASS_INTERVAL;
            return;
        };
        let deletions = due_sweep.sweep.process_page(&page, wall_ms);
        let pause = if due_sweep.sweep.is_at_start() {
            PASS_INTERVAL
        } else {
            PAGE_INTERVAL
        };
        due_sweep.next = now + pause;
        if deletions.is_empty() {
            return;
        }
        let count = deletions.len() as u64;
        // Rows that were not deleted are found again in the next pass.
        if store.transact(deletions).await.is_ok() {
            counter!("banyantrestle_claims_expired_total").increment(count);
        }
    }
}

impl<S: TableStore, T: ClaimTransport> Actor for SweepActor<S, T> {
    type Stop = ();

    async fn stopped(self) {}
}

impl<S: TableStore, T: ClaimTransport> Handler<TimerTick> for SweepActor<S, T> {
    type Return = ();

    async fn handle(&mut self, tick: TimerTick, context: &mut Context<Self>) {
        let Some(shared) = self.shared.upgrade() else {
            context.stop_self();
            return;
        };
        shared.ledger.lock().expire(tick.now);
        if !shared.committer.breaker().is_open(tick.now) {
            self.sweep_page(&shared, tick.now).await;
        }
        drop::<Arc<_>>(shared);
    }
}
