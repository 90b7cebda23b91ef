//! The `teaseldrum` binary. Every role and operator command is a subcommand.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaseldrum::cli::run()
}
