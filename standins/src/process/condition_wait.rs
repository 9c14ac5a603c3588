use {
    std::{future::Future, time::Duration},
    tokio::time::{Instant, sleep},
};

const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` holds, for at most `timeout`; returns whether it held.
pub async fn wait_until<C, F>(timeout: Duration, mut condition: C) -> bool
where
    C: FnMut() -> F,
    F: Future<Output = bool>,
{
    let deadline = Instant::now() + timeout;
    loop {
        if condition().await {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        sleep(CHECK_INTERVAL).await;
    }
}
