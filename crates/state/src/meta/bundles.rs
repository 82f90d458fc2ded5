//! Commits bundles. The versions form a single sequence in which each is based on the previous one.

use std::collections::BTreeMap;

use hooklug_bundle::{Bundle, BundleHeader};
use hooklug_types::{BundleVersion, Digest};

use super::command::{BundleContent, MetaRefusal, MetaReply, SubmitBundle};
use super::machine::{CommandResult, MetaMachine};
use super::record::{BundleOrigin, BundleRecord};

impl MetaMachine {
    /// Commits a bundle. A resubmission of the same version and content returns the existing
    /// record.
    pub(super) fn submit_bundle(&mut self, submit: SubmitBundle) -> CommandResult {
        let digest = submit.content.digest();
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
        let bundle = self.submitted_bundle(&submit)?;
        let record = self.commit_bundle(&bundle, BundleOrigin::Operators(submit.signed_by));
        Ok(MetaReply::Bundle(record))
    }

    /// Decodes and checks the submitted bundle, whose base must be the newest version.
    fn submitted_bundle(&self, submit: &SubmitBundle) -> Result<Bundle, MetaRefusal> {
        if submit.version <= submit.base {
            return Err(invalid_bundle("version: must be higher than the base".to_owned()));
        }
        let bundle = match &submit.content {
            BundleContent::Full(bytes) => decode_canonical(bytes)?,
            BundleContent::Changes { digest, sections } => {
                let bundle = self.newest_with_changes(submit, sections)?;
                if hooklug_bundle::digest(&bundle) != *digest {
                    return Err(invalid_bundle(
                        "the changed sections do not match the bundle digest".to_owned(),
                    ));
                }
                bundle
            }
        };
        if bundle.version != submit.version || bundle.base != submit.base {
            return Err(invalid_bundle(
                "version, base: differ from those of the submission".to_owned(),
            ));
        }
        Ok(bundle)
    }

    /// Returns the newest bundle with some of its sections replaced or removed.
    fn newest_with_changes(
        &self,
        submit: &SubmitBundle,
        sections: &BTreeMap<String, Option<Vec<u8>>>,
    ) -> Result<Bundle, MetaRefusal> {
        let newest = self.state.archive.bundle(self.newest_version()).unwrap_or_default();
        let header = BundleHeader { version: submit.version, base: submit.base };
        let changed = sections.iter().map(|(name, bytes)| (name.as_str(), bytes.as_deref()));
        hooklug_bundle::with_sections(&newest, header, changed)
            .map_err(|error| invalid_bundle(error.to_string()))
    }

    /// Returns the newest committed version, or 0 before the first.
    pub(super) fn newest_version(&self) -> BundleVersion {
        self.state.meta.bundle.as_ref().map(|b| b.version).unwrap_or_default()
    }

    /// Stores a bundle as the newest version.
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

/// Decodes a bundle from its canonical bytes, and refuses bytes that are not canonical.
fn decode_canonical(bytes: &[u8]) -> Result<Bundle, MetaRefusal> {
    let bundle =
        hooklug_bundle::decode(bytes).map_err(|error| invalid_bundle(error.to_string()))?;
    match hooklug_bundle::canonical_bytes(&bundle) == bytes {
        true => Ok(bundle),
        false => Err(invalid_bundle("the bundle's encoding is not canonical".to_owned())),
    }
}

fn invalid_bundle(reason: String) -> MetaRefusal {
    MetaRefusal::InvalidBundle { reason }
}
