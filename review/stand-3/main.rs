//! Runs one case of the review: `stand CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

#![allow(dead_code)]

mod case_revision;
mod case_weights;
mod engine;
mod http;
mod json;
mod process;
mod proxy;
mod record;
mod settings;
mod store;
mod worker;

use std::process::exit;

use case_weights::Trouble;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("stand CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match case.as_str() {
        "frozen" => case_weights::run(folder, Trouble::Frozen, has_trouble),
        "burst" => case_weights::run(folder, Trouble::Burst, has_trouble),
        "revision" => case_revision::run(folder, has_trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match &result {
        Ok(true) => println!("the rule held"),
        Ok(false) => println!("the rule was broken"),
        Err(problem) => println!("the case could not run: {problem}"),
    }
    exit(match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    });
}
