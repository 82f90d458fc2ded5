//! Differences between two bundles, value by value.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Value;

use crate::Bundle;

/// One value that differs.
#[derive(Debug, Clone, PartialEq)]
pub struct BundleChange {
    /// Dotted path of the value.
    pub path: String,
    /// Old value; `None` if it was added.
    pub before: Option<Value>,
    /// New value; `None` if it was removed.
    pub after: Option<Value>,
}

impl fmt::Display for BundleChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Returns all values that differ, ordered by path. A list counts as one value.
#[must_use]
pub fn diff(before: &Bundle, after: &Bundle) -> Vec<BundleChange> {
    let mut changes = Vec::new();
    // A bundle is plain data with string keys, so the conversion cannot fail.
    let before = serde_json::to_value(before).ok();
    let after = serde_json::to_value(after).ok();
    compare("", before.as_ref(), after.as_ref(), &mut changes);
    changes
}

fn compare(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<BundleChange>,
) {
    if before == after {
        return;
    }
    let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) else {
        changes.push(BundleChange {
            path: path.to_owned(),
            before: before.cloned(),
            after: after.cloned(),
        });
        return;
    };
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for key in keys {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        compare(&path, old.get(key), new.get(key), changes);
    }
}
