//! Formats events as a table, as JSON lines, or as a trace for trace viewers.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use uhlc::NTP64;

use super::Event;

/// Formats a table with one line for each event: seconds since the first event,
/// process, request (`-` if none) and description.
pub fn write_table(events: &[Event]) -> String {
    let first = events.first().map_or(0, epoch_micros);
    let lines = events.iter().map(|event| {
        let micros = epoch_micros(event) - first;
        let request = event.request.map_or("-".into(), |id| id.to_string());
        format!(
            "{:>12.6}  {:<12}  {request:<32}  {}\n",
            Duration::from_micros(micros).as_secs_f64(),
            event.process,
            event.kind
        )
    });
    lines.collect()
}

/// Formats one JSON object per line and event.
pub fn write_json_lines(events: &[Event]) -> String {
    let lines = events.iter().map(|event| {
        let value = json!({
            "micros": epoch_micros(event),
            "stamp": event.stamp,
            "process": event.process,
            "request": event.request,
            "kind": event.kind.name(),
            "detail": event.kind.to_string(),
        });
        format!("{value}\n")
    });
    lines.collect()
}

/// Formats the JSON trace event format that common trace viewers open. Each process
/// is a track; each request is a span from its first to its last event.
pub fn write_trace(events: &[Event]) -> String {
    let names: BTreeSet<&str> = events.iter().map(|event| event.process.as_str()).collect();
    let names: Vec<&str> = names.into_iter().collect();
    let find_pid = |process: &str| names.binary_search(&process).unwrap_or(0);
    let mut items: Vec<Value> = names
        .iter()
        .map(|name| {
            let args = json!({"name": name});
            json!({"name": "process_name", "ph": "M", "pid": find_pid(name), "args": args})
        })
        .collect();
    items.extend(events.iter().map(|event| {
        let pid = find_pid(&event.process);
        let args = json!({"detail": event.kind.to_string(), "request": event.request});
        let base = json!({
            "name": event.kind.name(), "ts": epoch_micros(event), "pid": pid, "tid": 0,
            "args": args,
        });
        let mut item = base;
        match event.request {
            Some(request) => {
                item["ph"] = json!("n");
                item["cat"] = json!("request");
                item["id"] = json!(request.to_string());
            }
            None => {
                item["ph"] = json!("i");
                item["s"] = json!("p");
            }
        }
        item
    }));
    items.extend(build_request_spans(events));
    json!({"traceEvents": items}).to_string()
}

/// Returns a begin and an end trace item for each request.
fn build_request_spans(events: &[Event]) -> Vec<Value> {
    let requests: BTreeSet<_> = events.iter().filter_map(|event| event.request).collect();
    let spans = requests.into_iter().flat_map(|request| {
        let mut request_events = events.iter().filter(|event| event.request == Some(request));
        let first = request_events.next().map_or(0, epoch_micros);
        let last = request_events.next_back().map_or(first, epoch_micros);
        [("b", first), ("e", last)].map(|(phase, at)| {
            json!({
                "name": "request", "ph": phase, "cat": "request", "ts": at, "pid": 0,
                "id": request.to_string(),
            })
        })
    });
    spans.collect()
}

/// Returns the time of an event in microseconds since the Unix epoch.
fn epoch_micros(event: &Event) -> u64 {
    let time = NTP64(event.stamp).to_duration();
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::RequestId;
    use crate::timeline::EventKind;
    use crate::timeline::EventQuery;
    use crate::timeline::Recorder;

    fn make_events() -> Vec<Event> {
        let recorder = Recorder::new("e1");
        let request = Some(RequestId::from_bits(1));
        recorder.record(None, EventKind::Started);
        recorder.record(request, EventKind::Admitted(Some("desk".into())));
        recorder.record(request, EventKind::FirstToken);
        recorder.page(&EventQuery::default()).events
    }

    #[test]
    fn write_table_one_line_per_event() {
        let table = write_table(&make_events());
        let lines: Vec<&str> = table.lines().collect();
        assert_eq!(lines.len(), 3);
        assert!(lines[1].ends_with("admitted for account desk"), "{table}");
    }

    #[test]
    fn write_json_lines_one_object_per_line() {
        let text = write_json_lines(&make_events());
        let kinds: Vec<String> = text
            .lines()
            .map(|line| serde_json::from_str::<Value>(line).expect("output is JSON"))
            .map(|value| value["kind"].as_str().expect("kind is a string").into())
            .collect();
        assert_eq!(kinds, ["started", "admitted", "first-token"]);
    }

    #[test]
    fn write_trace_spans() {
        let value: Value =
            serde_json::from_str(&write_trace(&make_events())).expect("output is JSON");
        let items = value["traceEvents"]
            .as_array()
            .expect("traceEvents is an array");
        let phases: Vec<&str> = items
            .iter()
            .map(|item| item["ph"].as_str().expect("ph is a string"))
            .collect();
        assert_eq!(phases, ["M", "i", "n", "n", "b", "e"]);
    }
}
