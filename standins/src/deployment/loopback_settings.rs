use {
    banyantrestle::settings::{
        DaemonSettings, LimitSettings, ListenSettings, LogSettings, PlatformSettings,
    },
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Loopback address with a free port, which the system chooses.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Token that authorizes writes through the console.
pub const ADMIN_TOKEN: &str = "token-of-the-stand-in-operators";

const SHARED_SECRET: &str = "secret-of-the-stand-in-deployment";
const PLATFORM_TIMEOUT_MS: u64 = 500;

/// Settings of a daemon that listens on free loopback ports.
#[must_use]
pub fn loopback_settings(
    data_centre: &str,
    platform: SocketAddr,
    peers: &[SocketAddr],
) -> DaemonSettings {
    DaemonSettings {
        region: "local".into(),
        data_centre: data_centre.into(),
        listen: ListenSettings {
            edge: LOOPBACK,
            local: LOOPBACK,
            mesh: LOOPBACK,
            gossip: LOOPBACK,
            admin: LOOPBACK,
        },
        platform: PlatformSettings {
            address: platform,
            timeout_ms: PLATFORM_TIMEOUT_MS,
        },
        peers: peers.to_vec(),
        shared_secret: SHARED_SECRET.into(),
        admin_token: ADMIN_TOKEN.into(),
        log: LogSettings::default(),
        limits: LimitSettings::default(),
    }
}
