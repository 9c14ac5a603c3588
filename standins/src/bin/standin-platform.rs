//! Runs the stand-in for the platform and prints its address as one line of JSON.

use {
    serde::Serialize,
    standins::platform::{PlatformMode, PlatformStandin},
    std::{
        io::{Write, stdout},
        net::SocketAddr,
    },
};

xflags::xflags! {
    /// Serves a table service and an object store until it is killed.
    cmd standin-platform {
        /// Address to listen on, a free port if it is 0; a free loopback port by default.
        optional --listen listen: SocketAddr
        /// Initial faults and rate caps, as JSON.
        optional --mode mode: String
    }
}

#[derive(Serialize)]
struct StartLine {
    address: SocketAddr,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = StandinPlatform::from_env_or_exit();
    let listen = flags.listen.unwrap_or(([127, 0, 0, 1], 0).into());
    let mode = match &flags.mode {
        Some(text) => serde_json::from_str(text)?,
        None => PlatformMode::default(),
    };
    let standin = PlatformStandin::start(listen, mode).await?;
    let line = StartLine {
        address: standin.address(),
    };
    writeln!(stdout(), "{}", serde_json::to_string(&line)?)?;
    std::future::pending().await
}
