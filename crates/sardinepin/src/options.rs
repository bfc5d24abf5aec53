//! Arguments and settings, apart from what the roles do with them.

mod arguments;
pub(crate) mod document;
mod faults;
pub(crate) mod fields;
mod load;
mod locate;
mod settings;
pub(crate) mod validate;

pub use arguments::{Invocation, PlatformArguments, RoleArguments, command, parse_arguments};
pub use faults::{FileFault, FileFaults};
pub use load::{default_yaml, load_settings, parse_settings};
pub use settings::{
    AgentSettings, ClusterFaults, ClusterSettings, EntrySettings, KeySetting, LogSettings,
    PlatformSettings, Settings, StopSettings,
};

#[cfg(test)]
mod tests;
