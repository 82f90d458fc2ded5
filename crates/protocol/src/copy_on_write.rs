//! Values that copies share until one of them is changed.

use std::ops::{Deref, DerefMut};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A value behind a shared pointer (ours). Cloning copies the pointer; the first change after a clone copies
/// the value. On the wire it is the value itself.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CopyOnWrite<T>(Arc<T>);

impl<T> CopyOnWrite<T> {
    /// Whether both are the very same copy; then they are equal without a look at the value.
    #[must_use]
    pub fn is_same_copy(&self, other: &Self) -> bool {
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
        self.is_same_copy(other) || *self.0 == *other.0
    }
}
