//! Storage of recent bundle versions, which share sections with the same digest.

use std::collections::BTreeMap;
use std::sync::Arc;

use hooklug_bundle::{Bundle, BundleHeader, ROUTES_SECTION};
use hooklug_types::{BundleVersion, Digest};
use serde::{Deserialize, Serialize};

use super::record::BundleRecord;

/// Number of versions whose records are retained.
pub const RETAINED_VERSIONS: usize = 512;

/// Maximum size in bytes of the retained content of older versions. The newest version is retained
/// whatever its size.
pub const RETAINED_CONTENT_BYTES: usize = 2 << 20;

/// Size in bytes of a digest in a record's section table, with the overhead of the table entry.
const TABLE_ENTRY_BYTES: usize = 40;

/// A section's bytes and the number of retained versions that contain it.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct SharedSection {
    bytes: Arc<Vec<u8>>,
    ref_count: u32,
}

/// Records of the last [`RETAINED_VERSIONS`] bundles, and the full content of as many of them as fit
/// into [`RETAINED_CONTENT_BYTES`]. Of the older ones only the routes are retained, since it must
/// remain known whether a tool was ever non-repeatable. Clones share records and sections.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct BundleArchive {
    records: BTreeMap<BundleVersion, Arc<BundleRecord>>,
    sections: BTreeMap<Digest, SharedSection>,
    /// The oldest version whose full content is retained.
    complete_from: BundleVersion,
    /// Size in bytes of all sections and section tables.
    bytes: usize,
}

impl BundleArchive {
    /// Adds a version, then drops the oldest content and the oldest records that exceed the limits.
    pub(super) fn add(&mut self, record: BundleRecord, sections: BTreeMap<String, Vec<u8>>) {
        let newest_bytes: usize = sections.values().map(Vec::len).sum();
        self.bytes += table_bytes(&record);
        for bytes in sections.into_values() {
            self.retain_section(bytes);
        }
        self.records.insert(record.version, record.into());
        while self.bytes > newest_bytes + RETAINED_CONTENT_BYTES && self.drop_oldest_content() {}
        while self.records.len() > RETAINED_VERSIONS {
            let Some((_, oldest)) = self.records.pop_first() else { break };
            self.bytes -= table_bytes(&oldest);
            oldest.sections.values().for_each(|digest| self.release_section(digest));
        }
    }

    fn retain_section(&mut self, bytes: Vec<u8>) {
        let digest = Digest::of(&bytes);
        if let Some(shared) = self.sections.get_mut(&digest) {
            shared.ref_count += 1;
            return;
        }
        self.bytes += bytes.len();
        self.sections.insert(digest, SharedSection { bytes: bytes.into(), ref_count: 1 });
    }

    /// Drops the content, except for the routes, of the oldest version with full content. Returns
    /// false if that is the newest version, which is retained.
    fn drop_oldest_content(&mut self) -> bool {
        let mut complete = self.records.range(self.complete_from..).map(|(version, _)| *version);
        let (Some(oldest), Some(next)) = (complete.next(), complete.next()) else { return false };
        self.complete_from = next;
        let Some(record) = self.records.get_mut(&oldest) else { return false };
        let record = Arc::make_mut(record);
        let mut dropped = std::mem::take(&mut record.sections);
        record.sections.extend(dropped.remove_entry(ROUTES_SECTION));
        self.bytes -= dropped.keys().map(|name| entry_bytes(name)).sum::<usize>();
        dropped.values().for_each(|digest| self.release_section(digest));
        true
    }

    fn release_section(&mut self, digest: &Digest) {
        let Some(shared) = self.sections.get_mut(digest) else { return };
        shared.ref_count -= 1;
        if shared.ref_count == 0 {
            self.bytes -= shared.bytes.len();
            self.sections.remove(digest);
        }
    }

    /// Returns the record of a version.
    pub(super) fn record(&self, version: BundleVersion) -> Option<&BundleRecord> {
        self.records.get(&version).map(AsRef::as_ref)
    }

    /// Returns a version's content, if it is retained.
    pub(super) fn bundle(&self, version: BundleVersion) -> Option<Bundle> {
        let record = self.records.get(&version).filter(|_| version >= self.complete_from)?;
        let sections = record
            .sections
            .iter()
            .map(|(name, digest)| Some((name.clone(), self.section(digest)?)))
            .collect::<Option<_>>()?;
        let header = BundleHeader { version: record.version, base: record.base };
        hooklug_bundle::from_sections(header, &sections).ok()
    }

    /// Returns a version's record and canonical bytes, if its content is retained.
    pub(super) fn bytes(&self, version: BundleVersion) -> Option<(BundleRecord, Vec<u8>)> {
        let bundle = self.bundle(version)?;
        Some((self.record(version)?.clone(), hooklug_bundle::canonical_bytes(&bundle)))
    }

    /// Returns a section's bytes.
    pub(super) fn section(&self, digest: &Digest) -> Option<Vec<u8>> {
        self.sections.get(digest).map(|s| s.bytes.to_vec())
    }

    /// Returns up to `limit` records, newest first.
    pub(super) fn newest_records(&self, limit: u32) -> Vec<BundleRecord> {
        self.records.values().rev().take(limit as usize).map(|r| r.as_ref().clone()).collect()
    }
}

/// Returns the size in bytes of a section's entry in a record's section table.
fn entry_bytes(name: &str) -> usize {
    TABLE_ENTRY_BYTES + name.len()
}

fn table_bytes(record: &BundleRecord) -> usize {
    record.sections.keys().map(|name| entry_bytes(name)).sum()
}
