//! Command line: one command a file.

mod bench;

use std::process::ExitCode;

use argh::FromArgs;
use teaseldrum::cli::Exit;

/// Stand-ins, demo and experiments of teaseldrum.
#[derive(Debug, FromArgs)]
#[argh(note = "Exit codes: 0 done, 1 the command failed, 2 wrong arguments.")]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Bench(bench::BenchCommand),
}

/// Reads the arguments of the process and runs the command they name.
pub fn run() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match Arguments::from_args(&words[..1], &words[1..]) {
        Ok(arguments) => arguments.run().into(),
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            Exit::Done.into()
        }
        Err(early) => {
            eprintln!("{}", early.output);
            Exit::Faulty.into()
        }
    }
}

impl Arguments {
    fn run(self) -> Exit {
        match self.command {
            Command::Bench(command) => command.run(),
        }
    }
}
