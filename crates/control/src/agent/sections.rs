//! Bundle sections that this node holds, by digest. Pure.

use std::collections::BTreeMap;

use hooklug_types::Digest;

/// Sections of the installed bundle and of the one before it, for peers that are behind by one.
#[derive(Debug, Default)]
pub(super) struct SectionCache {
    current: BTreeMap<Digest, Vec<u8>>,
    former: BTreeMap<Digest, Vec<u8>>,
}

impl SectionCache {
    pub(super) fn get(&self, digest: &Digest) -> Option<Vec<u8>> {
        self.current.get(digest).or_else(|| self.former.get(digest)).cloned()
    }

    /// Takes the sections of a newly installed bundle.
    pub(super) fn replace(&mut self, sections: BTreeMap<Digest, Vec<u8>>) {
        self.former = std::mem::replace(&mut self.current, sections);
    }
}
