//! Parsing of the process's command-line arguments.

use argh::FromArgs;

use super::Exit;

/// Parses the arguments of the process. If they ask for help, prints it to
/// standard output; if they are invalid, prints the error to standard error.
///
/// # Errors
///
/// There is no command to run. The error is the exit status of the process:
/// success after help, invalid input otherwise.
pub fn parse_arguments<T: FromArgs>() -> Result<T, Exit> {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match T::from_args(&args[..1], &args[1..]) {
        Ok(arguments) => Ok(arguments),
        Err(early_exit) if early_exit.status.is_ok() => {
            println!("{}", early_exit.output);
            Err(Exit::Success)
        }
        Err(early_exit) => {
            eprintln!("{}", early_exit.output);
            Err(Exit::InvalidInput)
        }
    }
}
