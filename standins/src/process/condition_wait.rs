use {
    std::{future::Future, time::Duration},
    tokio::time::{Instant, sleep},
};

const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Waits for a condition, for at most `limit`; whether it came to hold.
pub async fn wait_until<C, F>(limit: Duration, mut condition: C) -> bool
where
    C: FnMut() -> F,
    F: Future<Output = bool>,
{
    let end = Instant::now() + limit;
    loop {
        if condition().await {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep(CHECK_PERIOD).await;
    }
}
