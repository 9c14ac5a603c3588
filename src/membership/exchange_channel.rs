use {
    crate::auth::{SharedKey, TAG_BYTES},
    serde::{Serialize, de::DeserializeOwned},
    std::io::{self, ErrorKind},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Bytes of the first message of an exchange.
pub const MAX_OPEN_BYTES: usize = 4 * 1024;
/// Bytes of any later message.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

const NONCE_LENGTH: usize = 16;
const EXCHANGE_PURPOSE: &str = "gossip exchange";

/// One TCP connection of an exchange; every message is tagged over nonces of both sides.
#[derive(Debug)]
pub struct ExchangeChannel {
    stream: TcpStream,
    key: SharedKey,
    nonces: [u8; 2 * NONCE_LENGTH],
    /// Messages so far, both ways.
    step: u8,
    bytes: u64,
}

impl ExchangeChannel {
    /// Swaps nonces; both sides send theirs first.
    pub async fn open(mut stream: TcpStream, key: SharedKey, is_opener: bool) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let own: [u8; NONCE_LENGTH] = rand::random();
        stream.write_all(&own).await?;
        let mut other = [0; NONCE_LENGTH];
        stream.read_exact(&mut other).await?;
        let (first, second) = if is_opener {
            (own, other)
        } else {
            (other, own)
        };
        let mut nonces = [0; 2 * NONCE_LENGTH];
        nonces[..NONCE_LENGTH].copy_from_slice(&first);
        nonces[NONCE_LENGTH..].copy_from_slice(&second);
        Ok(Self {
            stream,
            key,
            nonces,
            step: 0,
            bytes: 2 * NONCE_LENGTH as u64,
        })
    }

    /// Bytes so far, both ways.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    pub async fn send<M: Serialize>(&mut self, message: &M) -> io::Result<()> {
        let prefix = self.next_prefix();
        let start = prefix.len();
        let tagged = postcard::to_extend(message, prefix).map_err(invalid)?;
        let tag = self.key.tag(EXCHANGE_PURPOSE, &tagged);
        let payload = &tagged[start..];
        let length = u32::try_from(payload.len()).map_err(invalid)?;
        self.stream.write_all(&length.to_le_bytes()).await?;
        self.stream.write_all(payload).await?;
        self.stream.write_all(&tag).await?;
        self.count(payload.len());
        Ok(())
    }

    pub async fn receive<M: DeserializeOwned>(&mut self, max_bytes: usize) -> io::Result<M> {
        let length = self.stream.read_u32_le().await?;
        let length = usize::try_from(length).map_err(invalid)?;
        if length > max_bytes {
            return Err(invalid("message too long"));
        }
        let mut tagged = self.next_prefix();
        let start = tagged.len();
        let limit = (length + TAG_BYTES) as u64;
        let mut limited = (&mut self.stream).take(limit);
        limited.read_to_end(&mut tagged).await?;
        if tagged.len() != start + length + TAG_BYTES {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let (message, tag) = tagged.split_at(start + length);
        if !self.key.is_valid_tag(EXCHANGE_PURPOSE, message, tag) {
            return Err(invalid("tag does not fit"));
        }
        let decoded = postcard::from_bytes(&message[start..]).map_err(invalid)?;
        self.count(length);
        Ok(decoded)
    }

    fn next_prefix(&mut self) -> Vec<u8> {
        let mut prefix = self.nonces.to_vec();
        prefix.push(self.step);
        self.step += 1;
        prefix
    }

    fn count(&mut self, payload: usize) {
        self.bytes += (size_of::<u32>() + payload + TAG_BYTES) as u64;
    }
}

fn invalid<E>(error: E) -> io::Error
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    io::Error::new(ErrorKind::InvalidData, error)
}
