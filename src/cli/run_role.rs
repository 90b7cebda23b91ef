//! Startup shared by the commands that run a long-running role.

use std::env;
use std::fmt::Display;
use std::path::Path;
use std::path::PathBuf;

use super::Exit;
use crate::logs::start_logging;
use crate::settings::LogSettings;
use crate::settings::SettingsError;

/// Loads the settings file, starts logging and runs the role until it stops.
/// If logging cannot be started, prints the error and runs the role without.
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
    // The handle must live as long as the role: dropping it stops logging.
    let logger = start_logging(log_settings(&settings));
    if let Err(e) = &logger {
        eprintln!("Cannot start logging: {e}");
    }
    let result = run(settings);
    if let Ok(logger) = &logger {
        logger.flush();
    }
    match result {
        Ok(()) => Exit::Success,
        Err(e) => {
            eprintln!("{e}");
            Exit::Failure
        }
    }
}

/// Returns the path of the settings file, given by `--settings` or in the
/// environment variable that `--settings-from` names. Prints an error and
/// returns `None` unless exactly one of the options is given and the variable
/// is set.
pub fn resolve_settings_path(file: Option<PathBuf>, variable: Option<String>) -> Option<PathBuf> {
    match (file, variable) {
        (Some(file), None) => Some(file),
        (None, Some(variable)) => {
            let path = env::var_os(&variable).map(PathBuf::from);
            if path.is_none() {
                eprintln!("Environment variable `{variable}` is not set.");
            }
            path
        }
        _ => {
            eprintln!("Give exactly one of --settings and --settings-from.");
            None
        }
    }
}
