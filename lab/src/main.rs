//! The experiment tool of teaseldrum.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaseldrum_lab::cli::run()
}
