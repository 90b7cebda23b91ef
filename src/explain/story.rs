//! The story of one request.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use super::LogLine;
use super::find_cause;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::merge_events;
use crate::timeline::write_table;

/// Time before a request whose lines belong to its story: an engine is told
/// of new weights, and a lost dependency is logged, within it.
const BEFORE: Duration = Duration::from_millis(3_000);

/// Time after a request: agents find a crashed engine within it.
const AFTER: Duration = Duration::from_millis(700);

/// Parts of a gateway whose lines belong to the story of each of its calls.
const GATEWAY_PARTS: [&str; 8] = [
    "gateway",
    "settings",
    "config",
    "store",
    "kept-store",
    "weights",
    "peers",
    "clocks",
];

/// The story of one request.
#[derive(Debug)]
pub struct Story {
    id: String,
    /// Lines of the call itself; at least one.
    own: Vec<LogLine>,
    begun_at: Duration,
    events: Vec<Event>,
    /// Ends of other calls at the same servers, by server and outcome.
    beside: BTreeMap<String, BTreeMap<String, u32>>,
}

impl Story {
    /// Tells the story of a request from the lines of several processes;
    /// times are those of the gateway that read it. None if no gateway did.
    pub fn tell(lines: &[LogLine], id: &str) -> Option<Self> {
        let own: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.part == "call" && line.field("id") == Some(id))
            .collect();
        let is_end = |line: &&&LogLine| line.field("outcome").is_some();
        let end = own.iter().find(is_end).copied();
        let call = end.or_else(|| own.last().copied())?;
        let passed = end.and_then(|end| u64::try_from(end.number("ms")?).ok());
        let begun_at = own[0].time.min(
            call.time
                .saturating_sub(Duration::from_millis(passed.unwrap_or(0))),
        );
        let sidecars = find_sidecars(lines);
        let telling = Telling {
            call,
            id,
            window: (begun_at.saturating_sub(BEFORE), call.time + AFTER),
            servers: own.iter().flat_map(|line| line.fields("server")).collect(),
            ahead_ms: find_clocks(lines, call, &sidecars),
            sidecars,
        };
        let pages = lines.iter().filter_map(|line| telling.take(line));
        let events = merge_events([pages.collect()]);
        let beside = telling.count_beside(lines);
        Some(Self {
            id: id.into(),
            own: own.into_iter().cloned().collect(),
            begun_at,
            events,
            beside,
        })
    }
}

/// What decides which lines belong to a story.
struct Telling<'a> {
    call: &'a LogLine,
    id: &'a str,
    window: (Duration, Duration),
    servers: Vec<&'a str>,
    /// Servers beside which each sidecar has stood.
    sidecars: HashMap<&'a str, Vec<&'a str>>,
    /// Milliseconds by which each process's clock is ahead of the gateway's.
    ahead_ms: HashMap<&'a str, i64>,
}

impl Telling<'_> {
    /// Returns the event of a line that belongs to the story.
    fn take(&self, line: &LogLine) -> Option<Event> {
        let names_server = line
            .fields("server")
            .any(|server| self.servers.contains(&server));
        let is_wanted = if line.process == self.call.process {
            line.field("id") == Some(self.id)
                || GATEWAY_PARTS.contains(&line.part.as_str())
                || (line.part != "call" && names_server)
        } else {
            self.is_sidecar_asked(&line.process)
        };
        let is_shown = is_wanted && self.is_inside(line);
        is_shown.then(|| Event {
            stamp: Event::stamp_of(self.correct(line)),
            process: line.process.clone(),
            request: None,
            kind: EventKind::Logged(format!("{}: {}", line.part, line.text)),
        })
    }

    /// Counts how other calls that were sent to the same servers meanwhile
    /// ended, by server and outcome.
    fn count_beside(&self, lines: &[LogLine]) -> BTreeMap<String, BTreeMap<String, u32>> {
        let of_others = || {
            let calls = lines.iter().filter(|line| line.part == "call");
            calls.filter_map(|line| Some((line.field("id").filter(|id| *id != self.id)?, line)))
        };
        let sent: HashMap<&str, &str> = of_others()
            .filter(|(_, line)| self.is_inside(line))
            .filter_map(|(id, line)| Some((id, line.field("server")?)))
            .filter(|(_, server)| self.servers.contains(server))
            .collect();
        let mut counts: BTreeMap<String, BTreeMap<String, u32>> = BTreeMap::new();
        let ends =
            of_others().filter_map(|(id, line)| Some((sent.get(id)?, line.field("outcome")?)));
        for (server, outcome) in ends {
            let of_server = counts.entry((*server).to_owned()).or_default();
            *of_server.entry(outcome.to_owned()).or_default() += 1;
        }
        counts
    }

    fn is_sidecar_asked(&self, process: &str) -> bool {
        let beside = self.sidecars.get(process);
        beside.is_some_and(|servers| servers.iter().any(|name| self.servers.contains(name)))
    }

    fn is_inside(&self, line: &LogLine) -> bool {
        let time = self.correct(line);
        (self.window.0..=self.window.1).contains(&time)
    }

    /// Returns the time of a line by the gateway's clock.
    fn correct(&self, line: &LogLine) -> Duration {
        let ahead_ms = self
            .ahead_ms
            .get(line.process.as_str())
            .copied()
            .unwrap_or(0);
        let apart = Duration::from_millis(ahead_ms.unsigned_abs());
        if ahead_ms > 0 {
            line.time.saturating_sub(apart)
        } else {
            line.time + apart
        }
    }
}

/// Finds which servers each sidecar has stood beside.
fn find_sidecars(lines: &[LogLine]) -> HashMap<&str, Vec<&str>> {
    let mut sidecars: HashMap<&str, Vec<&str>> = HashMap::new();
    let named = lines
        .iter()
        .filter(|line| line.part == "engine" && line.text.starts_with("named"));
    for line in named {
        if let Some(server) = line.field("server") {
            sidecars.entry(&line.process).or_default().push(server);
        }
    }
    sidecars
}

/// Finds by how much other processes' clocks are ahead of the gateway's, as
/// it measured them last before the call ended.
fn find_clocks<'a>(
    lines: &'a [LogLine],
    call: &LogLine,
    sidecars: &HashMap<&'a str, Vec<&'a str>>,
) -> HashMap<&'a str, i64> {
    let measured = lines.iter().filter(|line| {
        line.part == "clocks" && line.process == call.process && line.time <= call.time
    });
    let mut ahead_ms = HashMap::new();
    for line in measured {
        let Some(ahead) = line.number("ahead_ms") else {
            continue;
        };
        if let Some(entry) = line.field("entry") {
            ahead_ms.insert(entry, ahead);
        }
        let Some(server) = line.field("server") else {
            continue;
        };
        let beside = sidecars
            .iter()
            .filter(|(_, servers)| servers.contains(&server));
        ahead_ms.extend(beside.map(|(process, _)| (*process, ahead)));
    }
    ahead_ms
}

impl Story {
    fn field(&self, name: &'static str) -> Option<&str> {
        self.own.iter().rev().find_map(|line| line.field(name))
    }

    fn number(&self, name: &'static str) -> Option<i64> {
        self.field(name)?.parse().ok()
    }

    fn write_end(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let process = &self.own[0].process;
        let Some(outcome) = self.field("outcome") else {
            return writeln!(
                f,
                "Request {} at {process}: never ended. The gateway was killed or frozen, or its \
                 log ends before.",
                self.id
            );
        };
        let status = self.field("status").unwrap_or("-");
        let passed = self.field("ms").unwrap_or("-");
        writeln!(
            f,
            "Request {} at {process}: {outcome}, status {status}, {passed} ms.",
            self.id
        )?;
        writeln!(f, "{}", find_cause(outcome))?;
        let failures = self.field("failed").unwrap_or_default();
        failures
            .split(',')
            .filter(|reason| !reason.is_empty() && *reason != outcome)
            .try_for_each(|reason| writeln!(f, "Before that, {reason}: {}", find_cause(reason)))
    }

    /// Tells whether a late first token was foreseen.
    fn write_lateness(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Some(first), Some(objective)) = (self.number("first_ms"), self.number("objective_ms"))
        else {
            return Ok(());
        };
        if first <= objective {
            return Ok(());
        }
        let predicted = self.number("predicted_ms").unwrap_or(0);
        let why = if predicted > objective {
            "it was foreseen, every server was busy"
        } else {
            "it was not foreseen: compare age_ms, and read with the engine's parts"
        };
        writeln!(
            f,
            "Late: first token after {first} ms, objective {objective} ms, predicted {predicted} \
             ms; {why}."
        )
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_end(f)?;
        self.write_lateness(f)?;
        for (server, outcomes) in &self.beside {
            let counts = outcomes
                .iter()
                .map(|(outcome, count)| format!("{count} {outcome}"));
            let counts = counts.collect::<Vec<_>>().join(", ");
            writeln!(f, "Other calls at {server} meanwhile: {counts}.")?;
        }
        writeln!(
            f,
            "\nIt began at {:.3} s of the gateway's clock. By that clock:",
            self.begun_at.as_secs_f64()
        )?;
        f.write_str(&write_table(&self.events))
    }
}
