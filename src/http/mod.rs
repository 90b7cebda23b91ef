//! HTTP/1.1 on top of hyper: a server with limits on connections, heads and
//! bodies, and a client whose errors tell whether a request was certainly not
//! sent and is therefore safe to send again.

mod body;
mod byte_budget;
mod byte_reservation;
mod caller_activity;
mod caller_left;
mod caller_presence;
mod caller_stream;
mod channel_body;
mod checked_stream;
mod client;
mod client_connection;
mod client_error;
mod connection_history;
mod event_stream;
mod exchange;
mod handled_body;
mod hop_by_hop_headers;
mod last_reads;
mod open_connection;
mod open_connections;
mod reader_limits;
mod send_buffer;
mod sent_body;
mod serve;
mod server_limits;
mod socket_options;

pub use body::BodyReadError;
pub use body::HttpBody;
pub use body::empty_body;
pub use body::full_body;
pub use body::read_body;
pub use body::read_body_in_budget;
pub use byte_budget::ByteBudget;
pub use byte_reservation::ByteReservation;
pub use caller_activity::CallerActivity;
pub use caller_activity::record_account;
pub use caller_activity::record_whole_body;
pub use channel_body::BodyAborted;
pub use channel_body::BodySender;
pub use channel_body::ChannelBody;
pub use client::Client;
pub use client::ClientTimeouts;
pub use client_error::ClientError;
pub use event_stream::EventStream;
pub use event_stream::EventStreamError;
pub use event_stream::write_event;
pub use exchange::Exchange;
pub use hop_by_hop_headers::strip_hop_by_hop_headers;
pub(crate) use open_connections::OpenConnections;
pub use reader_limits::ReaderLimits;
pub use serve::serve;
pub use server_limits::ServerLimits;
pub use server_limits::status_page_limits;
pub use socket_options::set_socket_options;
