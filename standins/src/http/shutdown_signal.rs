use tokio::signal::{
    ctrl_c,
    unix::{SignalKind, signal},
};

/// Waits for SIGTERM or ctrl-c.
///
/// # Errors
/// The handler of SIGTERM cannot be installed.
pub async fn shutdown_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = ctrl_c() => {}
    }
    Ok(())
}
