//! Incremental 64-bit FNV-1a digest for comparing runs and states; not collision-resistant.

/// Offset basis of 64-bit FNV-1a.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// An incremental digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Fingerprint(u64);

impl Default for Fingerprint {
    fn default() -> Self {
        Self(OFFSET_BASIS)
    }
}

impl Fingerprint {
    /// Resumes from a value returned by [`Fingerprint::value`].
    pub(crate) fn resume(value: u64) -> Self {
        Self(value)
    }

    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    pub(crate) fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    pub(crate) fn value(self) -> u64 {
        self.0
    }
}
