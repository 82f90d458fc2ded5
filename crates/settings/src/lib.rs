//! A node's settings: read once from a TOML file, `HOOKLUG_*` variables and flags, checked as a whole,
//! and typed from then on.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod model;

pub use model::{
    CoreSettings, EngineSettings, GatewayMode, GatewaySettings, OperatorSettings, Secret, Settings,
    StoreSettings,
};
