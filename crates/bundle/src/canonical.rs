//! Canonical encoding of a bundle, its digest, and its division into sections.
//!
//! Nodes fetch bundles section by section and compare digests, so that they transfer only the
//! sections that changed (design page, section 7). Maps are sorted, so equal bundles have equal
//! bytes.

use std::collections::BTreeMap;

use hooklug_types::{BundleVersion, Digest, TenantId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::Bundle;
use crate::http_sections::{self, HTTP_SECTION, HttpChanges};
use crate::tenants::chunk_of;

const SERVICES_SECTION: &str = "services";
/// Name of the section that holds the routes.
pub const ROUTES_SECTION: &str = "routes";
const WINDOWS_SECTION: &str = "windows";
const TENANTS_PREFIX: &str = "tenants/";

/// Error of decoding a bundle or one of its sections.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes cannot be decoded.
    #[error("{part} does not decode: {reason}")]
    Malformed {
        /// `bundle`, or the name of the section.
        part: String,
        /// Error message of the decoder.
        reason: String,
    },
    /// This version of the program does not know the section's name.
    #[error("unknown section {0:?}")]
    UnknownSection(String),
    /// Encoding the decoded section gives other bytes; it was written by an incompatible build.
    #[error("section {0:?} is not in the one byte form")]
    NotCanonical(String),
}

/// Fields of a bundle that are not part of any section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHeader {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Version that the bundle is based on.
    pub base: BundleVersion,
}

pub(crate) fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding plain data with string keys into a growable buffer cannot fail.
    serde_json::to_vec(value).unwrap_or_default()
}

fn from_json<T: DeserializeOwned>(part: &str, bytes: &[u8]) -> Result<T, DecodeError> {
    serde_json::from_slice(bytes)
        .map_err(|e| DecodeError::Malformed { part: part.to_owned(), reason: e.to_string() })
}

/// Encodes a bundle in canonical form: compact JSON with sorted keys.
#[must_use]
pub fn canonical_bytes(bundle: &Bundle) -> Vec<u8> {
    to_json(bundle)
}

/// Decodes a bundle encoded by [`canonical_bytes`].
///
/// # Errors
/// When the bytes are not a valid encoding of a bundle.
pub fn decode(bytes: &[u8]) -> Result<Bundle, DecodeError> {
    from_json("bundle", bytes)
}

/// Digest of the bundle's canonical bytes.
#[must_use]
pub fn digest(bundle: &Bundle) -> Digest {
    Digest::of(&canonical_bytes(bundle))
}

/// Name of the section that holds a tenant: one of 256, selected by the first byte of the BLAKE3
/// digest of the tenant's id. With 17,000 tenants, a section is then about as long as the list of
/// all sections' digests, which minimizes the cost of changing one tenant.
#[must_use]
pub fn tenant_section(tenant: &TenantId) -> String {
    chunk_section(chunk_of(tenant))
}

fn chunk_section(number: u8) -> String {
    format!("{TENANTS_PREFIX}{number:02x}")
}

/// Encodes the bundle's content as sections by name. The header is not included; empty tenant
/// sections are omitted.
#[must_use]
pub fn sections(bundle: &Bundle) -> BTreeMap<String, Vec<u8>> {
    let mut sections = BTreeMap::from([
        (SERVICES_SECTION.to_owned(), to_json(&bundle.services)),
        (ROUTES_SECTION.to_owned(), to_json(&bundle.routes)),
        (WINDOWS_SECTION.to_owned(), to_json(&bundle.windows)),
    ]);
    let chunks = bundle.tenants.chunks();
    sections.extend(chunks.map(|(number, chunk)| (chunk_section(number), to_json(chunk))));
    sections.extend(bundle.http.iter().flat_map(http_sections::sections));
    sections
}

/// Digests of the bundle's sections by name.
#[must_use]
pub fn section_digests(bundle: &Bundle) -> BTreeMap<String, Digest> {
    sections(bundle).into_iter().map(|(name, bytes)| (name, Digest::of(&bytes))).collect()
}

/// Assembles a bundle from its header and all its sections.
///
/// # Errors
/// When a section is unknown, cannot be decoded, or is not in canonical form.
pub fn from_sections(
    header: BundleHeader,
    sections: &BTreeMap<String, impl AsRef<[u8]>>,
) -> Result<Bundle, DecodeError> {
    let all = sections.iter().map(|(name, bytes)| (name.as_str(), Some(bytes.as_ref())));
    with_sections(&Bundle::default(), header, all)
}

/// Builds a bundle from a base bundle, a new header and changed sections; `None` marks a removed
/// section.
///
/// Only the changed sections are decoded. Each must be in canonical form, so if every section has
/// the digest that a bundle record names, the bundle has the record's digest and need not be
/// encoded to compute it.
///
/// # Errors
/// When a section is unknown, cannot be decoded, or is not in canonical form.
pub fn with_sections<'a>(
    base: &Bundle,
    header: BundleHeader,
    changed: impl IntoIterator<Item = (&'a str, Option<&'a [u8]>)>,
) -> Result<Bundle, DecodeError> {
    let mut bundle = Bundle { version: header.version, base: header.base, ..base.clone() };
    let mut http = HttpChanges::default();
    for (name, bytes) in changed {
        match name {
            SERVICES_SECTION => bundle.services = decode_section(name, bytes)?,
            ROUTES_SECTION => bundle.routes = decode_section(name, bytes)?,
            WINDOWS_SECTION => bundle.windows = decode_section(name, bytes)?,
            _ if name.starts_with(HTTP_SECTION) => http.add(name, bytes)?,
            _ => bundle.tenants.set_chunk(chunk_number(name)?, decode_section(name, bytes)?),
        }
    }
    http.apply(&mut bundle.http)?;
    Ok(bundle)
}

/// Parses the chunk number from the name of a tenant section.
fn chunk_number(name: &str) -> Result<u8, DecodeError> {
    let number = name.strip_prefix(TENANTS_PREFIX).and_then(|n| u8::from_str_radix(n, 16).ok());
    number
        .filter(|number| chunk_section(*number) == name)
        .ok_or_else(|| DecodeError::UnknownSection(name.to_owned()))
}

/// Decodes a section; a removed section (`None`) decodes as empty.
pub(crate) fn decode_section<T>(name: &str, bytes: Option<&[u8]>) -> Result<T, DecodeError>
where
    T: Default + Serialize + DeserializeOwned,
{
    let Some(bytes) = bytes else { return Ok(T::default()) };
    let content: T = from_json(name, bytes)?;
    if to_json(&content) != bytes {
        return Err(DecodeError::NotCanonical(name.to_owned()));
    }
    Ok(content)
}
