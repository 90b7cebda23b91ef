//! Learns how fast each server works, which servers are silent and how long responses
//! take, and predicts times from that.

mod answer_gap;
mod hot_parts;
mod log_mean;
mod response_times;
mod service_speed;
mod speed;
mod speed_evidence;
mod speed_update;
mod work_kind;

pub(super) use answer_gap::AnswerGap;
pub(super) use hot_parts::HotParts;
pub use response_times::ResponseTimes;
pub use service_speed::ServiceSpeed;
pub use speed::ServerSpeed;
pub use speed::SpeedFactor;
pub(super) use speed_evidence::SpeedEvidence;
pub use speed_update::SpeedNotice;
pub use speed_update::SpeedUpdate;
pub use work_kind::WorkKind;
