//! What the commands of the long-running roles share.

use std::env;
use std::fmt::Display;
use std::path::Path;
use std::path::PathBuf;

use super::Exit;
use crate::logs::start_logging;
use crate::settings::LogSettings;
use crate::settings::SettingsError;

/// Loads settings, starts logging and runs a role until it stops.
pub fn run_role<S, E: Display>(
    file: &Path,
    load: impl FnOnce(&Path) -> Result<S, SettingsError>,
    log_settings: impl FnOnce(&S) -> &LogSettings,
    run: impl FnOnce(S) -> Result<(), E>,
) -> Exit {
    let settings = match load(file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}:\n{e}", file.display());
            return Exit::InvalidInput;
        }
    };
    let logger = start_logging(log_settings(&settings));
    if let Err(e) = &logger {
        eprintln!("Logging cannot start: {e}");
    }
    match run(settings) {
        Ok(()) => Exit::Success,
        Err(e) => {
            eprintln!("{e}");
            Exit::Failure
        }
    }
}

/// Finds the settings file that the arguments name, directly or by a variable
/// of the environment; says what is missing.
pub fn resolve_settings_path(file: Option<PathBuf>, variable: Option<String>) -> Option<PathBuf> {
    match (file, variable) {
        (Some(file), None) => Some(file),
        (None, Some(variable)) => {
            let path = env::var_os(&variable).map(PathBuf::from);
            if path.is_none() {
                eprintln!("The variable `{variable}` is not set.");
            }
            path
        }
        _ => {
            eprintln!("One of --settings and --settings-from is needed.");
            None
        }
    }
}
