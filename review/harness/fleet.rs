//! A small deployment on loopback addresses: the store, model workers, and the
//! project's own processes as the deploy file starts them.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::http::call;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

pub const MODEL: &str = "cuxa100000";
pub const SERVICE: &str = "dele69a";
pub const HOST: &str = "desk.example";

pub struct Options {
    pub gateways: u8,
    pub engines: u8,
    pub is_fenced: bool,
}

pub struct Process {
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    role: &'static str,
    child: Child,
}

impl Process {
    fn start(role: &'static str, name: &str, settings: PathBuf, log: PathBuf) -> io::Result<Self> {
        let child = spawn(role, &settings, &log)?;
        Ok(Process { name: name.into(), settings, log, role, child })
    }
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("/bin/kill").args([signal, &pid]).status();
    }
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(self.role, &self.settings, &self.log)?;
        Ok(())
    }
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

fn spawn(role: &str, settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    Command::new("target/release/teaseldrum")
        .args([role, "--settings-from", "TEASELDRUM_NODE_FILE"])
        .env_clear()
        .env("PATH", "/usr/bin:/bin")
        .env("TEASELDRUM_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()
}

/// Links from the gateways to a worker's machine: to the agent and to the worker.
pub struct Link {
    agent: Arc<Proxy>,
    worker: Arc<Proxy>,
}

impl Link {
    /// Cuts the machine off: it refuses connections.
    pub fn refuse(&self) {
        self.agent.refuse();
        self.worker.refuse();
    }
    pub fn heal(&self) -> io::Result<()> {
        self.agent.heal()?;
        self.worker.heal()
    }
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub engines: Vec<Arc<Engine>>,
    pub links: Vec<Link>,
    pub gateways: Vec<Process>,
    pub sidecars: Vec<Process>,
    pub traffic: Vec<SocketAddr>,
    health: Vec<SocketAddr>,
    is_ended: Arc<AtomicBool>,
    pub dir: PathBuf,
}

fn ip(third: u8, last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, third, last))
}

/// Returns a port that is free at all addresses that the fleet uses.
fn free_port(count: u8) -> io::Result<u16> {
    loop {
        let port = TcpListener::bind((ip(0, 1), 0))?.local_addr()?.port();
        let all = (11..=14).flat_map(|third| (1..=count).map(move |last| (third, last)));
        if all.into_iter().all(|(third, last)| TcpListener::bind((ip(third, last), port)).is_ok()) {
            return Ok(port);
        }
    }
}

impl Fleet {
    pub fn start(record: Arc<Record>, options: &Options, config: &str) -> io::Result<Fleet> {
        let dir = std::env::temp_dir().join(format!("teaseldrum-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let count = options.gateways.max(options.engines);
        let store = Store::start(SocketAddr::new(ip(10, 1), 0), Arc::clone(&record))?;
        store.put("op/config", config);
        store.put(&format!("op/version/{MODEL}"), &version_text(1));
        let (engine_port, agent_port) = (free_port(count)?, free_port(count)?);
        let mut fleet = Fleet {
            record,
            store,
            engines: Vec::new(),
            links: Vec::new(),
            gateways: Vec::new(),
            sidecars: Vec::new(),
            traffic: Vec::new(),
            health: Vec::new(),
            is_ended: Arc::default(),
            dir,
        };
        let agents: Vec<SocketAddr> =
            (1..=options.engines).map(|n| SocketAddr::new(ip(12, n), agent_port)).collect();
        for n in 1..=options.engines {
            // The worker at its machine. The gateways reach the machine over links that can
            // be cut; the agent beside the worker reaches it directly.
            let addr = SocketAddr::new(ip(14, n), engine_port);
            let id = format!("i-{n:02}");
            let record = Arc::clone(&fleet.record);
            fleet.engines.push(Engine::start(&id, addr, MODEL, options.is_fenced, record)?);
            let agent = SocketAddr::new(ip(11, n), agent_port);
            let worker = SocketAddr::new(ip(11, n), engine_port);
            fleet.links.push(Link {
                agent: Proxy::start(agent, agents[usize::from(n - 1)])?,
                worker: Proxy::start(worker, addr)?,
            });
        }
        let listed: Vec<(SocketAddr, Arc<Engine>)> = (1..)
            .zip(&fleet.engines)
            .map(|(n, engine)| (SocketAddr::new(ip(11, n), engine_port), Arc::clone(engine)))
            .collect();
        for engine in &fleet.engines {
            engine.know_others(&listed);
        }
        fleet.start_beats();
        let (traffic, health, peers) = (free_port(count)?, free_port(count)?, free_port(count)?);
        let seeds: Vec<String> = (1..=options.gateways.min(3))
            .map(|n| format!("\"{}\"", SocketAddr::new(ip(13, n), peers)))
            .collect();
        let lists = "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"]";
        for n in 1..=options.gateways {
            let name = format!("front-{n}");
            let at = |port| SocketAddr::new(ip(13, n), port);
            let text = format!(
                "{{\"name\":\"{name}\",\"zone\":\"{}\",\"listen\":{{\"traffic\":\"{}\",\"health\":\"{}\",\"peers\":\"{}\"}},\"seeds\":[{}],\"agent_port\":{agent_port},\"store\":\"{}\",\"memory_mb\":110,\"descriptors\":4100,\"stop_timeout_s\":8,\"bounds\":{{\"retry_ratio\":0.2,\"retry_extra\":56,\"retry_window_s\":10,\"quota_overage\":0.1,\"quota_slack\":72000,\"version_ms\":8000}},\"options\":{lists},\"log\":{{\"level\":\"info\",\"format\":\"text\"}}}}",
                zone(n),
                at(traffic),
                at(health),
                at(peers),
                seeds.join(","),
                fleet.store.addr,
            );
            fleet.traffic.push(at(traffic));
            fleet.health.push(at(health));
            let process = fleet.start_process("gateway", &name, &text)?;
            fleet.gateways.push(process);
        }
        for n in 1..=options.engines {
            let name = format!("side-{n}");
            let text = format!(
                "{{\"name\":\"{name}\",\"zone\":\"{}\",\"listen\":\"{}\",\"engine\":\"{}\",\"version_ms\":8000,\"options\":{lists},\"log\":{{\"level\":\"info\",\"format\":\"text\"}}}}",
                zone(n),
                agents[usize::from(n - 1)],
                fleet.engines[usize::from(n - 1)].addr,
            );
            let process = fleet.start_process("sidecar", &name, &text)?;
            fleet.sidecars.push(process);
        }
        Ok(fleet)
    }

    fn start_process(&self, role: &'static str, name: &str, text: &str) -> io::Result<Process> {
        let settings = self.dir.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        Process::start(role, name, settings, self.dir.join(format!("{name}.log")))
    }

    /// The workers write themselves into the store, about every 1.2 s.
    fn start_beats(&self) {
        let (store, engines) = (Arc::clone(&self.store), self.engines.clone());
        let is_ended = Arc::clone(&self.is_ended);
        let mut seq = 0;
        let mut write = move || {
            seq += 1;
            for (n, engine) in (1..).zip(&engines) {
                let address = SocketAddr::new(ip(11, n), engine.addr.port());
                let text = format!(
                    "{{\"Service\":\"{SERVICE}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":48,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Stage\":\"both\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":{},\"Adapters\":[]}}],\"Seq\":{seq},\"born\":1700000000000}}",
                    address,
                    zone(n),
                    engine.version(),
                );
                store.put(&format!("servers/{}", engine.id), &text);
            }
        };
        write();
        thread::spawn(move || {
            while !is_ended.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(1_200));
                write();
            }
        });
    }

    /// Waits until all gateways are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let is_ready = |addr: &SocketAddr| {
                call(*addr, "GET", "/ready", &[("Host", "x".into())], b"", Duration::from_secs(1))
                    .is_ok_and(|resp| resp.status == 200)
            };
            if self.health.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The operator names a new version of the weights.
    pub fn name_version(&self, version: u64) {
        for engine in &self.engines {
            engine.name_version(version);
        }
        let revision = self.store.put(&format!("op/version/{MODEL}"), &version_text(version));
        self.record.say(&format!("operator: version {version} is named, revision {revision}"));
    }

    /// Whether a process has ended that was not stopped.
    pub fn find_ended(&mut self) -> Option<String> {
        let all = self.gateways.iter_mut().chain(&mut self.sidecars);
        all.filter_map(|p| p.has_ended().then(|| p.name.clone())).next()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Release);
        for process in self.gateways.iter_mut().chain(&mut self.sidecars) {
            process.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

pub fn version_text(version: u64) -> String {
    format!("{{\"Model\":\"{MODEL}\",\"Version\":{version}}}")
}

pub fn zone(n: u8) -> &'static str {
    ["poa-a", "poa-b", "cxs-a"][usize::from(n) % 3]
}

/// The configuration: one streaming route, with the tenants given as JSON.
pub fn config(version: u64, tenants: &str) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{HOST}\",\"Prefix\":\"/draft/\",\"Kind\":\"streaming\",\"TimeoutMs\":5000,\"TargetLatencyMs\":600,\"Priority\":1,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":true,\"GapAimMs\":300}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/healthz\",\"MaxConnections\":300,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":48,\"KvCapacityTokens\":80890,\"KvTokenBytes\":262144,\"LinkMbps\":740000.0,\"MaxConcurrency\":12,\"Models\":[{{\"Name\":\"{MODEL}\"}}]}}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":{tenants}}}"
    )
}
