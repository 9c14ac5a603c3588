//! Relay of TCP connections and UDP datagrams that injects network faults.
//!
//! Its delay, blocked direction, loss, silence and resets can be changed while it runs.

mod relay_control;
mod tcp_pump;
mod tcp_relay;
mod udp_relay;

pub use {
    relay_control::{BlockedDirection, RelayControl},
    tcp_relay::TcpRelay,
    udp_relay::UdpRelay,
};
