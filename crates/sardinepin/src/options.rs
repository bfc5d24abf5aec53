//! The command line and the settings file: parsing and validation.

mod arguments;
pub(crate) mod document;
mod errors;
pub(crate) mod fields;
mod load;
mod locate;
mod policy;
mod settings;
pub(crate) mod validate;

pub use arguments::{Invocation, PlatformArguments, RoleArguments, command, parse_arguments};
pub use errors::{FileError, FileErrors};
pub use load::{default_yaml, load_settings, parse_settings};
pub use policy::{PolicyError, policy_with};
pub use settings::{
    AgentSettings, ClusterSettings, EntrySettings, FaultInjectionSettings, KeySetting, LogSettings,
    PlatformSettings, Settings, StopSettings,
};

#[cfg(test)]
mod tests;
