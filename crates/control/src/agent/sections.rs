//! Bundle sections that this node holds, by digest. Pure.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hooklug_types::Digest;

/// Bytes of a section, shared by all who hold it.
pub(super) type Section = Arc<[u8]>;

/// Sections of the installed bundle and of the one before it, for peers that are behind by one, and those
/// that have arrived of the next.
#[derive(Debug, Default)]
pub(super) struct SectionCache {
    current: BTreeMap<Digest, Section>,
    former: BTreeMap<Digest, Section>,
    arrived: BTreeMap<Digest, Section>,
}

impl SectionCache {
    pub(super) fn get(&self, digest: &Digest) -> Option<Section> {
        let held = [&self.current, &self.former, &self.arrived];
        held.into_iter().find_map(|sections| sections.get(digest)).cloned()
    }

    /// Forgets what arrived of a bundle other than the one that is wanted now.
    pub(super) fn want(&mut self, digests: &BTreeSet<Digest>) {
        self.arrived.retain(|digest, _| digests.contains(digest));
    }

    /// Keeps a section whose bytes were checked: an installation that fails begins again where it was.
    pub(super) fn keep(&mut self, digest: Digest, section: Section) {
        self.arrived.insert(digest, section);
    }

    /// Takes the sections that a newly installed bundle is made of: those that were held stay, others were
    /// fetched.
    pub(super) fn replace(
        &mut self,
        sections: &BTreeMap<String, Digest>,
        fetched: impl Iterator<Item = (Digest, Section)>,
    ) {
        let fetched: BTreeMap<Digest, Section> = fetched.collect();
        let held = |digest: &Digest| fetched.get(digest).cloned().or_else(|| self.get(digest));
        let present = |digest: &Digest| Some((*digest, held(digest)?));
        let next = sections.values().filter_map(present).collect();
        self.former = std::mem::replace(&mut self.current, next);
        self.arrived.clear();
    }
}
