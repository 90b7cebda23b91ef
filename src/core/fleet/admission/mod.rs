//! Holds calls in the entry until a server is predicted to have room, and refuses
//! those that cannot start in time.

mod account_weights;
mod admission_decision;
mod admission_queue;
mod call_kind_state;
mod candidates;
mod demand_shares;
mod offered_call;
mod prediction_error;
mod return_schedule;
mod service_demand;
mod service_queue;
mod start_estimate;

pub use admission_decision::AdmissionDecision;
pub use admission_decision::AdmissionRefusal;
pub use admission_decision::RefusalReason;
pub use admission_queue::AdmissionGauges;
pub use admission_queue::AdmissionQueue;
pub use admission_queue::AdmissionTicket;
pub use candidates::Candidates;
pub use offered_call::OfferedCall;
pub use prediction_error::PredictionError;
pub use service_demand::ServiceDemand;
pub use start_estimate::StartEstimate;
