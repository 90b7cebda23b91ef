//! Tests of reports on requests from the logs of several processes.

use std::fs;
use std::process::Command;

use rstest::rstest;
use teaseldrum::explain::LogLine;
use teaseldrum::explain::LogLineError;
use teaseldrum::explain::RequestReport;

/// `call:` lines of one request: a first attempt at i-1 that got no response,
/// and a second one at i-2 that completed.
const CALL: [&str; 3] = [
    "time=2026-01-25T01:57:56.010Z level=INFO message=\"call: sent id=abc route=r service=s account=a config=3 wait_ms=2000 objective_ms=300 attempt=1 why=first server=i-1 v=2 load=1.0 age_ms=40 predicted_ms=90 read=961 again=0 fetch=true\"",
    "time=2026-01-25T01:57:56.800Z level=INFO message=\"call: sent id=abc attempt=2 why=silent server=i-2 v=2 load=0.0 age_ms=10 predicted_ms=80 read=961 again=0 fetch=true\"",
    "time=2026-01-25T01:57:57.000Z level=INFO message=\"call: ended id=abc failed=silent attempts=2 outcome=complete status=200 first_ms=950 ms=1000\"",
];

fn parse(line: &str, process: &str) -> LogLine {
    LogLine::parse(line, process).expect("the log line is valid")
}

/// Lines of a gateway, of the sidecar of i-1, whose clock is 40 s ahead, and of
/// another sidecar.
fn lines() -> Vec<LogLine> {
    let gateway = [
        "time=2026-01-25T01:57:30.000Z level=INFO message=\"clocks: differ server=i-1 ahead_ms=40000 before_ms=0\"",
        "time=2026-01-25T01:57:40.000Z level=INFO message=\"config: in force version=2 revision=7 source=store\"",
        "time=2026-01-25T01:57:55.000Z level=INFO message=\"config: in force version=3 revision=9 source=store\"",
        "time=2026-01-25T01:57:56.900Z level=INFO message=\"agents: lost server=i-9 agent=10.0.0.9:7 reason=\"refused\"\"",
        "time=2026-01-25T01:57:56.550Z level=INFO message=\"call: sent id=def route=r attempt=1 why=first server=i-1 v=2\"",
        "time=2026-01-25T01:57:56.950Z level=INFO message=\"call: ended id=def attempts=1 outcome=silent status=504 ms=400\"",
    ];
    let sidecar = [
        "time=2026-01-25T01:50:00.000Z level=INFO message=\"engine: named server=i-1\"",
        "time=2026-01-25T01:57:57.000Z level=INFO message=\"weights: accepting calls again versions=2\"",
        "time=2026-01-25T01:58:36.500Z level=WARN message=\"engine: lost address=10.0.0.1:8 reason=\"connection refused\"\"",
    ];
    let other = "time=2026-01-25T01:57:56.500Z level=INFO message=\"engine: lost address=10.0.0.5:8 reason=\"x\"\"";
    gateway
        .iter()
        .chain(&CALL)
        .map(|line| parse(line, "front-1"))
        .chain(sidecar.iter().map(|line| parse(line, "side-1")))
        .chain([parse(other, "side-5")])
        .collect()
}

#[test]
fn build_orders_by_gateway_clock() {
    let report = RequestReport::build(&lines(), "abc")
        .expect("a report is built")
        .to_string();
    let position = |text: &str| {
        report
            .find(text)
            .unwrap_or_else(|| panic!("{text}: {report}"))
    };
    let order = [
        "config: in force version=3",
        "engine: lost address=10.0.0.1",
        "call: ended id=abc",
    ]
    .map(position);
    assert!(order.is_sorted(), "{report}");
}

#[rstest]
#[case::of_earlier_configuration("version=2 revision")]
#[case::of_server_without_attempt("i-9")]
#[case::of_other_sidecar("10.0.0.5")]
#[case::before_window_by_gateway_clock("weights: accepting calls again")]
fn build_omits_unrelated_lines(#[case] text: &str) {
    let report = RequestReport::build(&lines(), "abc")
        .expect("a report is built")
        .to_string();
    assert!(!report.contains(text), "{report}");
}

#[test]
fn build_describes_outcome() {
    let report = RequestReport::build(&lines(), "abc")
        .expect("a report is built")
        .to_string();
    assert!(report.starts_with("Request abc at front-1: complete, status 200, 1000 ms."));
    assert!(report.contains("Before that, silent: The server did not answer in time"));
    assert!(report.contains("Late: first token after 950 ms, objective 300 ms, predicted 80 ms"));
    assert!(report.contains("Other calls at i-1 meanwhile: 1 silent."));
}

/// A gateway that is killed logs no end of the call, but the lines of its
/// attempts were written before each send.
#[test]
fn build_call_without_end() {
    let mut lines = lines();
    lines.retain(|line| line.field("outcome").is_none());
    let report = RequestReport::build(&lines, "abc")
        .expect("a report is built")
        .to_string();
    assert!(report.starts_with("Request abc at front-1: no end was logged."));
    assert!(report.contains("why=silent server=i-2"));
}

#[test]
fn build_unknown_request_returns_none() {
    assert!(RequestReport::build(&lines(), "xyz").is_none());
}

#[rstest]
#[case::alone(
    "time=2026-01-25T01:57:57.000Z level=INFO message=\"store: lost area=Members\"",
    "p"
)]
#[case::collected(
    " -9.97 front-2 time=2026-01-25T01:57:57.000Z level=INFO message=\"store: lost area=Members\" lines_dropped_before=3",
    "front-2"
)]
#[case::json(
    "{\"time\":\"2026-01-25T01:57:57.000Z\",\"level\":\"INFO\",\"message\":\"store: lost area=Members\"}",
    "p"
)]
fn parse_line_forms(#[case] line: &str, #[case] process: &str) {
    let line = parse(line, "p");
    assert_eq!(line.process, process);
    assert_eq!(
        (line.component.as_str(), line.text.as_str()),
        ("store", "lost area=Members")
    );
    assert_eq!(line.time.as_millis(), 1_769_306_277_000);
}

#[rstest]
#[case::other_program("thread 'main' panicked", LogLineError::InvalidFormat)]
#[case::time(
    "time=yesterday level=INFO message=\"a: b\"",
    LogLineError::InvalidTime
)]
#[case::json_without_time("{\"message\":\"a: b\"}", LogLineError::InvalidFormat)]
fn parse_invalid_line(#[case] line: &str, #[case] error: LogLineError) {
    assert_eq!(LogLine::parse(line, "p"), Err(error));
}

#[test]
fn explain_command_reads_files() {
    let directory = std::env::temp_dir().join(format!("explain-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("the directory is created");
    let file = directory.join("front-1.log");
    fs::write(&file, format!("{}\nnoise\n", CALL.join("\n"))).expect("the log file is written");
    let run = |id: &str| {
        Command::new(env!("CARGO_BIN_EXE_teaseldrum"))
            .args(["explain", "--request", id])
            .arg(&file)
            .output()
            .expect("the command runs")
    };
    let found = run("abc");
    assert_eq!(found.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&found.stdout).contains("at front-1"));
    assert!(String::from_utf8_lossy(&found.stderr).contains("1 lines are no log lines"));
    assert_eq!(run("nobody").status.code(), Some(1));
}
