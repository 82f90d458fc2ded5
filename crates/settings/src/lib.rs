//! Settings of a node, read once at startup from a TOML file, `HOOKLUG_*` variables and flags,
//! validated together, and converted to typed values.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod check;
mod error;
mod load;
pub mod model;
pub mod schema;

pub use error::SettingError;
pub use load::{Overrides, VARIABLE_PREFIX};
pub use model::{
    CoreSettings, EngineSettings, GatewayMode, GatewaySettings, OperatorSettings, Secret, Settings,
    StoreSettings,
};
