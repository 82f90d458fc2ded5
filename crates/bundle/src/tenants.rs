//! Tenants of a bundle, in chunks that are shared between bundle versions.

use std::collections::BTreeMap;
use std::sync::Arc;

use hooklug_types::{Digest, TenantId};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::Tenant;

/// Tenants of one chunk, by id.
pub(crate) type Chunk = BTreeMap<TenantId, Tenant>;

/// Tenants by id, in 256 copy-on-write chunks selected by the first byte of the id's BLAKE3 digest.
///
/// A clone copies one pointer per chunk, and a change after a clone copies one chunk, so the cost
/// of installing a bundle depends on what changed and not on the number of tenants (17,000).
/// Serialized as one map, sorted by id.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TenantTable {
    /// Contains no empty chunks, so that equal tables have equal chunks.
    chunks: BTreeMap<u8, Arc<Chunk>>,
}

/// Number of the chunk that holds a tenant.
#[must_use]
pub(crate) fn chunk_of(tenant: &TenantId) -> u8 {
    Digest::of(tenant.as_str().as_bytes()).0[0]
}

impl TenantTable {
    /// Returns the tenant with an id.
    #[must_use]
    pub fn get(&self, id: &TenantId) -> Option<&Tenant> {
        self.chunks.get(&chunk_of(id))?.get(id)
    }

    /// Returns a mutable reference to the tenant with an id.
    pub fn get_mut(&mut self, id: &TenantId) -> Option<&mut Tenant> {
        Arc::make_mut(self.chunks.get_mut(&chunk_of(id))?).get_mut(id)
    }

    /// Inserts a tenant and replaces the one with the same id.
    pub fn insert(&mut self, id: TenantId, tenant: Tenant) {
        let chunk = self.chunks.entry(chunk_of(&id)).or_default();
        Arc::make_mut(chunk).insert(id, tenant);
    }

    /// Number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.chunks.values().map(|chunk| chunk.len()).sum()
    }

    /// Whether the table has no tenants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Iterates over all tenants, ordered by id. Collects and sorts them on each call.
    pub fn iter(&self) -> impl Iterator<Item = (&TenantId, &Tenant)> {
        let mut all: Vec<(&TenantId, &Tenant)> =
            self.chunks.values().flat_map(|chunk| chunk.iter()).collect();
        all.sort_unstable_by_key(|(id, _)| *id);
        all.into_iter()
    }

    /// Iterates over all tenants, in no particular order.
    pub fn values(&self) -> impl Iterator<Item = &Tenant> {
        self.chunks.values().flat_map(|chunk| chunk.values())
    }

    /// Iterates over mutable references to all tenants, in no particular order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Tenant> {
        self.chunks.values_mut().flat_map(|chunk| Arc::make_mut(chunk).values_mut())
    }

    /// Iterates over all chunks with their numbers; none is empty.
    pub(crate) fn chunks(&self) -> impl Iterator<Item = (u8, &Chunk)> {
        self.chunks.iter().map(|(number, chunk)| (*number, &**chunk))
    }

    /// Replaces a complete chunk; all its tenants must belong to it.
    pub(crate) fn set_chunk(&mut self, number: u8, chunk: Chunk) {
        if chunk.is_empty() {
            self.chunks.remove(&number);
        } else {
            self.chunks.insert(number, Arc::new(chunk));
        }
    }
}

impl FromIterator<(TenantId, Tenant)> for TenantTable {
    fn from_iter<I: IntoIterator<Item = (TenantId, Tenant)>>(tenants: I) -> Self {
        let mut table = Self::default();
        tenants.into_iter().for_each(|(id, tenant)| table.insert(id, tenant));
        table
    }
}

impl Serialize for TenantTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}

impl<'de> Deserialize<'de> for TenantTable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(BTreeMap::<TenantId, Tenant>::deserialize(deserializer)?.into_iter().collect())
    }
}
