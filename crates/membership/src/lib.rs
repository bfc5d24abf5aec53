//! Membership of the nodes: pure decisions, no I/O.

mod choice;
mod members;
mod message;
mod news;
mod probes;
mod record;
mod ring;
mod settings;
mod table;
mod view;
mod window;

pub use choice::PeerChoice;
pub use members::{Dropped, Input, Listed, Members, Output};
pub use message::{Kind, Message, State, Update};
pub use settings::MemberSettings;
pub use view::{Reach, Row, Standing};
