//! Arguments and settings, apart from what the roles do with them.

mod settings;

pub use settings::{
    AgentSettings, ClusterSettings, EntrySettings, KeySetting, LogSettings, PlatformSettings,
    Settings, StopSettings,
};
