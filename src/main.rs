//! The one binary of teaseldrum.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaseldrum::cli::run()
}
