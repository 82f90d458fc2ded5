//! Committing bundles: one line of versions, each built on the newest.

use hooklug_bundle::Bundle;
use hooklug_types::{BundleVersion, Digest};

use super::command::{MetaRefusal, MetaReply, SubmitBundle};
use super::machine::{MetaMachine, Outcome};
use super::record::{BundleOrigin, BundleRecord};

impl MetaMachine {
    /// Commits a bundle. The same version with the same content again gets the same record.
    pub(super) fn submit_bundle(&mut self, submit: SubmitBundle) -> Outcome {
        let digest = Digest::of(&submit.bytes);
        if let Some(committed) = self.state.archive.record(submit.version) {
            return match committed.digest == digest {
                true => Ok(MetaReply::Bundle(committed.clone())),
                false => Err(MetaRefusal::VersionTaken {
                    version: committed.version,
                    digest: committed.digest,
                }),
            };
        }
        let newest = self.newest_version();
        if submit.base != newest {
            return Err(MetaRefusal::StaleBase { newest });
        }
        let bundle = checked(&submit)?;
        let record = self.commit_bundle(&bundle, BundleOrigin::Operators(submit.signed_by));
        Ok(MetaReply::Bundle(record))
    }

    /// The newest committed version; 0 before the first.
    pub(super) fn newest_version(&self) -> BundleVersion {
        self.state.meta.bundle.as_ref().map(|b| b.version).unwrap_or_default()
    }

    /// Makes a bundle the newest.
    pub(super) fn commit_bundle(&mut self, bundle: &Bundle, origin: BundleOrigin) -> BundleRecord {
        let sections = hooklug_bundle::sections(bundle);
        let digests =
            sections.iter().map(|(name, bytes)| (name.clone(), Digest::of(bytes))).collect();
        let record = BundleRecord {
            version: bundle.version,
            base: bundle.base,
            digest: hooklug_bundle::digest(bundle),
            sections: digests,
            origin,
            committed: self.state.clock,
        };
        self.state.archive.add(record.clone(), sections);
        self.state.meta.bundle = Some(record.clone());
        record
    }
}

fn checked(submit: &SubmitBundle) -> Result<Bundle, MetaRefusal> {
    let invalid = |reason: String| MetaRefusal::InvalidBundle { reason };
    if submit.version <= submit.base {
        return Err(invalid("version: must be higher than the base".to_owned()));
    }
    let bundle = hooklug_bundle::decode(&submit.bytes).map_err(|e| invalid(e.to_string()))?;
    if hooklug_bundle::canonical_bytes(&bundle) != submit.bytes {
        return Err(invalid("the bytes are not canonical".to_owned()));
    }
    if bundle.version != submit.version || bundle.base != submit.base {
        return Err(invalid("version, base: differ from the submission's".to_owned()));
    }
    Ok(bundle)
}
