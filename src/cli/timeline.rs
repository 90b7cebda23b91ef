//! `teaseldrum timeline`: what happened, over all processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use argh::FromArgs;
use uhlc::NTP64;

use super::Exit;
use super::fleet::Fleet;
use crate::core::RequestId;
use crate::timeline::Event;
use crate::timeline::EventFilter;
use crate::timeline::EventQuery;
use crate::timeline::merge_events;
use crate::timeline::write_json_lines;
use crate::timeline::write_table;
use crate::timeline::write_trace;

/// Print events of all processes in causal order.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineCommand {
    /// table, jsonl or trace, which trace viewers open
    #[argh(option, default = "Format::Table")]
    format: Format,
    /// only this request
    #[argh(option)]
    request: Option<RequestId>,
    /// only requests of this account
    #[argh(option)]
    account: Option<String>,
    /// only requests that touched this server
    #[argh(option)]
    server: Option<String>,
    /// only events of this kind, such as first-token
    #[argh(option)]
    kind: Option<String>,
    /// only the last so many seconds
    #[argh(option)]
    since: Option<u64>,
    /// settings file that names host list and peers
    #[argh(option)]
    settings: Option<PathBuf>,
    /// address of the platform's host list
    #[argh(option)]
    hosts: Option<SocketAddr>,
    /// peer address of a process besides the host list
    #[argh(option)]
    peers: Vec<SocketAddr>,
}

#[derive(Debug, Clone, Copy)]
enum Format {
    Table,
    JsonLines,
    Trace,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, Self::Err> {
        match word {
            "table" => Ok(Self::Table),
            "jsonl" => Ok(Self::JsonLines),
            "trace" => Ok(Self::Trace),
            other => Err(format!(
                "unknown format `{other}`; known: table, jsonl, trace"
            )),
        }
    }
}

impl TimelineCommand {
    /// Prints the events; fails if a process does not answer.
    pub fn run(self) -> Exit {
        let found = Fleet::find_named(self.settings.as_deref(), self.hosts, &self.peers);
        let fleet = match found {
            Ok(fleet) => fleet,
            Err(exit) => return exit,
        };
        let query = EventQuery {
            after: self.since.map_or(0, find_stamp),
            request: self.request,
        };
        let mut exit = Exit::Done;
        let mut pages = Vec::new();
        for address in fleet.addresses() {
            match collect_events(&fleet, *address, query) {
                Ok(events) => pages.push(events),
                Err(reason) => {
                    eprintln!("{address}: {reason}");
                    exit = Exit::Failed;
                }
            }
        }
        let filter = EventFilter {
            account: self.account.as_deref().map(Into::into),
            server: self.server.as_deref().map(Into::into),
            kind: self.kind,
        };
        let events = filter.apply(merge_events(pages));
        print!(
            "{}",
            match self.format {
                Format::Table => write_table(&events),
                Format::JsonLines => write_json_lines(&events),
                Format::Trace => write_trace(&events),
            }
        );
        exit
    }
}

/// Collects the events of one process, page by page.
fn collect_events(
    fleet: &Fleet,
    address: SocketAddr,
    mut query: EventQuery,
) -> Result<Vec<Event>, String> {
    let mut events: Vec<Event> = Vec::new();
    loop {
        let mut answers = fleet.call_each(&[address], |client, cx| async move {
            client.get_events(cx, query).await
        });
        let Some((_, answer)) = answers.pop() else {
            return Ok(events);
        };
        let page = answer.map_err(|e| e.to_string())?;
        events.extend(page.events);
        if !page.has_more {
            return Ok(events);
        }
        query.after = events.last().map_or(query.after, |event| event.stamp);
    }
}

/// Returns the stamp of the time so many seconds ago.
fn find_stamp(seconds_ago: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or_default();
    let then = now.saturating_sub(Duration::from_secs(seconds_ago));
    NTP64::from(then).as_u64()
}
