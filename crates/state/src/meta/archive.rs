//! The last bundles. Versions share sections of the same digest.

use std::collections::BTreeMap;
use std::sync::Arc;

use hooklug_bundle::{Bundle, BundleHeader};
use hooklug_types::{BundleVersion, Digest};
use serde::{Deserialize, Serialize};

use super::record::BundleRecord;

/// Versions whose content is kept (ours).
pub const KEPT_VERSIONS: usize = 512;

/// A section's bytes and how many kept versions hold it.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct SharedSection {
    bytes: Arc<Vec<u8>>,
    holders: u32,
}

/// Records of the last [`KEPT_VERSIONS`] bundles and the sections that they are made of. A copy shares both.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct BundleArchive {
    records: BTreeMap<BundleVersion, Arc<BundleRecord>>,
    sections: BTreeMap<Digest, SharedSection>,
}

impl BundleArchive {
    /// Adds a version and drops those beyond the last [`KEPT_VERSIONS`].
    pub(super) fn add(&mut self, record: BundleRecord, sections: BTreeMap<String, Vec<u8>>) {
        for bytes in sections.into_values() {
            let shared = self
                .sections
                .entry(Digest::of(&bytes))
                .or_insert_with(|| SharedSection { bytes: bytes.into(), holders: 0 });
            shared.holders += 1;
        }
        self.records.insert(record.version, record.into());
        while self.records.len() > KEPT_VERSIONS {
            let Some((_, oldest)) = self.records.pop_first() else { break };
            oldest.sections.values().for_each(|digest| self.release(digest));
        }
    }

    fn release(&mut self, digest: &Digest) {
        let Some(shared) = self.sections.get_mut(digest) else { return };
        shared.holders -= 1;
        if shared.holders == 0 {
            self.sections.remove(digest);
        }
    }

    /// The record of a version.
    pub(super) fn record(&self, version: BundleVersion) -> Option<&BundleRecord> {
        self.records.get(&version).map(AsRef::as_ref)
    }

    /// A version's content.
    pub(super) fn bundle(&self, version: BundleVersion) -> Option<Bundle> {
        let record = self.records.get(&version)?;
        let sections = record
            .sections
            .iter()
            .map(|(name, digest)| Some((name.clone(), self.section(digest)?)))
            .collect::<Option<_>>()?;
        let header = BundleHeader { version: record.version, base: record.base };
        hooklug_bundle::from_sections(header, &sections).ok()
    }

    /// A version's record and canonical bytes.
    pub(super) fn bytes(&self, version: BundleVersion) -> Option<(BundleRecord, Vec<u8>)> {
        let bundle = self.bundle(version)?;
        Some((self.record(version)?.clone(), hooklug_bundle::canonical_bytes(&bundle)))
    }

    /// A section's bytes.
    pub(super) fn section(&self, digest: &Digest) -> Option<Vec<u8>> {
        self.sections.get(digest).map(|s| s.bytes.to_vec())
    }

    /// The last records, newest first.
    pub(super) fn newest_records(&self, limit: u32) -> Vec<BundleRecord> {
        self.records.values().rev().take(limit as usize).map(|r| r.as_ref().clone()).collect()
    }
}
