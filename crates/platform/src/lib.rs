//! Client of the platform's object API and instance list.

mod store;

pub use store::{
    BoxFuture, Change, Expect, Instance, InstanceState, Listing, Object, Store, StoreError,
};
