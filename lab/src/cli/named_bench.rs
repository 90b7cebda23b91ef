//! Subcommands for the benches of the [`BENCHES`] table, which all take the
//! same options. They are registered with argh at run time.

use std::sync::LazyLock;

use argh::CommandInfo;
use argh::DynamicSubCommand;
use argh::EarlyExit;
use argh::FromArgs;
use teaseldrum::cli::Exit;

use crate::bench::BENCHES;
use crate::bench::Bench;
use crate::bench::find_bench;

/// Bench of the [`BENCHES`] table with its options.
#[derive(Debug)]
pub struct NamedBench {
    bench: &'static Bench,
    options: Options,
}

/// Run the bench and print what it measured.
#[derive(Debug, FromArgs)]
struct Options {
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
    /// seed for all random values
    #[argh(option, default = "1")]
    seed: u64,
}

static COMMANDS: LazyLock<Vec<&'static CommandInfo>> = LazyLock::new(|| {
    let commands = BENCHES.iter().map(|bench| CommandInfo {
        name: bench.name,
        short: &'\0',
        description: "Run the bench and print what it measured.",
    });
    let leaked_commands: &'static [CommandInfo] = commands.collect::<Vec<_>>().leak();
    leaked_commands.iter().collect()
});

impl NamedBench {
    /// Runs the bench and prints its figures, indented unless `--json` is given.
    pub fn run(self) -> Exit {
        let figures = (self.bench.run)(self.options.seed);
        if self.options.json {
            println!("{figures}");
        } else {
            println!("{figures:#}");
        }
        Exit::Success
    }
}

impl DynamicSubCommand for NamedBench {
    fn commands() -> &'static [&'static CommandInfo] {
        &COMMANDS
    }

    fn try_redact_arg_values(
        command_name: &[&str],
        args: &[&str],
    ) -> Option<Result<Vec<String>, EarlyExit>> {
        find_bench(command_name.last()?)?;
        Some(Options::redact_arg_values(command_name, args))
    }

    fn try_from_args(command_name: &[&str], args: &[&str]) -> Option<Result<Self, EarlyExit>> {
        let bench = find_bench(command_name.last()?)?;
        let options = Options::from_args(command_name, args);
        Some(options.map(|options| Self { bench, options }))
    }
}
