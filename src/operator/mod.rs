//! Pages for operators and their tools: health, readiness and metrics.

mod observed;
mod operator_port;

pub use observed::Observed;
pub use operator_port::OperatorPort;
