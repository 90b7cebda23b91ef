//! Exit codes of all commands.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command did what it was told.
    Success,
    /// The command failed.
    Failure,
    /// The arguments or a file they name are faulty; nothing was changed.
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
