//! Validation of tenants.

use std::collections::BTreeSet;

use super::ValidationErrors;
use crate::{Bundle, Tenant};

/// Length of a BLAKE3 digest, in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

pub(super) fn check(bundle: &Bundle, errors: &mut ValidationErrors) {
    for (id, tenant) in bundle.tenants.iter() {
        let path = format!("tenants.{id}");
        check_keys(&path, tenant, errors);
        let rate = tenant.limits.requests_per_second;
        errors.require(
            rate > 0.0 && rate.is_finite(),
            format!("{path}.limits.requests_per_second"),
            format!("is {rate}, must be above 0"),
        );
        errors.require(
            tenant.limits.concurrency > 0,
            format!("{path}.limits.concurrency"),
            "is 0, must be at least 1",
        );
    }
}

fn check_keys(path: &str, tenant: &Tenant, errors: &mut ValidationErrors) {
    let mut seen = BTreeSet::new();
    for (index, digest) in tenant.key_digests.iter().enumerate() {
        let path = format!("{path}.key_digests[{index}]");
        let hexadecimal = |c: char| matches!(c, '0'..='9' | 'a'..='f');
        let valid = digest.len() == DIGEST_DIGITS && digest.chars().all(hexadecimal);
        errors.require(
            valid,
            path.as_str(),
            format!("is {digest:?}, must be {DIGEST_DIGITS} lower-case hexadecimal digits"),
        );
        errors.require(seen.insert(digest), path, "is listed already; digests must be unique");
    }
}
