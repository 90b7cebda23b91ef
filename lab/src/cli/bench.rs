//! `teaseldrum-lab bench`: runs one bench.

use argh::FromArgs;
use teaseldrum::cli::Exit;

use crate::bench::BENCHES;
use crate::bench::find_bench;

/// Run one bench and print what it measured.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
    /// seed of everything drawn at random
    #[argh(option, default = "1")]
    seed: u64,
    /// name of the bench; all names are listed where it is unknown
    #[argh(positional)]
    name: String,
}

impl BenchCommand {
    /// Runs the bench.
    pub fn run(self) -> Exit {
        let Some(bench) = find_bench(&self.name) else {
            let names: Vec<&str> = BENCHES.iter().map(|bench| bench.name).collect();
            eprintln!(
                "Unknown bench `{}`; known: {}.",
                self.name,
                names.join(", ")
            );
            return Exit::Faulty;
        };
        let figures = (bench.run)(self.seed);
        if self.json {
            println!("{figures}");
        } else {
            println!("{figures:#}");
        }
        Exit::Done
    }
}
