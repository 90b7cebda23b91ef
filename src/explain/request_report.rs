//! Report on one call: its outcome, and the log lines of its gateway and of the
//! sidecars of its servers, in the order of the gateway's clock.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use super::LogLine;
use super::describe_outcome;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::merge_events;
use crate::timeline::write_table;

/// The report includes lines from this long before the call. An order for new
/// weights or the loss of a dependency that affects a call is logged within this
/// time.
const WINDOW_BEFORE: Duration = Duration::from_millis(3_000);

/// The report includes lines until this long after the call. Sidecars detect a
/// crashed engine within this time.
const WINDOW_AFTER: Duration = Duration::from_millis(700);

/// Components of a gateway whose lines belong in the report on each of its
/// calls.
const GATEWAY_COMPONENTS: [&str; 8] = [
    "gateway",
    "settings",
    "config",
    "store",
    "kept-store",
    "weights",
    "peers",
    "clocks",
];

/// Report on one call, printed through [`fmt::Display`].
#[derive(Debug)]
pub struct RequestReport {
    id: String,
    /// `call:` lines of the call, in the order of the logs; at least one.
    call_lines: Vec<LogLine>,
    /// Start of the call since the Unix epoch, by the gateway's clock.
    started_at: Duration,
    /// Selected log lines, in order of the gateway's clock.
    events: Vec<Event>,
    /// Number of other calls at the same servers by server and outcome.
    other_calls: BTreeMap<String, BTreeMap<String, u32>>,
}

impl RequestReport {
    /// Builds the report on the call with the request id `id` from the lines of
    /// several processes, with all times by the clock of the gateway that
    /// handled it. Returns `None` if no `call:` line has the id.
    pub fn build(lines: &[LogLine], id: &str) -> Option<Self> {
        let call_lines: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.component == "call" && line.field("id") == Some(id))
            .collect();
        let is_end = |line: &&&LogLine| line.field("outcome").is_some();
        let end = call_lines.iter().find(is_end).copied();
        let call = end.or_else(|| call_lines.last().copied())?;
        let elapsed_ms = end.and_then(|end| u64::try_from(end.number("ms")?).ok());
        let started_at = call_lines[0].time.min(
            call.time
                .saturating_sub(Duration::from_millis(elapsed_ms.unwrap_or(0))),
        );
        let sidecars = find_sidecar_servers(lines);
        let selector = LineSelector {
            call,
            id,
            window: (
                started_at.saturating_sub(WINDOW_BEFORE),
                call.time + WINDOW_AFTER,
            ),
            servers: call_lines
                .iter()
                .flat_map(|line| line.fields("server"))
                .collect(),
            ahead_ms: find_clock_offsets(lines, call, &sidecars),
            sidecars,
        };
        let selected = lines.iter().filter_map(|line| selector.select(line));
        let events = merge_events([selected.collect()]);
        let other_calls = selector.count_other_calls(lines);
        Some(Self {
            id: id.into(),
            call_lines: call_lines.into_iter().cloned().collect(),
            started_at,
            events,
            other_calls,
        })
    }
}

/// Selects the lines that belong in the report on a call, and counts the other
/// calls at its servers.
struct LineSelector<'a> {
    call: &'a LogLine,
    id: &'a str,
    window: (Duration, Duration),
    servers: Vec<&'a str>,
    /// Names of the servers that each sidecar has managed, by the sidecar's
    /// process.
    sidecars: HashMap<&'a str, Vec<&'a str>>,
    /// Milliseconds by which each process's clock is ahead of the gateway's;
    /// negative if it is behind.
    ahead_ms: HashMap<&'a str, i64>,
}

impl LineSelector<'_> {
    /// Returns the line as an event if it belongs in the report.
    fn select(&self, line: &LogLine) -> Option<Event> {
        let names_server = line
            .fields("server")
            .any(|server| self.servers.contains(&server));
        let is_relevant = if line.process == self.call.process {
            line.field("id") == Some(self.id)
                || GATEWAY_COMPONENTS.contains(&line.component.as_str())
                || (line.component != "call" && names_server)
        } else {
            self.is_sidecar_of_call(&line.process)
        };
        let is_selected = is_relevant && self.is_in_window(line);
        is_selected.then(|| Event {
            stamp: Event::stamp_of(self.to_gateway_time(line)),
            process: line.process.clone(),
            request: None,
            kind: EventKind::Logged(format!("{}: {}", line.component, line.text)),
        })
    }

    /// Counts other calls, of any gateway, that were sent to the same servers
    /// within the window and have ended, by server and outcome. A call that was
    /// sent to several of the servers is counted at the last one.
    fn count_other_calls(&self, lines: &[LogLine]) -> BTreeMap<String, BTreeMap<String, u32>> {
        let other_calls = || {
            let calls = lines.iter().filter(|line| line.component == "call");
            calls.filter_map(|line| Some((line.field("id").filter(|id| *id != self.id)?, line)))
        };
        let sent: HashMap<&str, &str> = other_calls()
            .filter(|(_, line)| self.is_in_window(line))
            .filter_map(|(id, line)| Some((id, line.field("server")?)))
            .filter(|(_, server)| self.servers.contains(server))
            .collect();
        let mut counts: BTreeMap<String, BTreeMap<String, u32>> = BTreeMap::new();
        let ends =
            other_calls().filter_map(|(id, line)| Some((sent.get(id)?, line.field("outcome")?)));
        for (server, outcome) in ends {
            let server_counts = counts.entry((*server).to_owned()).or_default();
            *server_counts.entry(outcome.to_owned()).or_default() += 1;
        }
        counts
    }

    /// Tells whether the process is the sidecar of a server that the call was
    /// sent to.
    fn is_sidecar_of_call(&self, process: &str) -> bool {
        let servers = self.sidecars.get(process);
        servers.is_some_and(|servers| servers.iter().any(|name| self.servers.contains(name)))
    }

    fn is_in_window(&self, line: &LogLine) -> bool {
        let time = self.to_gateway_time(line);
        (self.window.0..=self.window.1).contains(&time)
    }

    /// Converts the time of a line to the gateway's clock. Processes without a
    /// measured difference are taken to have the gateway's clock.
    fn to_gateway_time(&self, line: &LogLine) -> Duration {
        let ahead_ms = self
            .ahead_ms
            .get(line.process.as_str())
            .copied()
            .unwrap_or(0);
        let offset = Duration::from_millis(ahead_ms.unsigned_abs());
        if ahead_ms > 0 {
            line.time.saturating_sub(offset)
        } else {
            line.time + offset
        }
    }
}

/// Finds the servers that each sidecar has managed, from its `engine: named`
/// lines.
fn find_sidecar_servers(lines: &[LogLine]) -> HashMap<&str, Vec<&str>> {
    let mut sidecars: HashMap<&str, Vec<&str>> = HashMap::new();
    let named_lines = lines
        .iter()
        .filter(|line| line.component == "engine" && line.text.starts_with("named"));
    for line in named_lines {
        if let Some(server) = line.field("server") {
            sidecars.entry(&line.process).or_default().push(server);
        }
    }
    sidecars
}

/// Finds by how many milliseconds the clocks of other processes are ahead of
/// the gateway's, as it last measured them before the end of the call. The
/// clock of a server is that of its sidecar.
fn find_clock_offsets<'a>(
    lines: &'a [LogLine],
    call: &LogLine,
    sidecars: &HashMap<&'a str, Vec<&'a str>>,
) -> HashMap<&'a str, i64> {
    let measured = lines.iter().filter(|line| {
        line.component == "clocks" && line.process == call.process && line.time <= call.time
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
        let matching = sidecars
            .iter()
            .filter(|(_, servers)| servers.contains(&server));
        ahead_ms.extend(matching.map(|(process, _)| (*process, ahead)));
    }
    ahead_ms
}

impl RequestReport {
    fn field(&self, name: &'static str) -> Option<&str> {
        self.call_lines
            .iter()
            .rev()
            .find_map(|line| line.field(name))
    }

    fn number(&self, name: &'static str) -> Option<i64> {
        self.field(name)?.parse().ok()
    }

    fn write_outcome(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let process = &self.call_lines[0].process;
        let Some(outcome) = self.field("outcome") else {
            return writeln!(
                f,
                "Request {} at {process}: no end was logged. The gateway was killed or hung, or its \
                 log ends too early.",
                self.id
            );
        };
        let status = self.field("status").unwrap_or("-");
        let elapsed_ms = self.field("ms").unwrap_or("-");
        writeln!(
            f,
            "Request {} at {process}: {outcome}, status {status}, {elapsed_ms} ms.",
            self.id
        )?;
        writeln!(f, "{}", describe_outcome(outcome))?;
        let failures = self.field("failed").unwrap_or_default();
        failures
            .split(',')
            .filter(|reason| !reason.is_empty() && *reason != outcome)
            .try_for_each(|reason| {
                writeln!(f, "Before that, {reason}: {}", describe_outcome(reason))
            })
    }

    /// If the first token came after the route's latency objective, writes
    /// whether the gateway had predicted that when it sent the call. Without a
    /// logged prediction, the predicted time counts as 0 ms.
    fn write_late_first_token(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Some(first_ms), Some(objective_ms)) =
            (self.number("first_ms"), self.number("objective_ms"))
        else {
            return Ok(());
        };
        if first_ms <= objective_ms {
            return Ok(());
        }
        let predicted_ms = self.number("predicted_ms").unwrap_or(0);
        let explanation = if predicted_ms > objective_ms {
            "this was predicted, so probably every server was busy"
        } else {
            "this was not predicted: check `age_ms` of the call line, and compare its `read` with \
             the prompt parts that the engine has cached"
        };
        writeln!(
            f,
            "Late: first token after {first_ms} ms, objective {objective_ms} ms, predicted \
             {predicted_ms} ms; {explanation}."
        )
    }
}

impl fmt::Display for RequestReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_outcome(f)?;
        self.write_late_first_token(f)?;
        for (server, outcomes) in &self.other_calls {
            let counts = outcomes
                .iter()
                .map(|(outcome, count)| format!("{count} {outcome}"));
            let counts = counts.collect::<Vec<_>>().join(", ");
            // "Meanwhile" is the window of the report, by the time of sending.
            writeln!(f, "Other calls at {server} meanwhile: {counts}.")?;
        }
        writeln!(
            f,
            "\nThe call started at {:.3} s by the gateway's clock. Log lines, by the same clock:",
            self.started_at.as_secs_f64()
        )?;
        f.write_str(&write_table(&self.events))
    }
}
