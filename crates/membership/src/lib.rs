//! Cluster membership: gossip, failure detection and the choice of the nodes that watch the
//! platform. State machines only, without I/O.

mod gossip_queue;
mod member_record;
mod membership;
mod message;
mod peer_selection;
mod probes;
mod replay_window;
mod ring;
mod settings;
mod table;
mod view;

pub use membership::{DropReason, Input, ListedNode, Membership, Output};
pub use message::{MemberState, MemberUpdate, Message, MessageKind};
pub use peer_selection::PeerChoice;
pub use settings::MemberSettings;
pub use view::{MemberStatus, MemberView, Reachability};
