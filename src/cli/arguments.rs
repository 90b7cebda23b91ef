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
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match T::from_args(&words[..1], &words[1..]) {
        Ok(arguments) => Ok(arguments),
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            Err(Exit::Success)
        }
        Err(early) => {
            eprintln!("{}", early.output);
            Err(Exit::InvalidInput)
        }
    }
}
