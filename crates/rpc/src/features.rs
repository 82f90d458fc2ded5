//! Features of builds, which processes tell each other in the handshake, so that processes of two
//! builds can run side by side.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use hooklug_types::NodeId;
use serde::{Deserialize, Deserializer, Serialize};

/// Something that the builds before did not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feature {
    /// Applies the details of a shard's clock steps.
    ClockStepDetails,
}

impl Feature {
    const fn bit(self) -> u32 {
        match self {
            Self::ClockStepDetails => 1,
        }
    }
}

/// The features of a build.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Features(u32);

impl Features {
    /// Features of this build.
    pub(crate) const OWN: Self = Self(Feature::ClockStepDetails.bit());

    /// Decodes the features at the end of a message, where the builds before wrote nothing.
    pub(crate) fn decode_last<'de, D: Deserializer<'de>>(decoder: D) -> Result<Self, D::Error> {
        Ok(Self::deserialize(decoder).unwrap_or_default())
    }
}

/// Features of the stores that have connected to this process, or to which it has connected.
#[derive(Debug, Default)]
pub struct PeerFeatures {
    stores: Mutex<BTreeMap<NodeId, Features>>,
}

impl PeerFeatures {
    /// Whether a store is known not to have a feature. Nothing is known of one that was never
    /// connected.
    #[must_use]
    pub fn lacks(&self, store: NodeId, feature: Feature) -> bool {
        let stores = self.stores.lock().unwrap_or_else(PoisonError::into_inner);
        stores.get(&store).is_some_and(|features| features.0 & feature.bit() == 0)
    }

    pub(crate) fn record(&self, store: NodeId, features: Features) {
        let mut stores = self.stores.lock().unwrap_or_else(PoisonError::into_inner);
        stores.insert(store, features);
    }
}
