//! A worker leaves the store without reporting `draining`, on a platform whose revision
//! counter stands at 2^40 or more.

use std::collections::HashSet;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::process::RoleProcess;
use crate::process::free_address;
use crate::process::wait_until;
use crate::record::Record;
use crate::settings;
use crate::settings::GatewayAddresses;
use crate::store::Store;
use crate::worker::Run;
use crate::worker::Worker;

/// Clients, each of which sends one booking after the other.
const CLIENTS: usize = 24;

/// Time from the removal of the worker's entry to its exit: `DrainMs` and a little longer.
const EXIT_AFTER: Duration = Duration::from_secs(6);

/// `DrainMs` of the deployment, in seconds, and what is allowed besides for clocks.
const DRAIN_S: f64 = 2.0;
const MARGIN_S: f64 = 0.25;

pub fn run(folder: &str, has_trouble: bool) -> Result<bool, String> {
    let base = std::env::var("BASE").ok().and_then(|text| text.parse().ok());
    let base: u64 = base.unwrap_or(1 << 40);
    let record = Record::create(&format!("{folder}/record.txt"));
    let work = std::env::temp_dir().join(format!("review-3-revision-{}", std::process::id()));
    std::fs::create_dir_all(&work).map_err(|e| e.to_string())?;
    let store = Store::start(&record, base);
    store.put("op/config", &settings::configuration(3));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let workers: Vec<Worker> = (1..=3)
        .map(|n| Worker::start(&format!("i-{n}"), Duration::from_millis(60), &record, &runs))
        .collect();
    for worker in &workers {
        store.put(&format!("servers/{}", worker.id), &worker.entry("booking", "patan", "ready"));
    }
    let (gateways, traffic) = start_gateways(&work, &store)?;
    let until = Instant::now() + Duration::from_secs(20);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, traffic) = (record.clone(), traffic[n % traffic.len()]);
            thread::spawn(move || send_bookings(n, traffic, until, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let mut left_at = f64::MAX;
    if has_trouble {
        store.remove(&format!("servers/{}", workers[2].id));
        left_at = record.now();
        thread::sleep(EXIT_AFTER);
        workers[2].exit();
    }
    let mut answers = Vec::new();
    for client in clients {
        answers.extend(client.join().map_err(|_| "a client failed")?);
    }
    drop(gateways);
    let _ = std::fs::remove_dir_all(&work);
    let runs = runs.lock().expect("not poisoned");
    let late = runs.iter().filter(|run| run.worker == "i-3" && run.at > left_at + DRAIN_S + MARGIN_S);
    let late = late.count();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    let ran_late: HashSet<&str> = runs
        .iter()
        .filter(|run| run.worker == "i-3" && run.at > left_at + DRAIN_S + MARGIN_S)
        .map(|run| run.id.as_str())
        .collect();
    let lost = answers.iter().filter(|(id, status)| *status != 200 && ran_late.contains(id.as_str()));
    let text = format!(
        "counter={base} sent={} served={served} runs={} late_at_the_gone_worker={late} of_these_lost={}",
        answers.len(),
        runs.len(),
        lost.count()
    );
    record.line(&text);
    println!("{text}");
    if served < answers.len() / 2 || answers.len() < 200 {
        return Err("the deployment did not serve".into());
    }
    Ok(late == 0)
}

fn start_gateways(
    work: &Path,
    store: &Store,
) -> Result<(Vec<RoleProcess>, Vec<std::net::SocketAddr>), String> {
    let addresses: Vec<GatewayAddresses> = (1..=2)
        .map(|n| {
            let ip = format!("127.0.0.{}", n + 1);
            GatewayAddresses {
                traffic: free_address(&ip),
                ready: free_address(&ip),
                control: free_address(&ip),
                metrics: free_address(&ip),
            }
        })
        .collect();
    let seeds: Vec<_> = addresses.iter().map(|a| a.control).collect();
    let mut gateways = Vec::new();
    for (n, a) in addresses.iter().enumerate() {
        let name = format!("front-{}", n + 1);
        let text = settings::gateway(&name, "patan", a, &seeds, 7_600, store.address);
        gateways.push(RoleProcess::start(work, "gateway", &name, &text));
    }
    for a in &addresses {
        let is_ready = wait_until(Duration::from_secs(10), || {
            let answer = http::send(a.ready, "GET", "/ready", &[("Host", "x")], b"", Duration::from_secs(1));
            answer.is_some_and(|answer| answer.status() == 200)
        });
        if !is_ready {
            return Err("a gateway did not become ready".into());
        }
    }
    Ok((gateways, addresses.iter().map(|a| a.traffic).collect()))
}

/// Sends bookings one after the other and returns their ids and statuses; 0 for none.
fn send_bookings(n: usize, gateway: std::net::SocketAddr, until: Instant, record: &Record) -> Vec<(String, u16)> {
    let mut statuses = Vec::new();
    while Instant::now() < until {
        let id = format!("{n:02x}{:06x}", statuses.len());
        record.line(&format!("sent id={id} to={gateway}"));
        let headers = [
            ("Host", "desk.example"),
            ("X-Teaseldrum-Request-Id", id.as_str()),
            ("X-Teaseldrum-Deadline-Ms", "4000"),
            ("Authorization", "Bearer key-desk"),
        ];
        let answer = http::send(gateway, "POST", "/book/1", &headers, b"a deposit", Duration::from_secs(5));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("answered id={id} status={status}"));
        statuses.push((id, status));
        thread::sleep(Duration::from_millis(150));
    }
    statuses
}
