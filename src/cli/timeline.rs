//! `teaseldrum timeline`: collects the recorded events of all processes, merges
//! them in causal order and prints those that match the filters.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use argh::FromArgs;
use uhlc::NTP64;

use super::Exit;
use super::fleet_client::FleetClient;
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
    /// output format: table, jsonl, or trace for trace viewers
    #[argh(option, default = "Format::Table")]
    format: Format,
    /// only events of this request
    #[argh(option)]
    request: Option<RequestId>,
    /// only events of requests of this client account
    #[argh(option)]
    account: Option<String>,
    /// only events of requests that involve this server
    #[argh(option)]
    server: Option<String>,
    /// only events of this kind, such as first-token
    #[argh(option)]
    kind: Option<String>,
    /// only events of this many seconds before now
    #[argh(option)]
    since: Option<u64>,
    /// settings file with the addresses of host list and peers
    #[argh(option)]
    settings: Option<PathBuf>,
    /// address of the platform's host list
    #[argh(option)]
    hosts: Option<SocketAddr>,
    /// peer address of a process that is not on the host list; may be repeated
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
                "unknown format `{other}`; expected table, jsonl or trace"
            )),
        }
    }
}

impl TimelineCommand {
    /// Prints the events; fails if a process does not respond, after printing
    /// the events of the others.
    pub fn run(self) -> Exit {
        let discovered =
            FleetClient::discover_from_options(self.settings.as_deref(), self.hosts, &self.peers);
        let fleet = match discovered {
            Ok(fleet) => fleet,
            Err(exit) => return exit,
        };
        let query = EventQuery {
            after: self.since.map_or(0, stamp_seconds_ago),
            request: self.request,
        };
        let mut exit = Exit::Success;
        let mut pages = Vec::new();
        for address in fleet.addresses() {
            match collect_events(&fleet, *address, query) {
                Ok(events) => pages.push(events),
                Err(reason) => {
                    eprintln!("{address}: {reason}");
                    exit = Exit::Failure;
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

/// Collects the matching events of one process, page by page.
fn collect_events(
    fleet: &FleetClient,
    address: SocketAddr,
    mut query: EventQuery,
) -> Result<Vec<Event>, String> {
    let mut events: Vec<Event> = Vec::new();
    loop {
        let mut responses = fleet.call_each(&[address], |client, cx| async move {
            client.get_events(cx, query).await
        });
        let Some((_, response)) = responses.pop() else {
            return Ok(events);
        };
        let page = response.map_err(|e| e.to_string())?;
        events.extend(page.events);
        if !page.has_more {
            return Ok(events);
        }
        query.after = events.last().map_or(query.after, |event| event.stamp);
    }
}

/// Returns the event stamp, in NTP64 form, of the time `seconds_ago` seconds
/// before now.
fn stamp_seconds_ago(seconds_ago: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or_default();
    let then = now.saturating_sub(Duration::from_secs(seconds_ago));
    NTP64::from(then).as_u64()
}
