//! The cases.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HOST, MODEL, Options, config};
use crate::http::{Kept, call};
use crate::orders;
use crate::record::Record;

/// Result: the number of breaks, or why the case could not run.
pub type Played = Result<usize, String>;

const KEPT_KEY: &str = "wu3fexd9dnn2ctnfzs98";
const TAKEN_KEY: &str = "9anu6wsjnbanfqasnmgk";

/// One tenant with these keys.
fn with_keys(keys: &[&str]) -> String {
    format!(
        "[{{\"Name\":\"sese880\",\"ApiKeys\":[\"{}\"],\"Priority\":1,\"Unit\":\"tokens\",\"UncachedTokens\":200,\"Isolated\":false,\"RatePerS\":2550430,\"Burst\":2550430}}]",
        keys.join("\",\"")
    )
}

fn start(record: &Arc<Record>, options: &Options, config: &str) -> Result<Fleet, String> {
    let fleet =
        Fleet::start(Arc::clone(record), options, config).map_err(|e| format!("start: {e}"))?;
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return Err("the gateways are not ready".into());
    }
    // Traffic starts 10 s after the machines do.
    sleep(Duration::from_secs(10));
    Ok(fleet)
}

fn at(begin: Instant, seconds: f64) {
    let due = begin + Duration::from_secs_f64(seconds);
    sleep(due.saturating_duration_since(Instant::now()));
}

/// The machines of the sheet: 5 gateways, 18 workers; a third of the workers' machines is
/// cut off, as many as a `node_cut` takes at most there.
const MACHINES: Options = Options { gateways: 5, engines: 18, is_fenced: false };
const CUT: usize = 6;

/// Three times, six other workers' machines are cut off for 7.8 s. New weights are named
/// during the cut and 1 s after it.
pub fn returned_agents(record: &Arc<Record>, has_trouble: bool) -> Played {
    let mut fleet = start(record, &MACHINES, &config(1, &with_keys(&[KEPT_KEY])))?;
    record.say("begin");
    let mut healed_at = Vec::new();
    for round in 0..3 {
        let begin = Instant::now();
        if has_trouble {
            cut_off(record, &fleet, round);
        }
        at(begin, 1.0);
        fleet.name_version(2 * round as u64 + 2);
        at(begin, 7.8);
        if has_trouble {
            healed_at.push(record.now());
            heal(record, &fleet, round)?;
        }
        at(begin, 8.8);
        fleet.name_version(2 * round as u64 + 3);
        at(begin, 24.0);
    }
    let mut breaks = 0;
    for engine in &fleet.engines {
        breaks += orders::judge(record, &engine.id, &engine.orders(), &healed_at);
        record.line(&format!("worker {} ends with version {}", engine.id, engine.version()));
    }
    match fleet.find_ended() {
        Some(name) => Err(format!("{name} has ended")),
        None => Ok(breaks),
    }
}

fn cut_off(record: &Record, fleet: &Fleet, round: usize) {
    let from = round * CUT;
    for link in &fleet.links[from..from + CUT] {
        link.refuse();
    }
    record.say(&format!(
        "side-{} to side-{} are cut off: their machines refuse connections",
        from + 1,
        from + CUT
    ));
}

fn heal(record: &Record, fleet: &Fleet, round: usize) -> Result<(), String> {
    let from = round * CUT;
    for link in &fleet.links[from..from + CUT] {
        link.heal().map_err(|e| format!("heal: {e}"))?;
    }
    record.say("the cut has healed");
    Ok(())
}

/// Six workers' machines are cut off for 8 s, in which new weights are named.
pub fn forgotten_engines(record: &Arc<Record>, has_trouble: bool) -> Played {
    let mut fleet = start(record, &MACHINES, &config(1, &with_keys(&[KEPT_KEY])))?;
    let begin = Instant::now();
    record.say("begin");
    if has_trouble {
        cut_off(record, &fleet, 0);
    }
    at(begin, 1.0);
    fleet.name_version(2);
    at(begin, 8.0);
    if has_trouble {
        heal(record, &fleet, 0)?;
    }
    // VersionMs is 8 s; the rule counts after 1.5 of it without disruption.
    for number in 0..25 {
        at(begin, 10.0 + number as f64);
        let id = format!("c{number:015x}");
        send(record, &fleet, number, &id, KEPT_KEY, "5c1e07a2:6300");
    }
    at(begin, 40.0);
    let mut behind = 0;
    for engine in &fleet.engines {
        let version = engine.version();
        behind += usize::from(version < 2);
        record.say(&format!("worker {} ends with version {version}", engine.id));
    }
    if let Some(name) = fleet.find_ended() {
        return Err(format!("{name} has ended"));
    }
    let is_broken = behind > 1 && behind * 10 > fleet.engines.len();
    if is_broken {
        record.say(&format!("VERSION broken: {behind} of 18 workers still have version 1"));
    }
    Ok(if is_broken { behind } else { 0 })
}

/// A tenant becomes isolated; another tenant asks for a prompt whose shared part the
/// first one had sent before.
pub fn new_wall(record: &Arc<Record>, has_trouble: bool) -> Played {
    let options = Options { gateways: 5, engines: 6, is_fenced: false };
    let mut fleet = start(record, &options, &config(1, &two_tenants(false)))?;
    let begin = Instant::now();
    record.say("begin");
    for number in 0..4 {
        let id = format!("a{number:015x}");
        send(record, &fleet, number, &id, "key-of-sese880-0000", "5c1e07a2:6300");
    }
    at(begin, 4.0);
    if has_trouble {
        fleet.store.put("op/config", &config(2, &two_tenants(true)));
        record.say("operator: configuration 2, the tenant sese880 is isolated");
    }
    let changed_at = record.now();
    // Long after ConfigApplyMs, which is 2 s.
    at(begin, 10.0);
    for number in 0..10 {
        let id = format!("b{number:015x}");
        send(record, &fleet, number, &id, "key-of-rofa114-0000", "5c1e07a2:6300");
        sleep(Duration::from_millis(200));
    }
    let mut breaks = 0;
    for engine in &fleet.engines {
        for used in engine.uses() {
            let is_walled = has_trouble && used.at > changed_at && used.made_by != used.tenant;
            if is_walled {
                breaks += 1;
                record.say(&format!("WALL broken at {}: {used:?}", engine.id));
            }
        }
    }
    match fleet.find_ended() {
        Some(name) => Err(format!("{name} has ended")),
        None => Ok(breaks),
    }
}

fn two_tenants(is_isolated: bool) -> String {
    let tenant = |name: &str, is_isolated: bool| {
        format!(
            "{{\"Name\":\"{name}\",\"ApiKeys\":[\"key-of-{name}-0000\"],\"Priority\":1,\"Unit\":\"tokens\",\"UncachedTokens\":200,\"Isolated\":{is_isolated},\"RatePerS\":255043,\"Burst\":255043}}"
        )
    };
    format!("[{},{}]", tenant("sese880", is_isolated), tenant("rofa114", false))
}

/// Sends one streaming request with a shared part and one of its own.
fn send(record: &Record, fleet: &Fleet, number: usize, id: &str, key: &str, shared: &str) {
    let to = fleet.traffic[number % fleet.traffic.len()];
    let headers = [
        ("Host", HOST.to_string()),
        ("X-Teaseldrum-Request-Id", id.to_string()),
        ("X-Teaseldrum-Model", MODEL.to_string()),
        ("X-Teaseldrum-Token-Usage", "6400,10".to_string()),
        ("X-Teaseldrum-Prompt-Prefix", format!("{shared},{id}:100")),
        ("X-Teaseldrum-Deadline-Ms", "5000".to_string()),
        ("Authorization", format!("Bearer {key}")),
    ];
    let answer = call(to, "POST", "/draft/1", &headers, b"{}", Duration::from_secs(6));
    match answer {
        Ok(resp) => record.line(&format!(
            "client: {id} at {to}: {} whole={} seal={:?}",
            resp.status,
            resp.is_whole,
            resp.header("x-teaseldrum-server-seal")
        )),
        Err(e) => record.line(&format!("client: {id} at {to}: {e}")),
    }
}

/// A key is taken away; clients that still send it get a 401 and keep their connections.
/// A gateway is told to stop; 5.5 s later the clients send proper requests on these
/// connections, if they are still open.
pub fn stopped_gateway(record: &Arc<Record>, has_trouble: bool) -> Played {
    const CLIENTS: usize = 1_600;
    const MAX_SECOND_REQUESTS: usize = 300;
    const GROUPS: [usize; 10] = [60, 80, 100, 120, 140, 160, 180, 220, 260, 280];
    let options = Options { gateways: 3, engines: 6, is_fenced: false };
    let fleet = start(record, &options, &config(1, &with_keys(&[KEPT_KEY, TAKEN_KEY])))?;
    let to = fleet.traffic[0];
    fleet.store.put("op/config", &config(2, &with_keys(&[KEPT_KEY])));
    record.say("operator: configuration 2 takes a key away");
    // ConfigApplyMs is 2 s.
    sleep(Duration::from_secs(3));
    // Many clients at once, as after a key has been taken away from them. Each sends the
    // head and the body of its request in two packets.
    let mut connections = Vec::new();
    for _ in 0..CLIENTS {
        connections.push(Kept::connect(to).map_err(|e| format!("connect: {e}"))?);
    }
    sleep(Duration::from_millis(300));
    let body = [b'x'; 2_400];
    let mut number = 0;
    let mut rest = &mut connections[..];
    for count in GROUPS {
        let (group, others) = rest.split_at_mut(count);
        rest = others;
        let failed = |e: std::io::Error| format!("first requests: {e}");
        for connection in &mut *group {
            let id = format!("d{number:015x}");
            let headers = headers(&id, TAKEN_KEY, 10);
            connection.send_head("/draft/1", &headers, body.len()).map_err(failed)?;
            number += 1;
        }
        for connection in &mut *group {
            connection.send_body(&body).map_err(failed)?;
        }
        sleep(Duration::from_millis(100));
    }
    let mut kept = Vec::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        let answer = connection.read(LIMIT);
        let is_refused = answer.as_ref().is_ok_and(|answer| answer.status == 401);
        let is_open = !connection.is_closed();
        record.line(&format!(
            "client: d{number:015x} gets {:?}, open={is_open}",
            answer.map(|answer| answer.status)
        ));
        if is_refused && is_open {
            kept.push((number, connection));
        }
    }
    record.say(&format!("{} of {CLIENTS} connections are kept", kept.len()));
    sleep(Duration::from_secs(1));
    let begin = Instant::now();
    if has_trouble {
        fleet.gateways[0].signal("-TERM");
        record.say("front-1 gets SIGTERM");
    }
    at(begin, 5.5);
    let mut clients = Vec::new();
    for (number, mut connection) in kept {
        if clients.len() >= MAX_SECOND_REQUESTS {
            break;
        }
        let id = format!("e{number:015x}");
        if connection.is_closed() {
            record.line(&format!("client: {id} is not sent, the connection was closed"));
            continue;
        }
        let record = Arc::clone(record);
        clients.push(std::thread::spawn(move || {
            let headers = headers(&id, KEPT_KEY, 150);
            record.line(&format!("client: {id} is sent"));
            let answer = connection.call("/draft/1", &headers, b"{}", LIMIT);
            let is_lost = !matches!(&answer, Ok(resp) if resp.is_whole);
            let text = match answer {
                Ok(resp) => format!("{} whole={}", resp.status, resp.is_whole),
                Err(e) => format!("no answer: {e}"),
            };
            record.line(&format!("client: {id} gets {text}"));
            (id, is_lost)
        }));
    }
    let mut breaks = 0;
    for client in clients {
        let (id, is_lost) = client.join().map_err(|_| "a client failed".to_string())?;
        let run = fleet.engines.iter().any(|engine| engine.has_run(&id));
        if is_lost && run {
            breaks += 1;
            record.line(&format!("LOST broken: {id} was passed on to a worker and cut"));
        }
    }
    Ok(breaks)
}

/// Time for an answer.
const LIMIT: Duration = Duration::from_secs(8);

fn headers(id: &str, key: &str, output: u32) -> [(&'static str, String); 7] {
    [
        ("Host", HOST.to_string()),
        ("X-Teaseldrum-Request-Id", id.to_string()),
        ("X-Teaseldrum-Model", MODEL.to_string()),
        ("X-Teaseldrum-Token-Usage", format!("400,{output}")),
        ("X-Teaseldrum-Prompt-Prefix", format!("{id}:400")),
        ("X-Teaseldrum-Deadline-Ms", "5000".to_string()),
        ("Authorization", format!("Bearer {key}")),
    ]
}
