use {
    crate::auth::{KeyGeneration, SharedKey, TAG_BYTES},
    serde::{Serialize, de::DeserializeOwned},
    std::io::{self, ErrorKind},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Maximum size of the first message of an exchange, in bytes.
pub const MAX_DIGEST_BYTES: usize = 4 * 1024;
/// Maximum size of any later message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

const NONCE_BYTES: usize = 16;
const EXCHANGE_PURPOSE: &str = "gossip exchange";

/// TCP connection of one exchange; the tag of every message also covers the nonces of both sides
/// and the position of the message.
#[derive(Debug)]
pub struct ExchangeConnection {
    stream: TcpStream,
    key: SharedKey,
    /// Key of this side's messages; the responder takes that of the initiator.
    generation: KeyGeneration,
    nonces: [u8; 2 * NONCE_BYTES],
    /// Messages sent and received so far.
    message_count: u8,
    bytes: u64,
}

impl ExchangeConnection {
    /// Exchanges nonces; each side sends its nonce before it reads that of the peer.
    pub async fn handshake(
        mut stream: TcpStream,
        key: SharedKey,
        is_initiator: bool,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let own_nonce: [u8; NONCE_BYTES] = rand::random();
        stream.write_all(&own_nonce).await?;
        let mut peer_nonce = [0; NONCE_BYTES];
        stream.read_exact(&mut peer_nonce).await?;
        let (initiator_nonce, responder_nonce) = if is_initiator {
            (own_nonce, peer_nonce)
        } else {
            (peer_nonce, own_nonce)
        };
        let mut nonces = [0; 2 * NONCE_BYTES];
        nonces[..NONCE_BYTES].copy_from_slice(&initiator_nonce);
        nonces[NONCE_BYTES..].copy_from_slice(&responder_nonce);
        Ok(Self {
            stream,
            key,
            generation: KeyGeneration::Current,
            nonces,
            message_count: 0,
            bytes: 2 * NONCE_BYTES as u64,
        })
    }

    /// Sets the key of this side's messages.
    pub const fn set_generation(&mut self, generation: KeyGeneration) {
        self.generation = generation;
    }

    /// Bytes sent and received so far.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    pub async fn send<M: Serialize>(&mut self, message: &M) -> io::Result<()> {
        let prefix = self.next_tag_prefix();
        let start = prefix.len();
        let tagged = postcard::to_extend(message, prefix).map_err(invalid)?;
        let tag = self
            .key
            .tag_with(self.generation, EXCHANGE_PURPOSE, &tagged);
        let payload = &tagged[start..];
        let length = u32::try_from(payload.len()).map_err(invalid)?;
        self.stream.write_all(&length.to_le_bytes()).await?;
        self.stream.write_all(payload).await?;
        self.stream.write_all(&tag).await?;
        self.count_message(payload.len());
        Ok(())
    }

    pub async fn receive<M: DeserializeOwned>(&mut self, max_bytes: usize) -> io::Result<M> {
        let length = self.stream.read_u32_le().await?;
        let length = usize::try_from(length).map_err(invalid)?;
        if length > max_bytes {
            return Err(invalid("exchange message exceeds its size limit"));
        }
        let mut tagged = self.next_tag_prefix();
        let start = tagged.len();
        let limit = (length + TAG_BYTES) as u64;
        let mut limited = (&mut self.stream).take(limit);
        limited.read_to_end(&mut tagged).await?;
        if tagged.len() != start + length + TAG_BYTES {
            return Err(io::Error::new(
                ErrorKind::UnexpectedEof,
                "peer closed the connection within an exchange message",
            ));
        }
        let (message, tag) = tagged.split_at(start + length);
        let generation = self.key.verify(EXCHANGE_PURPOSE, message, tag);
        self.generation = generation
            .ok_or_else(|| invalid("authentication tag of the exchange message does not match"))?;
        let decoded = postcard::from_bytes(&message[start..]).map_err(invalid)?;
        self.count_message(length);
        Ok(decoded)
    }

    fn next_tag_prefix(&mut self) -> Vec<u8> {
        let mut prefix = self.nonces.to_vec();
        prefix.push(self.message_count);
        self.message_count += 1;
        prefix
    }

    fn count_message(&mut self, payload: usize) {
        self.bytes += (size_of::<u32>() + payload + TAG_BYTES) as u64;
    }
}

fn invalid<E>(error: E) -> io::Error
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    io::Error::new(ErrorKind::InvalidData, error)
}
