//! Exit codes that all commands share.

use std::process::ExitCode;

/// Result of a command, which decides the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded; exit code 0.
    Success,
    /// The input was valid but the command failed; exit code 1.
    Failure,
    /// The arguments or a file that they name are invalid, and nothing was
    /// changed; exit code 2.
    InvalidInput,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => Self::SUCCESS,
            Exit::Failure => Self::from(1),
            Exit::InvalidInput => Self::from(2),
        }
    }
}
