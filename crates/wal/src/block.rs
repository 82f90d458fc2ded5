//! The unit of writing: a block of records with a checksum.
//!
//! Layout: mark (4 bytes), length of the body (u32), CRC-32 of length and body (u32), body. Each block
//! says how far its segment was known to be synced when it was written; that tells a torn tail, which
//! was never acknowledged, from damage to synced bytes (ours).

use serde::{Deserialize, Serialize};

use crate::GroupRecord;

const MARK: [u8; 4] = *b"hkB1";

/// Bytes of a block before its body.
pub(crate) const HEADER_BYTES: usize = 12;

/// Records written together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// Offset up to which the segment was synced before this block was written.
    pub synced: u64,
    /// The records, in order.
    pub records: Vec<GroupRecord>,
}

/// Why bytes are no block.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeFault {
    /// They end before the block does.
    #[error("the block is cut short")]
    Short,
    /// They do not start with the mark.
    #[error("no block starts here")]
    NoMark,
    /// The checksum differs.
    #[error("the checksum differs")]
    Checksum,
    /// The checksum fits and the body does not decode: written by another version.
    #[error("the body does not decode: {0}")]
    Body(String),
}

impl Block {
    /// The block as bytes.
    ///
    /// # Errors
    /// When the body is longer than a `u32` can say.
    pub fn encode(&self) -> Result<Vec<u8>, std::io::Error> {
        let head = vec![0_u8; HEADER_BYTES];
        let mut bytes = postcard::to_extend(self, head).map_err(std::io::Error::other)?;
        let length = u32::try_from(bytes.len() - HEADER_BYTES).map_err(std::io::Error::other)?;
        bytes[..4].copy_from_slice(&MARK);
        bytes[4..8].copy_from_slice(&length.to_le_bytes());
        let sum = checksum(&bytes[4..8], &bytes[HEADER_BYTES..]);
        bytes[8..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
        Ok(bytes)
    }

    /// The block at the start of some bytes, and its length with the header.
    ///
    /// # Errors
    /// [`DecodeFault`] says what does not fit.
    pub fn decode(bytes: &[u8]) -> Result<(Self, usize), DecodeFault> {
        let body = checked_body(bytes)?;
        let block = postcard::from_bytes(body).map_err(|e| DecodeFault::Body(e.to_string()))?;
        Ok((block, HEADER_BYTES + body.len()))
    }
}

fn checked_body(bytes: &[u8]) -> Result<&[u8], DecodeFault> {
    let head = bytes.get(..HEADER_BYTES).ok_or(DecodeFault::Short)?;
    if head[..4] != MARK {
        return Err(DecodeFault::NoMark);
    }
    let length = read_u32(&head[4..8]) as usize;
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + length).ok_or(DecodeFault::Short)?;
    if checksum(&head[4..8], body) != read_u32(&head[8..HEADER_BYTES]) {
        return Err(DecodeFault::Checksum);
    }
    Ok(body)
}

/// Whether a whole block after `damage` says that the bytes at `damage` had been synced.
pub(crate) fn synced_later(bytes: &[u8], damage: usize) -> bool {
    let mut at = damage + 1;
    while let Some(step) = bytes.get(at..).and_then(find_mark) {
        at += step;
        match Block::decode(&bytes[at..]) {
            Ok((block, _)) if block.synced > damage as u64 => return true,
            Ok((_, length)) => at += length,
            Err(_) => at += 1,
        }
    }
    false
}

fn find_mark(bytes: &[u8]) -> Option<usize> {
    bytes.windows(MARK.len()).position(|window| window == MARK)
}

fn checksum(length: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(body);
    hasher.finalize()
}

fn read_u32(bytes: &[u8]) -> u32 {
    let mut word = [0_u8; 4];
    word.copy_from_slice(&bytes[..4]);
    u32::from_le_bytes(word)
}
