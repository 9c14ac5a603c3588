use {
    super::{MemberUpdate, PacketHeader},
    crate::auth::{SharedKey, TAG_BYTES},
    serde::Serialize,
    strum::{Display, EnumCount, IntoStaticStr, VariantArray},
};

/// Bytes of the largest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Updates that one datagram may carry.
pub const MAX_UPDATES: usize = 64;

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
    /// Another version of the format.
    Version,
    /// The tag does not fit the key.
    Tag,
    /// The content does not decode, or a field is out of its bounds.
    Format,
    /// Meant for another address, or for an earlier process on this one.
    Recipient,
    /// From an unknown process; it is asked to introduce itself.
    Unknown,
    /// From a process that a later one has superseded.
    Superseded,
    /// Received before.
    Replay,
    /// Answers a challenge that was not made, or too long ago.
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

    /// Starts a datagram; encoded updates may follow, then [`Self::seal`].
    #[must_use]
    pub fn open(&self, header: &PacketHeader) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(256);
        datagram.push(PACKET_VERSION);
        extend_encoded(&mut datagram, header);
        datagram
    }

    /// Bytes that updates may still take.
    #[must_use]
    pub fn room(datagram: &[u8]) -> usize {
        MAX_DATAGRAM_BYTES.saturating_sub(datagram.len() + TAG_BYTES)
    }

    /// Adds the tag.
    pub fn seal(&self, datagram: &mut Vec<u8>) {
        let tag = self.key.tag(PACKET_PURPOSE, datagram);
        datagram.extend_from_slice(&tag);
    }

    /// Checks a datagram and reads its header.
    ///
    /// # Errors
    /// The datagram is not whole, not of this version, or not of this deployment.
    pub fn read<'a>(
        &self,
        datagram: &'a [u8],
    ) -> Result<(PacketHeader, UpdateReader<'a>), DropReason> {
        if datagram.len() <= TAG_BYTES || datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::Size);
        }
        let (message, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        if message.first() != Some(&PACKET_VERSION) {
            return Err(DropReason::Version);
        }
        if !self.key.is_valid_tag(PACKET_PURPOSE, message, tag) {
            return Err(DropReason::Tag);
        }
        let (header, rest) =
            postcard::take_from_bytes(&message[1..]).map_err(|_| DropReason::Format)?;
        Ok((header, UpdateReader { rest, count: 0 }))
    }
}

/// Reads the updates of a datagram one by one.
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
        if self.count == MAX_UPDATES {
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

/// The wire form of an update.
#[must_use]
pub fn encode_update(update: &MemberUpdate) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    extend_encoded(&mut bytes, update);
    bytes
}

fn extend_encoded<T: Serialize>(buffer: &mut Vec<u8>, value: &T) {
    let encoded = postcard::to_extend(value, Vec::new());
    buffer.extend_from_slice(&encoded.unwrap_or_default());
}
