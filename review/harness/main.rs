//! Plays one case: `harness CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` without the disruption.

mod cases;
mod engine;
mod fleet;
mod http;
mod json;
mod orders;
mod proxy;
mod record;
mod store;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;

use record::Record;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("harness CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("{path}: {e}");
            exit(2);
        }
    };
    record.say(&format!("case {case}, trouble={has_trouble}"));
    let result = match case.as_str() {
        "returned-agents" => cases::returned_agents(&record, has_trouble),
        "forgotten-engines" => cases::forgotten_engines(&record, has_trouble),
        "stopped-gateway" => cases::stopped_gateway(&record, has_trouble),
        "new-wall" => cases::new_wall(&record, has_trouble),
        other => Err(format!("no case {other}")),
    };
    match result {
        Ok(0) => {
            record.say("the rule held");
            exit(0);
        }
        Ok(breaks) => {
            record.say(&format!("the rule was broken {breaks} times"));
            exit(1);
        }
        Err(problem) => {
            record.say(&format!("could not run: {problem}"));
            exit(2);
        }
    }
}
