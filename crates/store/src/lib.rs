//! Client of the platform's object API and instance list.

mod confirm;
mod http;
mod memory;
mod store;
mod updates;
mod uri;

pub use confirm::write_and_confirm;
pub use http::{HttpSettings, HttpStore};
pub use memory::{CallCounts, InjectedFaults, MemoryStore};
pub use store::{
    BoxFuture, ConditionalWrite, Instance, InstanceState, Listing, Object, Precondition, Store,
    StoreError,
};
pub use updates::{CONFIG_PREFIX, listing_update, watch_update};
