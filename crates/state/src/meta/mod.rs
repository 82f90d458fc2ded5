//! The meta group: cluster id, stores, shard map, bundles, roll-outs and the core leader's lease.

pub mod command;
pub mod record;

pub use command::{MetaAnswer, MetaCommand, MetaQuery, MetaRefusal, MetaReply, SubmitBundle};
pub use record::{
    BundleOrigin, BundleRecord, CoreLeader, GroupPlacement, HarmReport, MetaState, RollbackRecord,
    StoreRecord, StoreState,
};
