//! A node's settings: read once from a TOML file, `HOOKLUG_*` variables and flags, checked as a whole,
//! and typed from then on.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod check;
mod error;
mod load;
pub mod model;
pub mod schema;

pub use error::SettingFault;
pub use load::{Overrides, VARIABLE_PREFIX};
pub use model::{
    CoreSettings, EngineSettings, GatewayMode, GatewaySettings, OperatorSettings, Secret, Settings,
    StoreSettings,
};
