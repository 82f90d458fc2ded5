//! Cache of the bundle sections that this node holds, by digest. Pure: no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hooklug_types::Digest;

/// Bytes of a section, shared by all holders.
pub(super) type Section = Arc<[u8]>;

/// Sections of the installed bundle, of the one before it (for peers that are one version behind),
/// and those already fetched of the next one.
#[derive(Debug, Default)]
pub(super) struct SectionCache {
    current: BTreeMap<Digest, Section>,
    previous: BTreeMap<Digest, Section>,
    pending: BTreeMap<Digest, Section>,
}

impl SectionCache {
    pub(super) fn get(&self, digest: &Digest) -> Option<Section> {
        let caches = [&self.current, &self.previous, &self.pending];
        caches.into_iter().find_map(|sections| sections.get(digest)).cloned()
    }

    /// Drops fetched sections that are not among `digests`, those of the bundle being installed.
    pub(super) fn retain_pending(&mut self, digests: &BTreeSet<Digest>) {
        self.pending.retain(|digest, _| digests.contains(digest));
    }

    /// Stores a section whose digest was verified, so that a failed installation resumes where it
    /// stopped.
    pub(super) fn insert_pending(&mut self, digest: Digest, section: Section) {
        self.pending.insert(digest, section);
    }

    /// Replaces the current sections with those of a newly installed bundle, which were either held
    /// before or just fetched.
    pub(super) fn replace(
        &mut self,
        sections: &BTreeMap<String, Digest>,
        fetched: impl Iterator<Item = (Digest, Section)>,
    ) {
        let fetched: BTreeMap<Digest, Section> = fetched.collect();
        let find = |digest: &Digest| fetched.get(digest).cloned().or_else(|| self.get(digest));
        let entry = |digest: &Digest| Some((*digest, find(digest)?));
        let next = sections.values().filter_map(entry).collect();
        self.previous = std::mem::replace(&mut self.current, next);
        self.pending.clear();
    }
}
