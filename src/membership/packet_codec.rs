use {
    super::{MemberUpdate, PacketHeader},
    crate::auth::{KeyGeneration, SharedKey, TAG_BYTES},
    serde::Serialize,
    strum::{Display, EnumCount, IntoStaticStr, VariantArray},
};

/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum number of updates in one datagram.
pub const MAX_UPDATES_PER_DATAGRAM: usize = 64;

const PACKET_VERSION: u8 = 1;
const PACKET_PURPOSE: &str = "gossip datagram";

/// Why a datagram was dropped.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumCount, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum DropReason {
    /// Too short or too long.
    Size,
    /// Different version of the packet format.
    Version,
    /// The tag does not match the key.
    Tag,
    /// The content can't be decoded, a field exceeds its limit, there are too many updates, or an
    /// introduction lacks the record of its sender.
    Format,
    /// The recipient is another address or another process on the address of this process, or the
    /// sender has that address.
    Recipient,
    /// The sender is an unknown process; it is sent a challenge.
    Unknown,
    /// The sender is superseded by a later process on its address.
    Superseded,
    /// The sequence number was received before, or is older than the replay window.
    Replay,
    /// Introduction with a cookie that this process did not issue, or that has expired.
    Cookie,
}

/// Encodes and authenticates datagrams.
#[derive(Clone, Debug)]
pub struct PacketCodec {
    key: SharedKey,
}

impl PacketCodec {
    #[must_use]
    pub const fn new(key: SharedKey) -> Self {
        Self { key }
    }

    /// Starts a datagram with its header; encoded updates may follow, then [`Self::seal`].
    #[must_use]
    pub fn encode_header(&self, header: &PacketHeader) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(256);
        datagram.push(PACKET_VERSION);
        append_encoded(&mut datagram, header);
        datagram
    }

    /// Bytes that are left for updates.
    #[must_use]
    pub fn remaining_bytes(datagram: &[u8]) -> usize {
        MAX_DATAGRAM_BYTES.saturating_sub(datagram.len() + TAG_BYTES)
    }

    /// Appends the authentication tag.
    pub fn seal(&self, datagram: &mut Vec<u8>) {
        self.seal_with(KeyGeneration::Current, datagram);
    }

    /// Like [`Self::seal`], for a recipient that may have the older key only.
    pub(crate) fn seal_with(&self, generation: KeyGeneration, datagram: &mut Vec<u8>) {
        let tag = self.key.tag_with(generation, PACKET_PURPOSE, datagram);
        datagram.extend_from_slice(&tag);
    }

    /// The keys that a recipient may have.
    pub(crate) const fn generations(&self) -> &'static [KeyGeneration] {
        self.key.generations()
    }

    /// Verifies a datagram and decodes its header; also returns the key of its sender.
    ///
    /// # Errors
    /// The size, the version or the tag of the datagram is wrong, or its header can't be decoded.
    pub fn decode<'a>(
        &self,
        datagram: &'a [u8],
    ) -> Result<(PacketHeader, UpdateReader<'a>, KeyGeneration), DropReason> {
        if datagram.len() <= TAG_BYTES || datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::Size);
        }
        let (message, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        if message.first() != Some(&PACKET_VERSION) {
            return Err(DropReason::Version);
        }
        let generation = self.key.verify(PACKET_PURPOSE, message, tag);
        let generation = generation.ok_or(DropReason::Tag)?;
        let (header, rest) =
            postcard::take_from_bytes(&message[1..]).map_err(|_| DropReason::Format)?;
        Ok((header, UpdateReader { rest, count: 0 }, generation))
    }
}

/// Decodes the updates of a datagram one by one.
#[derive(Clone, Debug)]
pub struct UpdateReader<'a> {
    rest: &'a [u8],
    count: usize,
}

impl Iterator for UpdateReader<'_> {
    type Item = Result<MemberUpdate, DropReason>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.rest.is_empty() {
            return None;
        }
        if self.count == MAX_UPDATES_PER_DATAGRAM {
            self.rest = &[];
            return Some(Err(DropReason::Format));
        }
        self.count += 1;
        let Ok((update, rest)) = postcard::take_from_bytes(self.rest) else {
            self.rest = &[];
            return Some(Err(DropReason::Format));
        };
        self.rest = rest;
        Some(Ok(update))
    }
}

/// Encodes an update as it is sent.
#[must_use]
pub fn encode_update(update: &MemberUpdate) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    append_encoded(&mut bytes, update);
    bytes
}

fn append_encoded<T: Serialize>(buffer: &mut Vec<u8>, value: &T) {
    let encoded = postcard::to_extend(value, Vec::new());
    buffer.extend_from_slice(&encoded.unwrap_or_default());
}
