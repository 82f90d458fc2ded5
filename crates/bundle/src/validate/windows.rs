//! Faults of windows, alone and together.

use std::collections::{BTreeMap, BTreeSet};

use hooklug_types::{ServiceName, UnixMillis, WindowGroup, WindowName};

use super::Faults;
use crate::{Bundle, Window};

pub(super) fn check(bundle: &Bundle, faults: &mut Faults) {
    let groups: BTreeSet<&WindowGroup> =
        bundle.tenants.values().filter_map(|t| t.group.as_ref()).collect();
    for (name, window) in &bundle.windows {
        let path = format!("windows.{name}");
        check_one(bundle, &path, window, faults);
        faults.require(
            groups.contains(&window.group),
            format!("{path}.group"),
            format!("is {}, which no tenant belongs to", window.group),
        );
    }
    for (service, windows) in by_service(bundle) {
        let slots = bundle.services.get(service).map_or(u64::MAX, |s| u64::from(s.slots));
        check_overlaps(service, slots, &windows, faults);
    }
}

fn check_one(bundle: &Bundle, path: &str, window: &Window, faults: &mut Faults) {
    faults.require(
        window.start < window.end,
        format!("{path}.end"),
        format!("is {}, must be after the start, {}", window.end, window.start),
    );
    faults.require(
        bundle.services.contains_key(&window.service),
        format!("{path}.service"),
        format!("is {}, which is no service of the bundle", window.service),
    );
    faults.require(window.slots > 0, format!("{path}.slots"), "is 0, must be at least 1");
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

/// The sum of reserved slots only grows where a window starts, so those instants are the ones to look at.
fn check_overlaps(
    service: &ServiceName,
    slots: u64,
    windows: &NamedWindows<'_>,
    faults: &mut Faults,
) {
    for (name, window) in windows {
        let open = |at: UnixMillis, w: &Window| w.start <= at && at < w.end;
        let together: NamedWindows<'_> =
            windows.iter().filter(|(_, w)| open(window.start, w)).copied().collect();
        let reserved: u64 = together.iter().map(|(_, w)| u64::from(w.slots)).sum();
        if reserved > slots {
            let names: Vec<&str> = together.iter().map(|(n, _)| n.as_str()).collect();
            faults.add(
                format!("windows.{name}.slots"),
                format!(
                    "windows {} together keep {reserved} slots at {}, service {service} has {slots}",
                    names.join(", "),
                    window.start
                ),
            );
        }
    }
}
