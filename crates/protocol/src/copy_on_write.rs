//! Copy-on-write values for large state that is cloned often.

use std::ops::{Deref, DerefMut};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A value behind a shared pointer. Cloning copies the pointer; the first mutation after a clone
/// copies the value. Serializes as the value itself.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CopyOnWrite<T>(Arc<T>);

impl<T> CopyOnWrite<T> {
    /// Whether both share the same allocation, and are therefore equal without comparing the
    /// values.
    #[must_use]
    pub fn ptr_eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl<T> Clone for CopyOnWrite<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> From<T> for CopyOnWrite<T> {
    fn from(value: T) -> Self {
        Self(Arc::new(value))
    }
}

impl<T> Deref for CopyOnWrite<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T: Clone> DerefMut for CopyOnWrite<T> {
    fn deref_mut(&mut self) -> &mut T {
        Arc::make_mut(&mut self.0)
    }
}

impl<T: PartialEq> PartialEq for CopyOnWrite<T> {
    fn eq(&self, other: &Self) -> bool {
        self.ptr_eq(other) || *self.0 == *other.0
    }
}
