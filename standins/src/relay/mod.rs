//! A relay of TCP connections and UDP datagrams that misbehaves on command.

mod relay_control;
mod tcp_pump;
mod tcp_relay;
mod udp_relay;

pub use {
    relay_control::{BlockedDirection, RelayControl},
    tcp_relay::TcpRelay,
    udp_relay::UdpRelay,
};
