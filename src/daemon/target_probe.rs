use {
    super::{daemon_state::DaemonState, local_target::LocalTarget},
    crate::{
        admission::LoadReport,
        net::{ResponsePrefix, SegmentedBody, read_response},
    },
    http::{HeaderValue, Request, header::HOST},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, interval},
};

/// Interval at which the daemon requests the load report of the target.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for one load report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_REPORT_BYTES: usize = 4 * 1024;

/// Requests the load report of the target periodically and passes it to the guard as a hint.
pub(crate) async fn probe_target(state: Arc<DaemonState>) {
    let mut ticks = interval(PROBE_INTERVAL);
    loop {
        ticks.tick().await;
        let Some(target) = state.target.get() else {
            continue;
        };
        if let Some(report) = fetch_load(&target).await {
            target
                .guard
                .adjust(|guard, now| guard.report_load(now, report));
        }
    }
}

async fn fetch_load(target: &LocalTarget) -> Option<LoadReport> {
    let path = target.announcement.load_path.as_ref()?;
    let mut request = Request::new(SegmentedBody::default());
    *request.uri_mut() = path.parse().ok()?;
    let host = target.announcement.address.to_string();
    request
        .headers_mut()
        .insert(HOST, HeaderValue::from_str(&host).ok()?);
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let (response, connection) = target.pool.send(request, deadline).await.ok()?;
    let read_future = read_response(response.into_body(), MAX_REPORT_BYTES);
    let prefix = tokio::time::timeout_at(deadline, read_future)
        .await
        .ok()?
        .ok()?;
    let ResponsePrefix::Complete { data, .. } = prefix else {
        return None;
    };
    connection.release();
    serde_json::from_slice(&data).ok()
}
