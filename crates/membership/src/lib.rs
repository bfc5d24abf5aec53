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
pub use members::{DropReason, Input, ListedNode, Membership, Output};
pub use message::{MemberState, MemberUpdate, Message, MessageKind};
pub use settings::MemberSettings;
pub use view::{LinkState, MemberStatus, MemberView};
