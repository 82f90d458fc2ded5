//! One byte form per bundle, its digest, and its sections.
//!
//! A bundle travels as sections by digest, so that a change costs a node only what changed
//! (design page, section 7). Maps are sorted, so equal bundles give equal bytes.

use std::collections::BTreeMap;

use hooklug_types::{BundleVersion, Digest, TenantId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Bundle, Tenant};

const SERVICES: &str = "services";
/// Name of the section that holds the routes.
pub const ROUTES_SECTION: &str = "routes";
const WINDOWS: &str = "windows";
const TENANTS_PREFIX: &str = "tenants/";

/// Bytes or sections that are no bundle.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes do not decode.
    #[error("{part} does not decode: {reason}")]
    Malformed {
        /// The whole bundle, or the section's name.
        part: String,
        /// The decoder's words.
        reason: String,
    },
    /// A section has a name that this version of the program does not know.
    #[error("unknown section {0:?}")]
    UnknownSection(String),
}

/// What a bundle says outside its sections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHeader {
    /// The bundle's version.
    pub version: BundleVersion,
    /// The version that it was built on.
    pub base: BundleVersion,
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    // Plain data with text keys into a growing buffer: the encoder has no way to fail.
    serde_json::to_vec(value).unwrap_or_default()
}

fn from_json<T: DeserializeOwned>(part: &str, bytes: &[u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(bytes)
        .map_err(|e| DecodeError::Malformed { part: part.to_owned(), reason: e.to_string() })
}

/// The bundle's one byte form: compact JSON with sorted keys.
#[must_use]
pub fn canonical_bytes(bundle: &Bundle) -> Vec<u8> {
    to_json(bundle)
}

/// Reads what [`canonical_bytes`] made.
///
/// # Errors
/// When the bytes are no bundle.
pub fn decode(bytes: &[u8]) -> Result<Bundle, DecodeError> {
    from_json("bundle", bytes)
}

/// Digest of the bundle's canonical bytes.
#[must_use]
pub fn digest(bundle: &Bundle) -> Digest {
    Digest::of(&canonical_bytes(bundle))
}

/// The section that holds a tenant: one of 256, by the first byte of its id's BLAKE3 digest. With 17,000
/// tenants a section and the list of all sections' digests are then about equally long, so that a change of
/// one tenant costs least.
#[must_use]
pub fn tenant_section(tenant: &TenantId) -> String {
    let first = Digest::of(tenant.as_str().as_bytes()).0[0];
    format!("{TENANTS_PREFIX}{first:02x}")
}

/// The bundle's content by section name; the header travels apart. Tenant sections without tenants are left out.
#[must_use]
pub fn sections(bundle: &Bundle) -> BTreeMap<String, Vec<u8>> {
    let mut sections = BTreeMap::from([
        (SERVICES.to_owned(), to_json(&bundle.services)),
        (ROUTES_SECTION.to_owned(), to_json(&bundle.routes)),
        (WINDOWS.to_owned(), to_json(&bundle.windows)),
    ]);
    let mut chunks: BTreeMap<String, BTreeMap<&TenantId, &Tenant>> = BTreeMap::new();
    for (id, tenant) in &bundle.tenants {
        chunks.entry(tenant_section(id)).or_default().insert(id, tenant);
    }
    sections.extend(chunks.into_iter().map(|(name, tenants)| (name, to_json(&tenants))));
    sections
}

/// Digest of each section.
#[must_use]
pub fn section_digests(bundle: &Bundle) -> BTreeMap<String, Digest> {
    sections(bundle).into_iter().map(|(name, bytes)| (name, Digest::of(&bytes))).collect()
}

/// Puts a bundle together from its header and sections.
///
/// # Errors
/// When a section does not decode or is unknown.
pub fn from_sections(
    header: BundleHeader,
    sections: &BTreeMap<String, impl AsRef<[u8]>>,
) -> Result<Bundle, DecodeError> {
    let mut bundle = Bundle { version: header.version, base: header.base, ..Bundle::default() };
    for (name, section) in sections {
        let bytes = section.as_ref();
        match name.as_str() {
            SERVICES => bundle.services = from_json(name, bytes)?,
            ROUTES_SECTION => bundle.routes = from_json(name, bytes)?,
            WINDOWS => bundle.windows = from_json(name, bytes)?,
            chunk if chunk.starts_with(TENANTS_PREFIX) => {
                let tenants: BTreeMap<TenantId, Tenant> = from_json(name, bytes)?;
                bundle.tenants.extend(tenants);
            }
            _ => return Err(DecodeError::UnknownSection(name.clone())),
        }
    }
    Ok(bundle)
}
