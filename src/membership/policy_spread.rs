use {super::PolicyBeacon, std::net::SocketAddr};

/// The newest policy version, handed on like one more update.
///
/// One beacon stands for the whole deployment, so a change of policy costs each member a few
/// datagrams and no change of any member record.
#[derive(Clone, Copy, Debug, Default)]
pub struct PolicySpread {
    in_force: u64,
    beacon: Option<PolicyBeacon>,
    transmissions: u32,
}

impl PolicySpread {
    /// Version in force in this process.
    #[must_use]
    pub const fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Highest version heard of.
    #[must_use]
    pub const fn beacon(&self) -> Option<PolicyBeacon> {
        self.beacon
    }

    /// Takes a beacon of another member; true if its version is new here.
    pub fn hear(&mut self, beacon: PolicyBeacon) -> bool {
        let known = self.beacon.map_or(0, |known| known.version);
        let is_new = beacon.version > known;
        if is_new {
            self.beacon = Some(beacon);
            self.transmissions = 0;
        }
        is_new
    }

    /// Notes that this process now enforces a version, and offers it to others.
    pub fn enforce(&mut self, version: u64, hash: u64, mesh: SocketAddr) {
        self.in_force = self.in_force.max(version);
        let known = self.beacon.map_or(0, |known| known.version);
        if version < known || version == 0 {
            return;
        }
        if version > known {
            self.transmissions = 0;
        }
        self.beacon = Some(PolicyBeacon {
            version,
            hash,
            holder: mesh,
        });
    }

    /// Whether the beacon is still to be pushed to others.
    #[must_use]
    pub const fn is_due(&self, limit: u32) -> bool {
        self.beacon.is_some() && self.transmissions < limit
    }

    pub fn count_transmission(&mut self) {
        self.transmissions = self.transmissions.saturating_add(1);
    }
}
