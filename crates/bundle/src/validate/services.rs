//! Validation of services and their versions.

use std::collections::BTreeSet;

use super::ValidationErrors;
use crate::{Bundle, HarmThresholds, Service, ServiceKind};

pub(super) fn check(bundle: &Bundle, errors: &mut ValidationErrors) {
    for (name, service) in &bundle.services {
        let path = format!("services.{name}");
        check_kind(&path, service, errors);
        check_versions(&path, service, errors);
        check_sizes(&path, service, errors);
        check_steps(&path, &service.steps, errors);
        check_harm(&path, &service.harm, errors);
    }
}

fn check_kind(path: &str, service: &Service, errors: &mut ValidationErrors) {
    let path = format!("{path}.model");
    match (service.kind, &service.model) {
        (ServiceKind::Model, None) => errors.add(path, "is missing, a model service needs one"),
        (ServiceKind::Application, Some(model)) => {
            errors.add(path, format!("is {model}, an application service must not have one"));
        }
        _ => {}
    }
}

fn check_versions(path: &str, service: &Service, errors: &mut ValidationErrors) {
    let path = format!("{path}.versions");
    if service.versions.is_empty() {
        errors.add(path, "is empty, at least one version is needed");
        return;
    }
    errors.require(
        service.newest_sound().is_some(),
        path.as_str(),
        "has no sound version, at least one must not be rolled back",
    );
    let mut seen = BTreeSet::new();
    for (index, entry) in service.versions.iter().enumerate() {
        errors.require(
            seen.insert(&entry.version),
            format!("{path}[{index}].version"),
            format!("is {}, which is listed already; versions must be unique", entry.version),
        );
    }
}

fn check_sizes(path: &str, service: &Service, errors: &mut ValidationErrors) {
    let sizes = [
        ("slots", service.slots),
        ("concurrency_per_engine", service.concurrency_per_engine),
        ("queue_per_engine", service.queue_per_engine),
        ("step_seconds", service.step_seconds),
    ];
    for (key, value) in sizes {
        errors.require(value > 0, format!("{path}.{key}"), "is 0, must be at least 1");
    }
}

fn check_steps(path: &str, steps: &[u8], errors: &mut ValidationErrors) {
    let path = format!("{path}.steps");
    let rising = steps.windows(2).all(|pair| pair[0] < pair[1]);
    let valid = rising && steps.first().is_some_and(|s| *s > 0) && steps.last() == Some(&100);
    errors.require(valid, path, format!("is {steps:?}, must rise from above 0 and end with 100"));
}

fn check_harm(path: &str, harm: &HarmThresholds, errors: &mut ValidationErrors) {
    let share = harm.error_share_above;
    errors.require(
        share > 0.0 && share <= 1.0,
        format!("{path}.harm.error_share_above"),
        format!("is {share}, must be above 0 and at most 1"),
    );
    let factor = harm.latency_factor;
    errors.require(
        factor > 1.0 && factor.is_finite(),
        format!("{path}.harm.latency_factor"),
        format!("is {factor}, must be above 1"),
    );
    errors.require(
        harm.least_samples > 0,
        format!("{path}.harm.least_samples"),
        "is 0, must be at least 1",
    );
}
