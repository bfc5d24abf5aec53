//! Model checks of the core protocols: they run the product's own machines.

pub mod one_map;
