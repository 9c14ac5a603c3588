//! Runs a TCP and UDP relay to one address, controlled by lines of JSON on its standard input.

use {
    standins::{
        http::shutdown_signal,
        relay::{RelayControl, TcpRelay, UdpRelay},
    },
    std::net::SocketAddr,
    tokio::io::{AsyncBufReadExt, BufReader, stdin},
};

xflags::xflags! {
    /// Relays TCP and UDP; a line such as `{"delay_ms":20}` on standard input sets its faults.
    cmd standin-relay {
        /// Address to relay to.
        required --target address: SocketAddr
        /// Address to listen on; a free loopback port by default.
        optional --listen address: SocketAddr
        /// Seed for the selection of lost datagrams.
        optional --seed number: u64
    }
}

struct RelayPair {
    tcp: TcpRelay,
    udp: UdpRelay,
}

impl RelayPair {
    fn apply(&self, line: &str) -> anyhow::Result<()> {
        let control: RelayControl = serde_json::from_str(line)?;
        self.tcp.set_control(control);
        self.udp.set_control(control);
        Ok(())
    }

    async fn read_controls(&self) -> anyhow::Result<()> {
        let mut lines = BufReader::new(stdin()).lines();
        while let Some(line) = lines.next_line().await? {
            if let Err(error) = self.apply(&line) {
                eprintln!("ignored the control line {line:?}: {error}");
            }
        }
        Ok(())
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = StandinRelay::from_env_or_exit();
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = flags.listen.unwrap_or(loopback);
    let tcp = TcpRelay::start(listen, flags.target).await?;
    let udp = UdpRelay::start(tcp.address(), flags.target, flags.seed.unwrap_or(1)).await?;
    println!("{{\"address\":\"{}\"}}", tcp.address());
    let pair = RelayPair { tcp, udp };
    let controls = async {
        pair.read_controls().await?;
        std::future::pending::<anyhow::Result<()>>().await
    };
    tokio::select! {
        result = controls => result?,
        received = shutdown_signal() => received?,
    }
    Ok(())
}
