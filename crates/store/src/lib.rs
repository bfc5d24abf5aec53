//! Client of the platform's object API and instance list.

mod http;
mod memory;
mod offers;
mod settle;
mod store;
mod uri;

pub use http::{HttpSettings, HttpStore};
pub use memory::{Calls, Faults, MemoryStore};
pub use offers::{CONFIG_PREFIX, newer_offer, whole_offer};
pub use settle::write_settled;
pub use store::{
    BoxFuture, Change, Expect, Instance, InstanceState, Listing, Object, Store, StoreError,
};
