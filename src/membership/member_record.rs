use {
    super::{MemberId, MemberStatus, TargetAnnouncement, TargetState},
    rapidhash::v3::rapidhash_v3,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
    strum::{Display, IntoStaticStr},
};

/// Liveness of a member; at equal incarnations the state that is listed later wins.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    Alive,
    Suspect,
    /// Finishes calls in flight and accepts no new ones.
    Leaving,
    Dead,
}

/// Membership record of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub id: MemberId,
    /// Increases with each change or refutation that the member itself makes.
    pub incarnation: u64,
    pub state: MemberState,
    pub region: Arc<str>,
    pub data_centre: Arc<str>,
    pub mesh: SocketAddr,
    pub admin: SocketAddr,
    /// The local target of the daemon, if one is announced.
    pub target: Option<TargetAnnouncement>,
    /// Policy version last known to be in force at the member; a new version does not change the
    /// incarnation.
    pub policy_version: u64,
}

/// Low bits of an incarnation that count refutations; the higher bits count changes of the content.
const REFUTATION_BITS: u32 = 32;

/// Part of an incarnation that counts changes of the content of the record.
///
/// A refutation does not change it, so a status without the content suffices for a refutation.
#[must_use]
pub const fn content_revision(incarnation: u64) -> u64 {
    incarnation >> REFUTATION_BITS
}

/// First incarnation of the next revision of the content.
#[must_use]
pub const fn next_content_revision(incarnation: u64) -> u64 {
    content_revision(incarnation).saturating_add(1) << REFUTATION_BITS
}

/// Maximum length of a region or data centre name, in bytes.
pub const MAX_LOCATION_NAME_BYTES: usize = 64;
/// Maximum length of a health or load path, in bytes.
pub const MAX_PATH_BYTES: usize = 128;

impl MemberRecord {
    /// Whether the lengths of all text fields are within their limits.
    #[must_use]
    pub fn is_within_bounds(&self) -> bool {
        let is_name_within_bounds =
            |name: &str| (1..=MAX_LOCATION_NAME_BYTES).contains(&name.len());
        let is_path_within_bounds = |path: &Option<String>| {
            path.as_ref()
                .is_none_or(|path| path.len() <= MAX_PATH_BYTES)
        };
        let is_target_within_bounds = |target: &TargetAnnouncement| {
            is_path_within_bounds(&target.health_path) && is_path_within_bounds(&target.load_path)
        };
        is_name_within_bounds(&self.region)
            && is_name_within_bounds(&self.data_centre)
            && self.target.as_ref().is_none_or(is_target_within_bounds)
    }

    /// Whether the member may be sent new calls. This includes suspects, which are used only if no
    /// better member is left.
    #[must_use]
    pub fn accepts_new_calls(&self) -> bool {
        let is_member = matches!(self.state, MemberState::Alive | MemberState::Suspect);
        let is_serving = |target: &TargetAnnouncement| target.state == TargetState::Serving;
        is_member && self.target.as_ref().is_some_and(is_serving)
    }

    /// Hash of the fields that a digest compares; it excludes the policy version.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let content = (
            self.id,
            self.incarnation,
            self.state,
            &*self.region,
            &*self.data_centre,
            self.mesh,
            self.admin,
            &self.target,
        );
        let bytes = postcard::to_extend(&content, Vec::with_capacity(128));
        rapidhash_v3(&bytes.unwrap_or_default())
    }

    /// The record without its content.
    #[must_use]
    pub const fn status(&self) -> MemberStatus {
        MemberStatus {
            id: self.id,
            incarnation: self.incarnation,
            state: self.state,
        }
    }
}
