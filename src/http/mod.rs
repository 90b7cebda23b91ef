//! HTTP for the traffic path: a bounded server and a client that knows when
//! a request certainly did not leave. The protocol itself is hyper's.

mod body;
mod body_budget;
mod channel_body;
mod client;
mod client_error;
mod connection_headers;
mod event_stream;
mod exchange;
mod prepare_socket;
mod serve;
mod server_limits;

pub use body::AnswerBody;
pub use body::BodyReadError;
pub use body::empty_body;
pub use body::full_body;
pub use body::read_body;
pub use body::read_body_within;
pub use body_budget::BodyBudget;
pub use body_budget::BodyShare;
pub use channel_body::BodySender;
pub use channel_body::ChannelBody;
pub use channel_body::StreamCut;
pub use client::Client;
pub use client::ClientTimeouts;
pub use client_error::ClientError;
pub use connection_headers::strip_connection_headers;
pub use event_stream::EventStream;
pub use event_stream::EventStreamError;
pub use event_stream::write_event;
pub use exchange::Exchange;
pub use prepare_socket::prepare_socket;
pub use serve::serve;
pub use server_limits::ServerLimits;
pub use server_limits::page_limits;
