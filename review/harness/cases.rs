//! The cases.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HOST, MODEL, Options, config};
use crate::http::call;
use crate::orders;
use crate::record::Record;

/// Result: the number of breaks, or why the case could not run.
pub type Played = Result<usize, String>;

const ONE_TENANT: &str = "[{\"Name\":\"sese880\",\"ApiKeys\":[\"wu3fexd9dnn2ctnfzs98\"],\"Priority\":1,\"Unit\":\"tokens\",\"UncachedTokens\":200,\"Isolated\":false,\"RatePerS\":255043,\"Burst\":255043}]";

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

/// A worker's machine is cut off from the gateways for 8 s, while the worker is not.
/// New weights are named during the cut and 1 s after it.
pub fn returned_agent(record: &Arc<Record>, has_trouble: bool) -> Played {
    let options = Options { gateways: 5, engines: 6, is_fenced: false };
    let mut fleet = start(record, &options, &config(1, ONE_TENANT))?;
    let begin = Instant::now();
    record.say("begin");
    let mut healed_at = Vec::new();
    if has_trouble {
        fleet.links[0].refuse();
        record.say("side-1 is cut off: its machine refuses connections");
    }
    at(begin, 1.0);
    fleet.name_version(2);
    at(begin, 8.0);
    if has_trouble {
        fleet.links[0].heal().map_err(|e| format!("heal: {e}"))?;
        healed_at.push(record.now());
        record.say("the cut of side-1 has healed");
    }
    at(begin, 9.0);
    fleet.name_version(3);
    at(begin, 22.0);
    judge_orders(record, &mut fleet, &healed_at)
}

/// A worker's machine is cut off from the gateways for 11 s, while the worker is not. The
/// gateway that gave the worker its last order is killed just before the cut heals, and
/// new weights are named.
pub fn dead_holder(record: &Arc<Record>, has_trouble: bool) -> Played {
    let options = Options { gateways: 5, engines: 6, is_fenced: false };
    let mut fleet = start(record, &options, &config(1, ONE_TENANT))?;
    let begin = Instant::now();
    record.say("begin");
    let mut healed_at = Vec::new();
    if has_trouble {
        fleet.links[0].refuse();
        record.say("side-1 is cut off: its machine refuses connections");
    }
    at(begin, 1.0);
    fleet.name_version(2);
    at(begin, 10.8);
    if has_trouble {
        let orders = fleet.engines[0].orders();
        let giver = orders.last().map(|order| order.holder.clone()).unwrap_or_default();
        let killed = fleet.gateways.iter_mut().find(|gateway| gateway.name == giver);
        let Some(killed) = killed else {
            return Err(format!("no gateway gave the last order but {giver:?}"));
        };
        killed.kill();
        record.say(&format!("{giver}, which gave the last order, is killed"));
    }
    at(begin, 10.9);
    fleet.name_version(3);
    at(begin, 11.0);
    if has_trouble {
        fleet.links[0].heal().map_err(|e| format!("heal: {e}"))?;
        healed_at.push(record.now());
        record.say("the cut of side-1 has healed");
    }
    at(begin, 11.3);
    if has_trouble {
        for gateway in &mut fleet.gateways {
            if gateway.has_ended() {
                gateway.restart().map_err(|e| format!("restart: {e}"))?;
                record.say(&format!("{} is started again", gateway.name));
            }
        }
    }
    at(begin, 22.0);
    judge_orders(record, &mut fleet, &healed_at)
}

fn judge_orders(record: &Record, fleet: &mut Fleet, healed_at: &[Duration]) -> Played {
    let mut breaks = 0;
    for engine in &fleet.engines {
        breaks += orders::judge(record, &engine.id, &engine.orders(), healed_at);
        record.say(&format!("worker {} ends with version {}", engine.id, engine.version()));
    }
    match fleet.find_ended() {
        Some(name) => Err(format!("{name} has ended")),
        None => Ok(breaks),
    }
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
