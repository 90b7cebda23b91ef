//! Runs a complete small deployment on loopback inside one process and sends it
//! streamed traffic.

mod callers;
mod curl_lines;
mod deployment_spec;
mod fleet;
mod measures;
mod prompts;

pub use callers::send_traffic;
pub use curl_lines::print_curl_lines;
pub use deployment_spec::AccountSpec;
pub use deployment_spec::DeploymentSpec;
pub use fleet::Fleet;
pub use measures::Measures;
