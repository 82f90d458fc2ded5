//! Caller authentication by tenant and key, compared in constant time.

use hooklug_bundle::{Bundle, Tenant};
use hooklug_types::TenantId;
use http::{HeaderMap, header};
use subtle::{Choice, ConstantTimeEq};

use super::problem::{Code, Problem};

/// Request header with the tenant.
pub const TENANT_HEADER: &str = "x-hooklug-tenant";

/// An authenticated caller.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The tenant.
    pub tenant: TenantId,
    /// Its entry in the bundle.
    pub entry: Tenant,
}

/// Checks the tenant and, if the tenant has keys, the bearer key.
///
/// # Errors
/// `unauthorized`; an unknown tenant and a wrong key yield the same response.
pub fn authorize(headers: &HeaderMap, bundle: &Bundle) -> Result<Caller, Problem> {
    let refused =
        || Problem::new(Code::Unauthorized, "the tenant is unknown or the key does not match");
    let named = headers.get(TENANT_HEADER).and_then(|value| value.to_str().ok());
    let text = named.ok_or_else(|| {
        Problem::field(Code::Unauthorized, TENANT_HEADER, "the header is missing")
    })?;
    let tenant = TenantId::new(text).map_err(|_| refused())?;
    let entry = bundle.tenants.get(&tenant).ok_or_else(refused)?;
    if entry.key_digests.is_empty() || key_matches(bearer(headers), &entry.key_digests) {
        return Ok(Caller { tenant, entry: entry.clone() });
    }
    Err(refused())
}

fn bearer(headers: &HeaderMap) -> &str {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    value.and_then(|text| text.strip_prefix("Bearer ")).unwrap_or_default()
}

/// Compares with every digest, so that the timing does not reveal which one matched.
fn key_matches(key: &str, digests: &[String]) -> bool {
    let found = blake3::hash(key.as_bytes()).to_hex();
    let matches = digests.iter().fold(Choice::from(0), |seen, digest| {
        seen | found.as_bytes().ct_eq(digest.to_ascii_lowercase().as_bytes())
    });
    matches.into()
}
