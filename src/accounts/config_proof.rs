use {crate::time::TimePoint, std::time::Duration};

/// Part of the bound for which keys are accepted. The rest is a margin for clocks that run at
/// different speeds and for the way of a request from the check to its target.
const ACCEPTED_SHARE: f64 = 0.9;
/// Separates the fields of an encoded report.
const SEPARATOR: char = ';';

/// How long keys are accepted without news of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProofRule {
    /// Age of a proof from which keys are refused; `None` if they are accepted at any age.
    max_age: Option<Duration>,
}

impl ProofRule {
    /// Rule for keys that must not work later than `bound` after their removal.
    #[must_use]
    pub fn within(bound: Duration) -> Self {
        Self {
            max_age: Some(bound.mul_f64(ACCEPTED_SHARE)),
        }
    }

    /// Rule for deployments in which removed keys may be accepted until the removal is known.
    #[must_use]
    pub const fn unbounded() -> Self {
        Self { max_age: None }
    }

    #[must_use]
    pub const fn max_age(&self) -> Option<Duration> {
        self.max_age
    }
}

/// What one sidecar tells another about its proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProofReport {
    /// Version of the configuration in force.
    pub version: u64,
    pub age: Duration,
}

impl ProofReport {
    #[must_use]
    pub fn encode(&self) -> String {
        format!("{}{SEPARATOR}{}", self.version, self.age.as_millis() + 1)
    }

    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let (version, age) = text.split_once(SEPARATOR)?;
        Some(Self {
            version: version.parse().ok()?,
            age: Duration::from_millis(age.parse().ok()?),
        })
    }
}

/// The latest instant of which it is known that the configuration in force then contained all
/// changes that had been acknowledged.
///
/// The store proves this with an answer, as of the moment at which it was asked. Another sidecar
/// proves it with the age of its own proof, counted back from the moment at which it was asked: its
/// answer may have been delayed, the question can't have been later. All instants are of the clock
/// that goes on while the VM is suspended, so a proof ages in that time too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigProof {
    proven_at: Option<TimePoint>,
}

impl ConfigProof {
    /// Records that the configuration in force was the newest at `instant`.
    pub fn record(&mut self, instant: TimePoint) {
        self.proven_at = self.proven_at.max(Some(instant));
    }

    /// Applies the report of another sidecar that was asked at `asked_at`; true if the proof is
    /// newer now. It proves nothing about a configuration older than that sidecar's.
    pub fn merge(&mut self, version: u64, asked_at: TimePoint, report: ProofReport) -> bool {
        let instant = asked_at - report.age;
        let is_newer = version >= report.version && Some(instant) > self.proven_at;
        if is_newer && instant > TimePoint::ORIGIN {
            self.proven_at = Some(instant);
        }
        is_newer
    }

    /// Age of the proof; `None` if there is none.
    #[must_use]
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        Some(now.since(self.proven_at?))
    }

    /// Time until which keys are accepted; `None` if they are refused now.
    #[must_use]
    pub fn valid_until(&self, rule: &ProofRule, now: TimePoint) -> Option<TimePoint> {
        let Some(max_age) = rule.max_age else {
            return Some(now + Duration::from_secs(3_600));
        };
        let end = self.proven_at? + max_age;
        (now < end).then_some(end)
    }
}
