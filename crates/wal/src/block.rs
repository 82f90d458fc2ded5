//! Block format of the log: a checksummed group of records that is written in one operation.
//!
//! Layout: magic number (4 bytes), body length (u32), CRC-32 of length and body (u32), body. Each
//! block records the offset up to which its segment was known to be synced when the block was
//! written. This distinguishes a torn tail, which was never acknowledged, from corruption of synced
//! bytes.

use serde::{Deserialize, Serialize};

use crate::GroupRecord;

const MAGIC: [u8; 4] = *b"hkB1";

/// Size of the block header in bytes.
pub(crate) const HEADER_BYTES: usize = 12;

/// A group of records that are written together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// Offset up to which the segment was synced before this block was written.
    pub synced: u64,
    /// The records, in order.
    pub records: Vec<GroupRecord>,
}

/// Error of decoding a block.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes end before the block does.
    #[error("block is truncated")]
    Truncated,
    /// The bytes do not start with the magic number.
    #[error("block has no magic number")]
    BadMagic,
    /// The checksum does not match.
    #[error("block checksum does not match")]
    ChecksumMismatch,
    /// The checksum matches but the body can't be decoded: it was written by another version.
    #[error("can't decode the block body: {0}")]
    Body(String),
}

impl Block {
    /// Encodes the block with its header.
    ///
    /// # Errors
    /// If the length of the body exceeds a `u32`.
    pub fn encode(&self) -> Result<Vec<u8>, std::io::Error> {
        let header = vec![0_u8; HEADER_BYTES];
        let mut bytes = postcard::to_extend(self, header).map_err(std::io::Error::other)?;
        let length = u32::try_from(bytes.len() - HEADER_BYTES).map_err(std::io::Error::other)?;
        bytes[..4].copy_from_slice(&MAGIC);
        bytes[4..8].copy_from_slice(&length.to_le_bytes());
        let sum = checksum(&bytes[4..8], &bytes[HEADER_BYTES..]);
        bytes[8..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
        Ok(bytes)
    }

    /// Decodes the block at the start of `bytes`; returns it and its length including the header.
    ///
    /// # Errors
    /// [`DecodeError`] if the bytes are not a valid block.
    pub fn decode(bytes: &[u8]) -> Result<(Self, usize), DecodeError> {
        let body = checked_body(bytes)?;
        let block = postcard::from_bytes(body).map_err(|e| DecodeError::Body(e.to_string()))?;
        Ok((block, HEADER_BYTES + body.len()))
    }
}

fn checked_body(bytes: &[u8]) -> Result<&[u8], DecodeError> {
    let header = bytes.get(..HEADER_BYTES).ok_or(DecodeError::Truncated)?;
    if header[..4] != MAGIC {
        return Err(DecodeError::BadMagic);
    }
    let length = read_u32(&header[4..8]) as usize;
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + length).ok_or(DecodeError::Truncated)?;
    if checksum(&header[4..8], body) != read_u32(&header[8..HEADER_BYTES]) {
        return Err(DecodeError::ChecksumMismatch);
    }
    Ok(body)
}

/// Whether a valid block after offset `invalid_at` records that the bytes at `invalid_at` were
/// synced.
pub(crate) fn is_known_synced(bytes: &[u8], invalid_at: usize) -> bool {
    let mut at = invalid_at + 1;
    while let Some(step) = bytes.get(at..).and_then(find_magic) {
        at += step;
        match Block::decode(&bytes[at..]) {
            Ok((block, _)) if block.synced > invalid_at as u64 => return true,
            Ok((_, length)) => at += length,
            Err(_) => at += 1,
        }
    }
    false
}

fn find_magic(bytes: &[u8]) -> Option<usize> {
    bytes.windows(MAGIC.len()).position(|window| window == MAGIC)
}

fn checksum(length: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(body);
    hasher.finalize()
}

fn read_u32(bytes: &[u8]) -> u32 {
    let mut buffer = [0_u8; 4];
    buffer.copy_from_slice(&bytes[..4]);
    u32::from_le_bytes(buffer)
}
