//! Control messages between teaseldrum's processes, over tarpc. A *peer* is another
//! process of the fleet, in the role of entry or agent.
//!
//! Both roles serve one service, [`Peer`], at the address `listen.peers` on their
//! control thread. Requests of callers never use it. Each call has a deadline. The
//! client may retry a call, so every method must be idempotent.
//!
//! To add a message:
//! 1. Add a method to [`Peer`] that returns `Result<_, PeerError>`, with its request
//!    and response as structs in a file of their own.
//! 2. Implement it in `entry::control` and `agent::control`. A role that does not
//!    serve it returns [`PeerError::NotServed`].
//! 3. Call it from any thread: `peers.call(address, timeout, |client, cx| async move {
//!    client.method(cx, request).await })`.

mod bounded_stream;
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

pub use bounded_stream::BoundedStream;
pub use call_error::CallError;
pub use control_thread::ControlThread;
pub use host_table::HostTable;
pub use metered_stream::ByteCounts;
pub use peer_connections::PeerConnections;
pub use peer_error::PeerError;
pub use revision_notice::RevisionNotice;
pub use serve_peers::MAX_PEER_CONNECTIONS;
pub use serve_peers::accept_peers;
pub use serve_peers::serve_connection;
pub use service::Peer;
pub use service::PeerClient;
pub use service::PeerRequest;
pub use service::PeerResponse;
pub use share_reply::ShareReply;
pub use status::PeerStatus;
pub use status::Role;
