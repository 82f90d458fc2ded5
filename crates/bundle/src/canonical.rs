//! One byte form per bundle, its digest, and its sections.
//!
//! A bundle travels as sections by digest, so that a change costs a node only what changed
//! (design page, section 7). Maps are sorted, so equal bundles give equal bytes.

use std::collections::BTreeMap;

use hooklug_types::{BundleVersion, Digest, TenantId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::Bundle;
use crate::http_sections::{self, HTTP, HttpChanges};
use crate::tenants::chunk_of;

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
    /// A section does not read back as the bytes it came from: another build wrote it.
    #[error("section {0:?} is not in the one byte form")]
    NotCanonical(String),
}

/// What a bundle says outside its sections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHeader {
    /// The bundle's version.
    pub version: BundleVersion,
    /// The version that it was built on.
    pub base: BundleVersion,
}

pub(crate) fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
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
    chunk_section(chunk_of(tenant))
}

fn chunk_section(number: u8) -> String {
    format!("{TENANTS_PREFIX}{number:02x}")
}

/// The bundle's content by section name; the header travels apart. Tenant sections without tenants are left out.
#[must_use]
pub fn sections(bundle: &Bundle) -> BTreeMap<String, Vec<u8>> {
    let mut sections = BTreeMap::from([
        (SERVICES.to_owned(), to_json(&bundle.services)),
        (ROUTES_SECTION.to_owned(), to_json(&bundle.routes)),
        (WINDOWS.to_owned(), to_json(&bundle.windows)),
    ]);
    let chunks = bundle.tenants.chunks();
    sections.extend(chunks.map(|(number, chunk)| (chunk_section(number), to_json(chunk))));
    sections.extend(bundle.http.iter().flat_map(http_sections::sections));
    sections
}

/// Digest of each section.
#[must_use]
pub fn section_digests(bundle: &Bundle) -> BTreeMap<String, Digest> {
    sections(bundle).into_iter().map(|(name, bytes)| (name, Digest::of(&bytes))).collect()
}

/// Puts a bundle together from its header and all its sections.
///
/// # Errors
/// When a section is unknown, does not decode, or is not in the one byte form.
pub fn from_sections(
    header: BundleHeader,
    sections: &BTreeMap<String, impl AsRef<[u8]>>,
) -> Result<Bundle, DecodeError> {
    let all = sections.iter().map(|(name, bytes)| (name.as_str(), Some(bytes.as_ref())));
    with_sections(&Bundle::default(), header, all)
}

/// A bundle that differs from a held one by its header and some sections; `None` stands for a section that is
/// gone. Decodes only these. A section must read back as the bytes it came from, so when each has the digest
/// that a record names, the whole has the record's digest too and need not be encoded for it.
///
/// # Errors
/// When a section is unknown, does not decode, or is not in the one byte form.
pub fn with_sections<'a>(
    held: &Bundle,
    header: BundleHeader,
    changed: impl IntoIterator<Item = (&'a str, Option<&'a [u8]>)>,
) -> Result<Bundle, DecodeError> {
    let mut bundle = Bundle { version: header.version, base: header.base, ..held.clone() };
    let mut http = HttpChanges::default();
    for (name, bytes) in changed {
        match name {
            SERVICES => bundle.services = section(name, bytes)?,
            ROUTES_SECTION => bundle.routes = section(name, bytes)?,
            WINDOWS => bundle.windows = section(name, bytes)?,
            _ if name.starts_with(HTTP) => http.take(name, bytes)?,
            _ => bundle.tenants.set_chunk(chunk_number(name)?, section(name, bytes)?),
        }
    }
    http.apply(&mut bundle.http)?;
    Ok(bundle)
}

/// Number of a section of tenants.
fn chunk_number(name: &str) -> Result<u8, DecodeError> {
    let number = name.strip_prefix(TENANTS_PREFIX).and_then(|n| u8::from_str_radix(n, 16).ok());
    number
        .filter(|number| chunk_section(*number) == name)
        .ok_or_else(|| DecodeError::UnknownSection(name.to_owned()))
}

/// Reads a section; one that is gone is empty.
pub(crate) fn section<T>(name: &str, bytes: Option<&[u8]>) -> Result<T, DecodeError>
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
