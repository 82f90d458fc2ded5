//! Bundles as canonical bytes and as sections, which versions share by digest.

use std::collections::BTreeMap;

use hooklug_bundle::{Bundle, Tenant};
use hooklug_types::{BundleVersion, Digest, TenantId};
use serde::Serialize;
use serde::de::DeserializeOwned;

const SERVICES: &str = "services";
const ROUTES: &str = "routes";
const WINDOWS: &str = "windows";
const TENANTS: &str = "tenants";

/// Why bytes are no bundle.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum CanonicalError {
    /// They do not decode.
    #[error("{part} does not decode: {reason}")]
    Decode { part: String, reason: String },
    /// They decode, but are not the bytes that the encoder makes.
    #[error("the bytes are not canonical")]
    NotCanonical,
}

/// Canonical bytes: compact JSON with maps in key order.
pub(super) fn canonical_bytes(bundle: &Bundle) -> Vec<u8> {
    json(bundle)
}

/// Decodes canonical bytes and checks that they are canonical.
pub(super) fn decode(bytes: &[u8]) -> Result<Bundle, CanonicalError> {
    let bundle: Bundle = part("bundle", bytes)?;
    if canonical_bytes(&bundle) == bytes { Ok(bundle) } else { Err(CanonicalError::NotCanonical) }
}

/// A bundle's sections by name; tenants are cut in sixteen by the first digit of their id's digest.
pub(super) fn sections(bundle: &Bundle) -> BTreeMap<String, Vec<u8>> {
    let mut sections = BTreeMap::from([
        (SERVICES.to_owned(), json(&bundle.services)),
        (ROUTES.to_owned(), json(&bundle.routes)),
        (WINDOWS.to_owned(), json(&bundle.windows)),
    ]);
    let mut chunks: BTreeMap<String, BTreeMap<&TenantId, &Tenant>> = BTreeMap::new();
    for (id, tenant) in &bundle.tenants {
        chunks.entry(tenant_section(id)).or_default().insert(id, tenant);
    }
    sections.extend(chunks.into_iter().map(|(name, tenants)| (name, json(&tenants))));
    sections
}

/// The bundle that these sections came from.
pub(super) fn from_sections(
    version: BundleVersion,
    base: BundleVersion,
    sections: &BTreeMap<String, Vec<u8>>,
) -> Result<Bundle, CanonicalError> {
    let mut bundle = Bundle { version, base, ..Bundle::default() };
    for (name, bytes) in sections {
        match name.as_str() {
            SERVICES => bundle.services = part(name, bytes)?,
            ROUTES => bundle.routes = part(name, bytes)?,
            WINDOWS => bundle.windows = part(name, bytes)?,
            _ => bundle.tenants.extend(part::<BTreeMap<TenantId, Tenant>>(name, bytes)?),
        }
    }
    Ok(bundle)
}

fn tenant_section(id: &TenantId) -> String {
    let first_digit = Digest::of(id.as_str().as_bytes()).0[0] >> 4;
    format!("{TENANTS}/{first_digit:x}")
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    // Plain data with text keys into a growing buffer: the encoder has no way to fail.
    serde_json::to_vec(value).unwrap_or_default()
}

fn part<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, CanonicalError> {
    serde_json::from_slice(bytes)
        .map_err(|e| CanonicalError::Decode { part: name.to_owned(), reason: e.to_string() })
}
