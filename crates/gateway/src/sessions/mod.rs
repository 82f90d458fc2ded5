//! Sessions: ownership, placement, takeover and event streams.

pub mod cursor;
pub mod engines;
pub mod follower;
pub mod load;
pub mod messages;
pub mod opening;
pub mod owner_table;
pub mod owners;
pub mod placement;
pub mod takeover;
pub mod turns;
