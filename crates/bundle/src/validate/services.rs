//! Faults of services and their versions.

use std::collections::BTreeSet;

use super::Faults;
use crate::{Bundle, HarmThresholds, Service, ServiceKind};

pub(super) fn check(bundle: &Bundle, faults: &mut Faults) {
    for (name, service) in &bundle.services {
        let path = format!("services.{name}");
        check_kind(&path, service, faults);
        check_versions(&path, service, faults);
        check_sizes(&path, service, faults);
        check_steps(&path, &service.steps, faults);
        check_harm(&path, &service.harm, faults);
    }
}

fn check_kind(path: &str, service: &Service, faults: &mut Faults) {
    let path = format!("{path}.model");
    match (service.kind, &service.model) {
        (ServiceKind::Model, None) => faults.add(path, "is missing, a model service needs one"),
        (ServiceKind::Application, Some(model)) => {
            faults.add(path, format!("is {model}, an application service must not have one"));
        }
        _ => {}
    }
}

fn check_versions(path: &str, service: &Service, faults: &mut Faults) {
    let path = format!("{path}.versions");
    if service.versions.is_empty() {
        faults.add(path, "is empty, at least one version is needed");
        return;
    }
    faults.require(
        service.newest_sound().is_some(),
        path.as_str(),
        "has no sound version, at least one must not be rolled back",
    );
    let mut seen = BTreeSet::new();
    for (index, entry) in service.versions.iter().enumerate() {
        faults.require(
            seen.insert(&entry.version),
            format!("{path}[{index}].version"),
            format!("is {} a second time, versions must differ", entry.version),
        );
    }
}

fn check_sizes(path: &str, service: &Service, faults: &mut Faults) {
    let sizes = [
        ("slots", service.slots),
        ("concurrency_per_engine", service.concurrency_per_engine),
        ("queue_per_engine", service.queue_per_engine),
        ("step_seconds", service.step_seconds),
    ];
    for (key, value) in sizes {
        faults.require(value > 0, format!("{path}.{key}"), "is 0, must be at least 1");
    }
}

fn check_steps(path: &str, steps: &[u8], faults: &mut Faults) {
    let path = format!("{path}.steps");
    let rising = steps.windows(2).all(|pair| pair[0] < pair[1]);
    let sound = rising && steps.first().is_some_and(|s| *s > 0) && steps.last() == Some(&100);
    faults.require(sound, path, format!("is {steps:?}, must rise from above 0 to 100 at its end"));
}

fn check_harm(path: &str, harm: &HarmThresholds, faults: &mut Faults) {
    let share = harm.error_share_above;
    faults.require(
        share > 0.0 && share <= 1.0,
        format!("{path}.harm.error_share_above"),
        format!("is {share}, must be above 0 and at most 1"),
    );
    let factor = harm.latency_factor;
    faults.require(
        factor > 1.0 && factor.is_finite(),
        format!("{path}.harm.latency_factor"),
        format!("is {factor}, must be above 1"),
    );
    faults.require(
        harm.least_samples > 0,
        format!("{path}.harm.least_samples"),
        "is 0, must be at least 1",
    );
}
