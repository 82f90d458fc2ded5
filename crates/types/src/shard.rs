//! Replicated groups and the mapping from keys to shards.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of shard groups. Fixed for the lifetime of a cluster.
pub const SHARD_COUNT: u32 = 16;

/// The group that holds members, bundles, rollouts and the shard map.
pub const META_GROUP: GroupId = GroupId(0);

/// Id of a replicated group: 0 is `meta`, 1..=[`SHARD_COUNT`] are the shards.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u32);

impl GroupId {
    /// Returns all groups of a cluster, `meta` first.
    pub fn all() -> impl Iterator<Item = GroupId> {
        (0..=SHARD_COUNT).map(GroupId)
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if *self == META_GROUP { f.write_str("meta") } else { write!(f, "shard-{}", self.0) }
    }
}

/// Returns the shard group of a key, which is a program id, or an engine id for leases.
#[must_use]
pub fn shard_of(key: &str) -> GroupId {
    let hash = blake3::hash(key.as_bytes());
    let mut first = [0_u8; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    let slot = u64::from_le_bytes(first) % u64::from(SHARD_COUNT);
    GroupId(1 + u32::try_from(slot).unwrap_or(0))
}

/// A BLAKE3 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
