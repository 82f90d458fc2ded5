//! Validation of windows, one by one and of overlapping ones.

use std::collections::{BTreeMap, BTreeSet};

use hooklug_types::{ServiceName, UnixMillis, WindowGroup, WindowName};

use super::ValidationErrors;
use crate::{Bundle, Window};

pub(super) fn check(bundle: &Bundle, errors: &mut ValidationErrors) {
    let groups: BTreeSet<&WindowGroup> =
        bundle.tenants.values().filter_map(|t| t.group.as_ref()).collect();
    for (name, window) in &bundle.windows {
        let path = format!("windows.{name}");
        check_window(bundle, &path, window, errors);
        errors.require(
            groups.contains(&window.group),
            format!("{path}.group"),
            format!("is {}, a group without tenants", window.group),
        );
    }
    for (service, windows) in by_service(bundle) {
        let slots = bundle.services.get(service).map_or(u64::MAX, |s| u64::from(s.slots));
        check_overlaps(service, slots, &windows, errors);
    }
}

fn check_window(bundle: &Bundle, path: &str, window: &Window, errors: &mut ValidationErrors) {
    errors.require(
        window.start < window.end,
        format!("{path}.end"),
        format!("is {}, must be after the start, {}", window.end, window.start),
    );
    errors.require(
        bundle.services.contains_key(&window.service),
        format!("{path}.service"),
        format!("is {}, which is not a service of the bundle", window.service),
    );
    errors.require(window.slots > 0, format!("{path}.slots"), "is 0, must be at least 1");
}

type NamedWindows<'a> = Vec<(&'a WindowName, &'a Window)>;

fn by_service(bundle: &Bundle) -> BTreeMap<&ServiceName, NamedWindows<'_>> {
    let mut services: BTreeMap<&ServiceName, NamedWindows<'_>> = BTreeMap::new();
    for (name, window) in &bundle.windows {
        if window.start < window.end {
            services.entry(&window.service).or_default().push((name, window));
        }
    }
    services
}

/// Checks that overlapping windows reserve no more slots than the service has. The sum of reserved
/// slots grows only where a window starts, so only those instants are checked.
fn check_overlaps(
    service: &ServiceName,
    slots: u64,
    windows: &NamedWindows<'_>,
    errors: &mut ValidationErrors,
) {
    for (name, window) in windows {
        let open = |at: UnixMillis, w: &Window| w.start <= at && at < w.end;
        let overlapping: NamedWindows<'_> =
            windows.iter().filter(|(_, w)| open(window.start, w)).copied().collect();
        let reserved: u64 = overlapping.iter().map(|(_, w)| u64::from(w.slots)).sum();
        if reserved > slots {
            let names: Vec<&str> = overlapping.iter().map(|(n, _)| n.as_str()).collect();
            errors.add(
                format!("windows.{name}.slots"),
                format!(
                    "windows {} together reserve {reserved} slots at {}, service {service} has {slots}",
                    names.join(", "),
                    window.start
                ),
            );
        }
    }
}
