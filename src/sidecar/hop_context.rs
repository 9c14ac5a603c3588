use {
    crate::{
        context::ServiceName,
        time::{ClockId, ClockReading, TimePoint},
    },
    form_urlencoded::byte_serialize,
    std::{sync::Arc, time::Duration},
};

/// Request header with the context, sent from one sidecar to the next.
pub(crate) const HOP_CONTEXT_HEADER: &str = "bt-hop";

/// Maximum length of a decoded context header, in bytes.
const MAX_HEADER_BYTES: usize = 2_048;
/// Maximum depth of a call chain.
pub const MAX_CALL_DEPTH: u8 = 32;
/// Maximum age of the root request, and maximum time until the deadline, in a decoded header.
const MAX_TIME_OFFSET: Duration = Duration::from_secs(3_600);
const SEPARATOR: char = ';';
/// Number of fields before the reading of the sender's clock.
const FIELDS_BEFORE_CLOCK: usize = 10;

/// Context of a call, sent from the sidecar of its caller to that of its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopContext {
    /// Called service.
    pub service: ServiceName,
    /// Service of the target on the VM that the call comes from.
    pub caller: ServiceName,
    /// Rank of the class of the root request; under load, lower ranks are refused first.
    pub rank: u8,
    /// When the root request arrived at the ingress sidecar.
    pub root_start: TimePoint,
    /// No work on the call is useful after this point.
    pub deadline: TimePoint,
    /// Number of calls between the root request and this one.
    pub depth: u8,
    /// Number of earlier attempts of this call that reached a target.
    pub earlier_attempts: u8,
    /// Whether a call above this one in the chain is a retry.
    pub is_inherited_retry: bool,
    pub is_idempotent: bool,
    /// Client account of the root request.
    pub account: Option<Arc<str>>,
    /// Time until which the key of the account is known to be valid; `None` for calls that carry no
    /// key.
    pub key_valid_until: Option<TimePoint>,
}

/// Format of the header, by what the receiving build reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopFormat {
    /// Eight fields; builds without accounts read nothing else.
    WithoutAccount,
    /// Twelve fields; builds without the last two leave them unread.
    WithAccount,
}

impl HopContext {
    /// Whether the attempt counts against the retry budget of the service.
    #[must_use]
    pub const fn is_retry(&self) -> bool {
        self.earlier_attempts > 0 || self.is_inherited_retry
    }

    /// Encodes the header value; times are sent as ms before or after `sent`, which is added as the
    /// last two fields. The eighth field has the flags `r` (inherited retry) and `i` (idempotent).
    /// The account and `sent` are left out where `format` has no fields for them.
    #[must_use]
    pub fn encode(&self, sent: ClockReading, format: HopFormat) -> String {
        let now = sent.time;
        let text = format!(
            "{};{};{};{};{};{};{};{}{}",
            self.service,
            self.caller,
            self.rank,
            now.since(self.root_start).as_millis(),
            now.until(self.deadline).as_millis(),
            self.depth,
            self.earlier_attempts,
            if self.is_inherited_retry { "r" } else { "" },
            if self.is_idempotent { "i" } else { "" },
        );
        if format == HopFormat::WithoutAccount {
            return text;
        }
        let account = self.account.as_deref();
        let account = account.map_or_else(String::new, encode_name);
        let validity = self.key_valid_until.map(|end| now.until(end).as_millis());
        let validity = validity.map_or_else(String::new, |millis| millis.to_string());
        let clock = sent.clock.as_u32();
        format!("{text};{account};{validity};{clock:x};{}", now.as_millis())
    }

    /// Whether the call may be sent to a peer that knows no accounts.
    pub(crate) fn fits(&self, format: HopFormat) -> bool {
        let has_account = self.account.is_some() || self.key_valid_until.is_some();
        format == HopFormat::WithAccount || !has_account
    }

    /// Reading of the sender's clock in a header value; `None` if an older build has sent it.
    #[must_use]
    pub fn decode_clock(text: &str) -> Option<ClockReading> {
        if text.len() > MAX_HEADER_BYTES {
            return None;
        }
        let mut fields = text.split(SEPARATOR).skip(FIELDS_BEFORE_CLOCK);
        let clock = u32::from_str_radix(fields.next()?, 16).ok()?;
        let millis = fields.next()?.parse().ok()?;
        Some(ClockReading {
            clock: ClockId::new(clock),
            time: TimePoint::from_millis(millis),
        })
    }

    /// Parses a header value that arrived at `now`; `None` if a field is malformed or out of
    /// bounds.
    #[must_use]
    pub fn decode(text: &str, now: TimePoint) -> Option<Self> {
        if text.len() > MAX_HEADER_BYTES {
            return None;
        }
        let mut fields = text.split(SEPARATOR);
        let service = ServiceName::new(fields.next()?).ok()?;
        let caller = ServiceName::new(fields.next()?).ok()?;
        let rank = fields.next()?.parse().ok()?;
        let age = Duration::from_millis(fields.next()?.parse().ok()?);
        let remaining = Duration::from_millis(fields.next()?.parse().ok()?);
        let depth = fields.next()?.parse().ok()?;
        let earlier_attempts = fields.next()?.parse().ok()?;
        let flags = fields.next()?;
        // Builds without accounts end here; fields of later builds are left unread.
        let (account, key_validity) = match fields.next() {
            None => (None, None),
            Some(name) => (Some(name), Some(fields.next()?)),
        };
        let account = account.filter(|name| !name.is_empty());
        let account = match account {
            Some(name) => Some(decode_name(name)?),
            None => None,
        };
        let key_validity = match key_validity.filter(|millis| !millis.is_empty()) {
            Some(millis) => Some(Duration::from_millis(millis.parse().ok()?)),
            None => None,
        };
        let is_flag = |flag: char| matches!(flag, 'r' | 'i');
        let is_valid = depth <= MAX_CALL_DEPTH
            && age <= MAX_TIME_OFFSET
            && remaining <= MAX_TIME_OFFSET
            && key_validity.is_none_or(|validity| validity <= MAX_TIME_OFFSET)
            && flags.chars().all(is_flag);
        is_valid.then(|| Self {
            service,
            caller,
            rank,
            root_start: now - age,
            deadline: now + remaining,
            depth,
            earlier_attempts,
            is_inherited_retry: flags.contains('r'),
            is_idempotent: flags.contains('i'),
            account,
            key_valid_until: key_validity.map(|validity| now + validity),
        })
    }

    /// Who makes the call, for telling apart equal requests of different callers.
    #[must_use]
    pub(crate) fn caller_identity(&self) -> String {
        caller_identity(&self.caller, self.account.as_deref())
    }
}

/// Text that differs between callers: the service on their VM and their account.
pub(crate) fn caller_identity(caller: &ServiceName, account: Option<&str>) -> String {
    match account {
        Some(account) => format!("{caller}{SEPARATOR}{account}"),
        None => caller.to_string(),
    }
}

/// Percent-encodes the name of an account, which may contain the separator.
fn encode_name(name: &str) -> String {
    byte_serialize(name.as_bytes()).collect()
}

/// Decodes the name of an account; `None` if it is not encoded properly.
fn decode_name(text: &str) -> Option<Arc<str>> {
    let (name, value) = form_urlencoded::parse(text.as_bytes()).next()?;
    (value.is_empty() && !name.is_empty()).then(|| Arc::from(name.as_ref()))
}
