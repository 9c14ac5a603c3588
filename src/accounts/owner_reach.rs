use {
    crate::time::TimePoint,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Interval between questions to an owner that has not answered; longer than the wait for an answer,
/// so that one question is under way at a time.
const PROBE_INTERVAL: Duration = Duration::from_millis(450);

/// Which quota owners answer, as one sidecar knows it for the requests of all accounts.
#[derive(Clone, Debug, Default)]
pub struct OwnerReach {
    owners: HashMap<SocketAddr, OwnerStanding>,
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnerStanding {
    answered_at: TimePoint,
    silence: Option<OwnerSilence>,
}

#[derive(Clone, Copy, Debug)]
struct OwnerSilence {
    /// When the first question was sent that got no answer.
    since: TimePoint,
    next_probe: TimePoint,
}

impl OwnerReach {
    /// Whether the owner has not answered the last question to it.
    #[must_use]
    pub fn is_silent(&self, owner: SocketAddr) -> bool {
        self.silence(owner).is_some()
    }

    /// Time for which all of `owners` have been silent; `None` if one is not, or if there is none.
    pub fn silent_time<I>(&self, now: TimePoint, owners: I) -> Option<Duration>
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let mut shortest: Option<Duration> = None;
        for owner in owners {
            let time = now.since(self.silence(owner)?.since);
            shortest = Some(shortest.map_or(time, |shortest| shortest.min(time)));
        }
        shortest
    }

    /// The silent owner that is to be asked again now, if there is one among `owners`.
    pub fn start_probe<I>(&mut self, now: TimePoint, owners: I) -> Option<SocketAddr>
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let is_due = |owner: &SocketAddr| {
            let silence = self.silence(*owner);
            silence.is_some_and(|silence| silence.next_probe <= now)
        };
        let owner = owners.into_iter().find(is_due)?;
        let standing = self.owners.get_mut(&owner)?;
        if let Some(silence) = &mut standing.silence {
            silence.next_probe = now + PROBE_INTERVAL;
        }
        Some(owner)
    }

    /// Records whether an owner has answered a question that was sent at `asked_at`; returns whether
    /// that has changed.
    pub fn record(
        &mut self,
        now: TimePoint,
        asked_at: TimePoint,
        owner: SocketAddr,
        has_answered: bool,
    ) -> bool {
        let standing = self.owners.entry(owner).or_default();
        if has_answered {
            standing.answered_at = now;
            return standing.silence.take().is_some();
        }
        // An owner that has answered a later question is not silent.
        if standing.silence.is_some() || standing.answered_at > asked_at {
            return false;
        }
        standing.silence = Some(OwnerSilence {
            since: asked_at,
            next_probe: now,
        });
        true
    }

    /// Forgets the owners that are no longer members.
    pub fn retain<F: Fn(&SocketAddr) -> bool>(&mut self, is_member: F) {
        self.owners.retain(|owner, _| is_member(owner));
    }

    fn silence(&self, owner: SocketAddr) -> Option<OwnerSilence> {
        self.owners.get(&owner)?.silence
    }
}
