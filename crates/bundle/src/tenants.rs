//! The tenants of a bundle, in chunks that bundles share.

use std::collections::BTreeMap;
use std::sync::Arc;

use hooklug_types::{Digest, TenantId};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::Tenant;

/// Tenants of one chunk.
pub(crate) type Chunk = BTreeMap<TenantId, Tenant>;

/// Tenants by id, in 256 chunks by the first byte of the id's BLAKE3 digest (ours). A clone copies a pointer a
/// chunk, and a change after a clone copies one chunk: a node that installs a bundle pays for what changed,
/// not for 17,000 tenants. Written as one map, sorted by id.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TenantTable {
    /// Never holds an empty chunk, so that equal tables have equal chunks.
    chunks: BTreeMap<u8, Arc<Chunk>>,
}

/// The chunk that holds a tenant.
#[must_use]
pub(crate) fn chunk_of(tenant: &TenantId) -> u8 {
    Digest::of(tenant.as_str().as_bytes()).0[0]
}

impl TenantTable {
    /// A tenant, if there is one of that id.
    #[must_use]
    pub fn get(&self, id: &TenantId) -> Option<&Tenant> {
        self.chunks.get(&chunk_of(id))?.get(id)
    }

    /// A tenant to be changed, if there is one of that id.
    pub fn get_mut(&mut self, id: &TenantId) -> Option<&mut Tenant> {
        Arc::make_mut(self.chunks.get_mut(&chunk_of(id))?).get_mut(id)
    }

    /// Puts a tenant in, in place of one of the same id.
    pub fn insert(&mut self, id: TenantId, tenant: Tenant) {
        let chunk = self.chunks.entry(chunk_of(&id)).or_default();
        Arc::make_mut(chunk).insert(id, tenant);
    }

    /// How many tenants there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.chunks.values().map(|chunk| chunk.len()).sum()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// All tenants, in order of ids. Sorts; for reading through once.
    pub fn iter(&self) -> impl Iterator<Item = (&TenantId, &Tenant)> {
        let mut all: Vec<(&TenantId, &Tenant)> =
            self.chunks.values().flat_map(|chunk| chunk.iter()).collect();
        all.sort_unstable_by_key(|(id, _)| *id);
        all.into_iter()
    }

    /// All tenants, in no particular order.
    pub fn values(&self) -> impl Iterator<Item = &Tenant> {
        self.chunks.values().flat_map(|chunk| chunk.values())
    }

    /// All tenants to be changed, in no particular order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Tenant> {
        self.chunks.values_mut().flat_map(|chunk| Arc::make_mut(chunk).values_mut())
    }

    /// All chunks with their numbers; none is empty.
    pub(crate) fn chunks(&self) -> impl Iterator<Item = (u8, &Chunk)> {
        self.chunks.iter().map(|(number, chunk)| (*number, &**chunk))
    }

    /// Puts a whole chunk in; its tenants must belong there.
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
