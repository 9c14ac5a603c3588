use {super::PolicyAdvertisement, std::net::SocketAddr};

/// Dissemination of the highest known policy version.
///
/// There is one advertisement for the deployment rather than one per member, so a policy change
/// costs each member a few datagrams and changes no member record.
#[derive(Clone, Copy, Debug, Default)]
pub struct PolicyDissemination {
    /// Version in force in this process.
    in_force: u64,
    advertisement: Option<PolicyAdvertisement>,
    transmissions: u32,
}

impl PolicyDissemination {
    /// Version in force in this process.
    #[must_use]
    pub const fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Advertisement of the highest known version.
    #[must_use]
    pub const fn advertisement(&self) -> Option<PolicyAdvertisement> {
        self.advertisement
    }

    /// Applies the advertisement of another member; returns whether its version is higher than the
    /// known one.
    pub fn receive(&mut self, advertisement: PolicyAdvertisement) -> bool {
        let known = self.advertisement.map_or(0, |known| known.version);
        let is_new = advertisement.version > known;
        if is_new {
            self.advertisement = Some(advertisement);
            self.transmissions = 0;
        }
        is_new
    }

    /// Sets the version in force in this process, and advertises it unless a higher one is known.
    pub fn set_in_force(&mut self, version: u64, hash: u64, mesh: SocketAddr) {
        self.in_force = self.in_force.max(version);
        let known = self.advertisement.map_or(0, |known| known.version);
        if version < known || version == 0 {
            return;
        }
        if version > known {
            self.transmissions = 0;
        }
        self.advertisement = Some(PolicyAdvertisement {
            version,
            hash,
            holder: mesh,
        });
    }

    /// Whether the advertisement has had fewer than `limit` transmissions.
    #[must_use]
    pub const fn is_pending(&self, limit: u32) -> bool {
        self.advertisement.is_some() && self.transmissions < limit
    }

    pub fn count_transmission(&mut self) {
        self.transmissions = self.transmissions.saturating_add(1);
    }
}
