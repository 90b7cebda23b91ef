//! What all stand-ins share: an HTTP server whose process can crash, be down
//! and come back, and whose connections can go silent.

mod answers;
mod freezable_stream;
mod life;
mod serve;

pub use answers::Dropped;
pub use answers::StandInAnswer;
pub use answers::answer_json;
pub use answers::read_json;
pub use freezable_stream::FreezableStream;
pub use life::Life;
pub use life::LifeState;
pub use serve::start_stand_in;
