use {
    bytes::Bytes,
    std::{collections::VecDeque, mem},
};

/// Length below which a chunk is joined with others, since it takes more memory than its bytes.
const MIN_CHUNK_BYTES: usize = 1024;
/// Length at which joined chunks become a chunk.
const JOINED_BYTES: usize = 16 * 1024;

/// Chunks of a body in their order.
#[derive(Debug, Default)]
pub(super) struct ChunkList {
    chunks: VecDeque<Bytes>,
    /// Short chunks that follow the others.
    joined: Vec<u8>,
}

impl ChunkList {
    /// Adds a chunk; a body of a single chunk is not copied.
    pub(super) fn push(&mut self, data: Bytes) {
        if data.len() < MIN_CHUNK_BYTES && !self.chunks.is_empty() {
            self.joined.extend_from_slice(&data);
            if self.joined.len() >= JOINED_BYTES {
                self.flush();
            }
        } else {
            self.flush();
            self.chunks.push_back(data);
        }
    }

    fn flush(&mut self) {
        if !self.joined.is_empty() {
            self.chunks.push_back(mem::take(&mut self.joined).into());
        }
    }

    pub(super) fn into_chunks(mut self) -> VecDeque<Bytes> {
        self.flush();
        self.chunks
    }
}
