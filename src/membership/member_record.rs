use {
    super::{MemberId, MemberStatus, TargetAnnouncement, TargetState},
    rapidhash::v3::rapidhash_v3,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
    strum::{Display, IntoStaticStr},
};

/// Liveness of a member; of equal incarnations the later state wins.
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
    /// Serves what is in flight and takes no new work.
    Leaving,
    Dead,
}

/// What is known of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub id: MemberId,
    /// Grows with each change that the member itself makes.
    pub incarnation: u64,
    pub state: MemberState,
    pub region: Arc<str>,
    pub data_centre: Arc<str>,
    pub mesh: SocketAddr,
    pub admin: SocketAddr,
    /// The target beside the daemon, if one is announced.
    pub target: Option<TargetAnnouncement>,
    /// Version of the policy last seen in force there; no change of the record for its own sake.
    pub policy_version: u64,
}

/// Bits of an incarnation that count refutations; those above count changes of the content.
const REFUTATION_BITS: u32 = 32;

/// The part of an incarnation that stands for the content of the record.
///
/// A refutation leaves it as it is, so that a status without the content can carry it.
#[must_use]
pub const fn content_revision(incarnation: u64) -> u64 {
    incarnation >> REFUTATION_BITS
}

/// The first incarnation after a change of the content.
#[must_use]
pub const fn next_content_revision(incarnation: u64) -> u64 {
    content_revision(incarnation).saturating_add(1) << REFUTATION_BITS
}

/// Bytes of the longest region or data centre name.
pub const MAX_LOCATION_NAME_BYTES: usize = 64;
/// Bytes of the longest health or load path.
pub const MAX_PATH_BYTES: usize = 128;

impl MemberRecord {
    /// Whether all fields are within their bounds.
    #[must_use]
    pub fn is_within_bounds(&self) -> bool {
        let is_name_within_bounds =
            |place: &str| (1..=MAX_LOCATION_NAME_BYTES).contains(&place.len());
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

    /// Whether the member may be sent new work; a suspect only where nothing better is left.
    #[must_use]
    pub fn accepts_new_work(&self) -> bool {
        let is_member = matches!(self.state, MemberState::Alive | MemberState::Suspect);
        let is_serving = |target: &TargetAnnouncement| target.state == TargetState::Serving;
        is_member && self.target.as_ref().is_some_and(is_serving)
    }

    /// Hash of all that a digest compares; the policy version is not part of it.
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
