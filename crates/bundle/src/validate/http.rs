//! Validation of the routes for forwarded HTTP requests.

use std::collections::BTreeMap;

use super::ValidationErrors;
use crate::Bundle;
use crate::http::{HttpRoute, HttpRouting};

pub(super) fn check(bundle: &Bundle, errors: &mut ValidationErrors) {
    let Some(http) = &bundle.http else { return };
    let mut matched = BTreeMap::new();
    for (name, route) in &http.routes {
        let path = format!("http.routes.{name}");
        check_route(http, &path, route, errors);
        if let Some(other) = matched.insert((&route.host, &route.path_prefix), name) {
            let message = format!("serves the same host and path as {other}");
            errors.add(format!("{path}.path_prefix"), message);
        }
    }
}

fn check_route(http: &HttpRouting, path: &str, route: &HttpRoute, errors: &mut ValidationErrors) {
    let field = |name: &str| format!("{path}.{name}");
    errors.require(!route.host.is_empty(), field("host"), "is empty");
    let prefix = &route.path_prefix;
    let has_slashes = prefix.starts_with('/') && prefix.ends_with('/');
    let message = format!("is {prefix:?}, must begin and end with a slash");
    errors.require(has_slashes, field("path_prefix"), message);
    errors.require(route.timeout_ms > 0, field("timeout_ms"), "is 0, must be above");
    errors.require(route.max_attempts > 0, field("max_attempts"), "is 0, must be above");
    let weight: u64 = route.backends.iter().map(|b| u64::from(b.weight)).sum();
    errors.require(weight > 0, field("backends"), "the weights add up to 0");
    for backend in &route.backends {
        let known = http.services.contains_key(&backend.service);
        let message = format!("names the unknown service {}", backend.service);
        errors.require(known, field("backends"), message);
    }
}
