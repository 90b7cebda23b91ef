//! `teaseldrum-lab soak`: runs gateway processes under random faults and checks
//! what their callers and backend servers observed.

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
    /// seed for the faults, the calls and the corrupted responses
    #[argh(option)]
    seed: u64,
    /// seconds during which faults occur
    #[argh(option, default = "20")]
    seconds: u64,
    /// number of gateways
    #[argh(option, default = "4")]
    gateways: usize,
    /// number of backend servers
    #[argh(option, default = "3")]
    servers: usize,
    /// number of concurrent callers
    #[argh(option, default = "24")]
    callers: usize,
    /// path of the teaseldrum binary; by default the one beside this program
    #[argh(option)]
    program: Option<PathBuf>,
    /// folder for settings and logs
    #[argh(option)]
    folder: Option<PathBuf>,
}

impl SoakCommand {
    /// Runs the soak and prints its summary.
    pub fn run(self) -> Exit {
        if self.gateways == 0 || self.servers == 0 {
            eprintln!("At least one gateway and one server are needed.");
            return Exit::InvalidInput;
        }
        let Some(program) = self.program.or_else(find_sibling_program) else {
            eprintln!(
                "No teaseldrum binary found beside this program; pass its path with --program."
            );
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

/// Finds the teaseldrum binary in the folder of this program.
fn find_sibling_program() -> Option<PathBuf> {
    let current_program = std::env::current_exe().ok()?;
    Some(current_program.parent()?.join("teaseldrum")).filter(|path| path.exists())
}
