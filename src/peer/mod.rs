//! Control messages between teaseldrum's processes, over tarpc.
//!
//! Both roles serve one service, [`Peer`], on `listen.peers` on their control
//! thread. Traffic never goes this way. A call is bounded by a deadline, may
//! be repeated by the client, and so must be idempotent.
//!
//! To add a message:
//! 1. add a method to [`Peer`], its typed request and reply as structs in a
//!    file of their own, and `Result<_, PeerError>` as its return type;
//! 2. serve it in `entry::control` and `agent::control`; a role that does not
//!    serve it returns [`PeerError::NotServed`];
//! 3. call it: `peers.call(address, limit, |client, cx| async move {
//!    client.method(cx, request).await })`, from any thread.

mod call_error;
mod control_thread;
mod host_table;
mod metered_stream;
mod peer_connections;
mod peer_error;
mod revision_notice;
mod serve_peers;
mod service;
mod share_reply;
mod status;

pub use call_error::CallError;
pub use control_thread::ControlThread;
pub use host_table::HostTable;
pub use metered_stream::ByteCounts;
pub use peer_connections::PeerConnections;
pub use peer_error::PeerError;
pub use revision_notice::RevisionNotice;
pub use serve_peers::accept_peers;
pub use serve_peers::serve_connection;
pub use service::Peer;
pub use service::PeerClient;
pub use service::PeerRequest;
pub use service::PeerResponse;
pub use share_reply::ShareReply;
pub use status::PeerStatus;
pub use status::Role;
