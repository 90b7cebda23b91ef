//! Arguments of a process.

use argh::FromArgs;

use super::Exit;

/// Reads the arguments of the process. Where they ask for help or are wrong,
/// prints what argh has to say.
///
/// # Errors
///
/// There is no command to run; the process is to end so.
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
