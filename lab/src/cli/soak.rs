//! `teaseldrum-lab soak`: real gateways under random faults.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use teaseldrum::cli::Exit;

use crate::soak::SoakPlan;
use crate::soak::run_soak;

/// Run gateways as processes under random faults and check promises. The last
/// line is a JSON summary; exit code 0 means that all promises held.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct SoakCommand {
    /// decides faults, calls and spoiled answers
    #[argh(option)]
    seed: u64,
    /// seconds with faults
    #[argh(option, default = "20")]
    seconds: u64,
    /// gateways
    #[argh(option, default = "4")]
    gateways: usize,
    /// backend servers
    #[argh(option, default = "3")]
    servers: usize,
    /// callers
    #[argh(option, default = "24")]
    callers: usize,
    /// binary of teaseldrum; the one beside this program where left out
    #[argh(option)]
    program: Option<PathBuf>,
    /// folder for settings and logs
    #[argh(option)]
    folder: Option<PathBuf>,
}

impl SoakCommand {
    /// Runs the soak.
    pub fn run(self) -> Exit {
        if self.gateways == 0 || self.servers == 0 {
            eprintln!("At least one gateway and one server are needed.");
            return Exit::InvalidInput;
        }
        let Some(program) = self.program.or_else(find_program) else {
            eprintln!("Name the binary with --program.");
            return Exit::InvalidInput;
        };
        let folder = self.folder.unwrap_or_else(|| {
            let name = format!("soak-{}-{}", self.seed, std::process::id());
            std::env::temp_dir().join(name)
        });
        let plan = SoakPlan {
            seed: self.seed,
            duration: Duration::from_secs(self.seconds),
            gateways: self.gateways,
            servers: self.servers,
            callers: self.callers,
            program,
            folder,
        };
        match run_soak(&plan) {
            Ok(summary) => {
                if !summary.broken.is_empty() {
                    eprintln!("Logs are in {}.", plan.folder.display());
                }
                match serde_json::to_string(&summary) {
                    Ok(line) => println!("{line}"),
                    Err(e) => eprintln!("The summary cannot be written: {e}"),
                }
                if summary.broken.is_empty() {
                    Exit::Success
                } else {
                    Exit::Failure
                }
            }
            Err(e) => {
                eprintln!("{e}");
                Exit::Failure
            }
        }
    }
}

/// Finds the binary beside this program.
fn find_program() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    Some(own.parent()?.join("teaseldrum")).filter(|path| path.exists())
}
