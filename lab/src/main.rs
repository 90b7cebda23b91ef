//! Command-line tool that runs the stand-ins, the demo, the benches and the
//! soak.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaseldrum_lab::cli::run()
}
