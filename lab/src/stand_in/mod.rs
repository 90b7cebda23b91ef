//! What all stand-ins share: an HTTP server whose process can crash, be down
//! and come back, and whose connections can go silent.

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
