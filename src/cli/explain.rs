//! `teaseldrum explain`: the story of one request, from logs.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use crate::explain::LogLine;
use crate::explain::RequestReport;

/// Print what decided about one request, from the logs of several processes.
/// Clocks that differ are put right by what the gateway measured.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// identity of the request
    #[argh(option)]
    request: String,
    /// log files, one a process, named like it; or collected ones, each of
    /// whose lines begins with the process
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl ExplainCommand {
    /// Prints the story; fails if no gateway has read the request.
    pub fn run(self) -> Exit {
        if self.files.is_empty() {
            eprintln!("A log file is needed.");
            return Exit::InvalidInput;
        }
        let mut lines = Vec::new();
        for file in &self.files {
            match read_lines(file) {
                Ok(parsed) => lines.extend(parsed),
                Err(e) => {
                    eprintln!("{}: {e}", file.display());
                    return Exit::InvalidInput;
                }
            }
        }
        let Some(report) = RequestReport::build(&lines, &self.request) else {
            eprintln!(
                "No gateway has read request {} in these logs; look at `gateway:` lines of \
                 that time for one that started, drained or stopped.",
                self.request
            );
            return Exit::Failure;
        };
        print!("{report}");
        Exit::Success
    }
}

/// Reads a log; lines of other programs are counted and left out.
fn read_lines(file: &Path) -> std::io::Result<Vec<LogLine>> {
    let process = file.file_stem().map(|stem| stem.to_string_lossy());
    let process = process.unwrap_or_default();
    let text = String::from_utf8_lossy(&fs::read(file)?).into_owned();
    let mut lines = Vec::new();
    let mut skipped = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match LogLine::parse(line, &process) {
            Ok(line) => lines.push(line),
            Err(_) => skipped += 1,
        }
    }
    if skipped > 0 {
        eprintln!(
            "{}: {skipped} lines are no log lines and were left out.",
            file.display()
        );
    }
    Ok(lines)
}
