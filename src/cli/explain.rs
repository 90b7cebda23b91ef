//! `teaseldrum explain`: reads log files and prints how one request was
//! handled.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use crate::explain::LogLine;
use crate::explain::RequestReport;

/// Print what decided the outcome of one request, from the logs of several
/// processes. Times are corrected by the clock differences that the gateway
/// logged.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// id of the request
    #[argh(option)]
    request: String,
    /// log files: one per process, named after it, or collected files in which
    /// each line begins with the name of its process
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl ExplainCommand {
    /// Prints the report; fails if no `call:` line names the request.
    pub fn run(self) -> Exit {
        if self.files.is_empty() {
            eprintln!("No log file given.");
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
                "No `call:` line in these logs names request {}; look at the `gateway:` lines of \
                 that time for a gateway that started, drained or stopped.",
                self.request
            );
            return Exit::Failure;
        };
        print!("{report}");
        Exit::Success
    }
}

/// Parses a log file. The file's stem names the process, unless the lines do.
/// Lines in any other format are skipped, and their number is printed to
/// standard error.
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
            "{}: {skipped} lines are no log lines and were skipped.",
            file.display()
        );
    }
    Ok(lines)
}
