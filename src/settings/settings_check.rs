use {
    super::{DaemonSettings, LimitSettings, ListenSettings},
    crate::jsonc::{FieldCheck, FieldError},
    std::{
        collections::HashSet,
        net::{IpAddr, SocketAddr},
        ops::RangeInclusive,
    },
};

/// Bytes of the shortest secret or token.
pub const MIN_SECRET_LENGTH: usize = 16;
/// Bytes of the longest secret or token.
pub const MAX_SECRET_LENGTH: usize = 1_024;
/// Peer addresses of the longest list.
pub const MAX_PEERS: usize = 64;

/// Different characters of the simplest secret.
const MIN_SECRET_CHARACTERS: usize = 6;
const LOG_LEVELS: [&str; 4] = ["error", "warning", "info", "debug"];
const PLATFORM_TIMEOUTS_MS: RangeInclusive<u64> = 1..=60_000;
const HEADER_BYTES: RangeInclusive<u64> = 1_024..=1_048_576;
const BUFFER_BYTES: RangeInclusive<u64> = 0..=16_777_216;
const HEADER_TIMEOUTS_MS: RangeInclusive<u64> = 100..=120_000;
const CONNECTIONS: RangeInclusive<u64> = 1..=65_536;
const SHUTDOWNS_S: RangeInclusive<u64> = 1..=3_600;
const SILENCES_MS: RangeInclusive<u64> = 100..=60_000;
const ROW_ANSWER_BYTES: RangeInclusive<u64> = 0..=65_536;
const EVENTS: RangeInclusive<u64> = 1..=100_000;

impl DaemonSettings {
    /// Checks all values.
    ///
    /// # Errors
    /// One error for each value out of its bounds.
    pub fn check(&self) -> Result<(), Vec<FieldError>> {
        let mut check = SettingsCheck::default();
        check.fields.name("region", &self.region);
        check.fields.name("data_centre", &self.data_centre);
        check.listeners(&self.listen);
        check.platform(self);
        check.peers(&self.peers);
        check.secret("shared_secret", &self.shared_secret);
        check.secret("admin_token", &self.admin_token);
        if self.shared_secret == self.admin_token {
            check
                .fields
                .fail("admin_token", "is the same as shared_secret");
        }
        if !LOG_LEVELS.contains(&self.log.level.as_str()) {
            let levels = LOG_LEVELS.join(", ");
            check
                .fields
                .fail("log.level", format_args!("is not one of {levels}"));
        }
        check.limits(&self.limits);
        check.fields.finish()
    }
}

#[derive(Default)]
struct SettingsCheck {
    fields: FieldCheck,
}

impl SettingsCheck {
    fn size(&mut self, field: &str, value: usize, range: &RangeInclusive<u64>) {
        self.fields
            .range(field, u64::try_from(value).unwrap_or(u64::MAX), range);
    }

    fn listeners(&mut self, listen: &ListenSettings) {
        if !listen.local.ip().is_loopback() {
            self.fields
                .fail("listen.local", "is not a loopback address");
        }
        for (field, address) in [
            ("listen.mesh", listen.mesh),
            ("listen.gossip", listen.gossip),
            ("listen.admin", listen.admin),
        ] {
            if address.ip().is_unspecified() {
                self.fields
                    .fail(field, "other daemons need the address of this VM");
            }
        }
        self.clashes(listen);
    }

    /// Port 0 lets the system choose and never clashes.
    fn clashes(&mut self, listen: &ListenSettings) {
        let listeners = [
            ("edge", listen.edge),
            ("local", listen.local),
            ("mesh", listen.mesh),
            ("gossip", listen.gossip),
            ("admin", listen.admin),
        ];
        for (position, (name, address)) in listeners.iter().enumerate() {
            let earlier = listeners[..position]
                .iter()
                .find(|(_, other)| is_clash(*address, *other));
            if let Some((other, _)) = earlier {
                let message = format_args!("port {} is that of listen.{other}", address.port());
                self.fields.fail(format!("listen.{name}"), message);
            }
        }
    }

    fn platform(&mut self, settings: &DaemonSettings) {
        let platform = &settings.platform;
        self.remote("platform.address", platform.address);
        let timeout = platform.timeout_ms;
        self.fields
            .range("platform.timeout_ms", timeout, &PLATFORM_TIMEOUTS_MS);
    }

    fn remote(&mut self, field: &str, address: SocketAddr) {
        if address.port() == 0 || address.ip().is_unspecified() {
            self.fields
                .fail(field, format_args!("{address} cannot be reached"));
        }
    }

    fn peers(&mut self, peers: &[SocketAddr]) {
        let count = peers.len();
        if count > MAX_PEERS {
            self.fields
                .fail("peers", format_args!("{count} peers are over {MAX_PEERS}"));
        }
        for (position, peer) in peers.iter().take(MAX_PEERS).enumerate() {
            self.remote(&format!("peers[{position}]"), *peer);
        }
    }

    fn secret(&mut self, field: &str, secret: &str) {
        let characters: HashSet<char> = secret.chars().collect();
        if !(MIN_SECRET_LENGTH..=MAX_SECRET_LENGTH).contains(&secret.len()) {
            let message = format_args!("is not {MIN_SECRET_LENGTH} to {MAX_SECRET_LENGTH} bytes");
            self.fields.fail(field, message);
        } else if characters.len() < MIN_SECRET_CHARACTERS {
            let message = format_args!("has fewer than {MIN_SECRET_CHARACTERS} characters");
            self.fields.fail(field, message);
        } else if !secret.bytes().all(|byte| byte.is_ascii_graphic()) {
            self.fields
                .fail(field, "has a character that is not printable ASCII");
        }
    }

    fn limits(&mut self, limits: &LimitSettings) {
        let (request, answer) = (limits.request_buffer_bytes, limits.answer_buffer_bytes);
        let timeout = limits.header_timeout_ms;
        self.size("limits.header_bytes", limits.header_bytes, &HEADER_BYTES);
        self.size("limits.request_buffer_bytes", request, &BUFFER_BYTES);
        self.size("limits.answer_buffer_bytes", answer, &BUFFER_BYTES);
        self.fields
            .range("limits.header_timeout_ms", timeout, &HEADER_TIMEOUTS_MS);
        self.size("limits.connections", limits.connections, &CONNECTIONS);
        self.fields
            .range("limits.shutdown_s", limits.shutdown_s, &SHUTDOWNS_S);
        self.fields
            .range("limits.silence_ms", limits.silence_ms, &SILENCES_MS);
        let row_answer = limits.row_answer_bytes;
        self.size("limits.row_answer_bytes", row_answer, &ROW_ANSWER_BYTES);
        self.size("limits.events", limits.events, &EVENTS);
    }
}

fn is_clash(one: SocketAddr, other: SocketAddr) -> bool {
    let is_wide = |ip: IpAddr| ip.is_unspecified();
    let is_same_ip = one.ip() == other.ip() || is_wide(one.ip()) || is_wide(other.ip());
    one.port() != 0 && one.port() == other.port() && is_same_ip
}
