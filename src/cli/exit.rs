//! Exit codes of all commands.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command did what it was told.
    Done,
    /// The command failed.
    Failed,
    /// The arguments or a file they name are faulty; nothing was changed.
    Faulty,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Done => Self::SUCCESS,
            Exit::Failed => Self::from(1),
            Exit::Faulty => Self::from(2),
        }
    }
}
