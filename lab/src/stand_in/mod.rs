//! Common base of the stand-ins: an HTTP server that a test can stop, restart
//! at the same address, or cut off from its open connections.

mod freezable_stream;
mod process_control;
mod responses;
mod serve;

pub use freezable_stream::FreezableStream;
pub use process_control::ProcessControl;
pub use process_control::ProcessState;
pub use responses::ConnectionDropped;
pub use responses::StandInResult;
pub use responses::json_response;
pub use responses::read_json;
pub use serve::start_stand_in;
