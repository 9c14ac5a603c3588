use {
    super::{DaemonSettings, LimitSettings, ListenSettings},
    crate::jsonc::{ErrorCollector, FieldError},
    std::{
        collections::HashSet,
        net::{IpAddr, SocketAddr},
        ops::RangeInclusive,
    },
};

/// Minimum length of a secret or token, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;
/// Maximum length of a secret or token, in bytes.
pub const MAX_SECRET_BYTES: usize = 1_024;
/// Maximum number of peer addresses.
pub const MAX_PEERS: usize = 64;

/// Minimum number of distinct characters in a secret or token.
const MIN_DISTINCT_SECRET_CHARACTERS: usize = 6;
const LOG_LEVELS: [&str; 4] = ["error", "warning", "info", "debug"];
const PLATFORM_TIMEOUT_MS_RANGE: RangeInclusive<u64> = 1..=60_000;
const HEADER_BYTES_RANGE: RangeInclusive<u64> = 1_024..=1_048_576;
const BUFFER_BYTES_RANGE: RangeInclusive<u64> = 0..=16_777_216;
const HEADER_TIMEOUT_MS_RANGE: RangeInclusive<u64> = 100..=120_000;
const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=65_536;
const SHUTDOWN_S_RANGE: RangeInclusive<u64> = 1..=3_600;
const SILENCE_MS_RANGE: RangeInclusive<u64> = 100..=60_000;
const ROW_RESPONSE_BYTES_RANGE: RangeInclusive<u64> = 0..=65_536;
const EVENTS_RANGE: RangeInclusive<u64> = 1..=100_000;

impl DaemonSettings {
    /// Checks all values.
    ///
    /// # Errors
    /// One error for each invalid value.
    pub fn validate(&self) -> Result<(), Vec<FieldError>> {
        let mut validator = SettingsValidator::default();
        validator.errors.check_name("region", &self.region);
        validator
            .errors
            .check_name("data_centre", &self.data_centre);
        validator.check_listeners(&self.listen);
        validator.check_platform(self);
        validator.check_peers(&self.peers);
        validator.check_secret("shared_secret", &self.shared_secret);
        validator.check_secret("admin_token", &self.admin_token);
        if self.shared_secret == self.admin_token {
            validator
                .errors
                .push("admin_token", "is the same as shared_secret");
        }
        if !LOG_LEVELS.contains(&self.log.level.as_str()) {
            let levels = LOG_LEVELS.join(", ");
            validator
                .errors
                .push("log.level", format_args!("is not one of {levels}"));
        }
        validator.check_limits(&self.limits);
        validator.errors.into_result()
    }
}

#[derive(Default)]
struct SettingsValidator {
    errors: ErrorCollector,
}

impl SettingsValidator {
    fn check_size(&mut self, field: &str, value: usize, range: &RangeInclusive<u64>) {
        self.errors
            .check_range(field, u64::try_from(value).unwrap_or(u64::MAX), range);
    }

    fn check_listeners(&mut self, listen: &ListenSettings) {
        if !listen.local.ip().is_loopback() {
            self.errors
                .push("listen.local", "is not a loopback address");
        }
        for (field, address) in [
            ("listen.mesh", listen.mesh),
            ("listen.gossip", listen.gossip),
            ("listen.admin", listen.admin),
        ] {
            if address.ip().is_unspecified() {
                self.errors.push(
                    field,
                    "must be the address at which other daemons reach this VM",
                );
            }
        }
        self.check_ports_distinct(listen);
    }

    /// Checks that no two listeners use the same address.
    ///
    /// With port 0 the operating system selects a free port, so such addresses never conflict.
    fn check_ports_distinct(&mut self, listen: &ListenSettings) {
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
                .find(|(_, other)| addresses_overlap(*address, *other));
            if let Some((other, _)) = earlier {
                let message =
                    format_args!("port {} is already used by listen.{other}", address.port());
                self.errors.push(format!("listen.{name}"), message);
            }
        }
    }

    fn check_platform(&mut self, settings: &DaemonSettings) {
        let platform = &settings.platform;
        self.check_reachable("platform.address", platform.address);
        let timeout = platform.timeout_ms;
        self.errors
            .check_range("platform.timeout_ms", timeout, &PLATFORM_TIMEOUT_MS_RANGE);
    }

    fn check_reachable(&mut self, field: &str, address: SocketAddr) {
        if address.port() == 0 || address.ip().is_unspecified() {
            self.errors.push(
                field,
                format_args!(
                    "{address} cannot be reached: the IP address is unspecified or the port is 0"
                ),
            );
        }
    }

    fn check_peers(&mut self, peers: &[SocketAddr]) {
        let count = peers.len();
        if count > MAX_PEERS {
            self.errors.push(
                "peers",
                format_args!("{count} peers exceed the limit of {MAX_PEERS}"),
            );
        }
        for (position, peer) in peers.iter().take(MAX_PEERS).enumerate() {
            self.check_reachable(&format!("peers[{position}]"), *peer);
        }
    }

    fn check_secret(&mut self, field: &str, secret: &str) {
        let characters: HashSet<char> = secret.chars().collect();
        if !(MIN_SECRET_BYTES..=MAX_SECRET_BYTES).contains(&secret.len()) {
            let message =
                format_args!("must be {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes long");
            self.errors.push(field, message);
        } else if characters.len() < MIN_DISTINCT_SECRET_CHARACTERS {
            let message =
                format_args!("has fewer than {MIN_DISTINCT_SECRET_CHARACTERS} distinct characters");
            self.errors.push(field, message);
        } else if !secret.bytes().all(|byte| byte.is_ascii_graphic()) {
            self.errors
                .push(field, "has a character that is not printable ASCII");
        }
    }

    fn check_limits(&mut self, limits: &LimitSettings) {
        let (request_buffer, response_buffer) =
            (limits.request_buffer_bytes, limits.response_buffer_bytes);
        let timeout = limits.header_timeout_ms;
        self.check_size(
            "limits.header_bytes",
            limits.header_bytes,
            &HEADER_BYTES_RANGE,
        );
        self.check_size(
            "limits.request_buffer_bytes",
            request_buffer,
            &BUFFER_BYTES_RANGE,
        );
        self.check_size(
            "limits.answer_buffer_bytes",
            response_buffer,
            &BUFFER_BYTES_RANGE,
        );
        self.errors.check_range(
            "limits.header_timeout_ms",
            timeout,
            &HEADER_TIMEOUT_MS_RANGE,
        );
        self.check_size("limits.connections", limits.connections, &CONNECTIONS_RANGE);
        self.errors
            .check_range("limits.shutdown_s", limits.shutdown_s, &SHUTDOWN_S_RANGE);
        self.errors
            .check_range("limits.silence_ms", limits.silence_ms, &SILENCE_MS_RANGE);
        let row_response = limits.row_response_bytes;
        self.check_size(
            "limits.row_answer_bytes",
            row_response,
            &ROW_RESPONSE_BYTES_RANGE,
        );
        self.check_size("limits.events", limits.events, &EVENTS_RANGE);
    }
}

fn addresses_overlap(first: SocketAddr, second: SocketAddr) -> bool {
    let is_wildcard = |ip: IpAddr| ip.is_unspecified();
    let ips_overlap =
        first.ip() == second.ip() || is_wildcard(first.ip()) || is_wildcard(second.ip());
    first.port() != 0 && first.port() == second.port() && ips_overlap
}
