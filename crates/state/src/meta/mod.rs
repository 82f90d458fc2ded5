//! The meta group: cluster id, stores, shard map, bundles, rollouts and the core leader's lease.

mod archive;
mod bundles;
pub mod command;
mod formation;
mod leadership;
mod machine;
mod placement;
pub mod record;
mod rollback;
mod rollouts;
mod stores;

pub use archive::{RETAINED_CONTENT_BYTES, RETAINED_VERSIONS};
pub use command::{
    BundleContent, MetaAnswer, MetaCommand, MetaQuery, MetaRefusal, MetaReply, SubmitBundle,
};
pub use machine::MetaMachine;
pub use record::{
    BundleOrigin, BundleRecord, CoreLeader, GroupPlacement, HarmReport, MetaState, RollbackRecord,
    StoreRecord, StoreState,
};
pub use rollback::RETAINED_ROLLBACKS;
pub use rollouts::{LOAD_STEP_PERMILLE, RolloutPhase, RolloutRecord};
