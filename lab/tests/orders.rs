//! Orders that operators write to the store and agents send to engines.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use teaseldrum::agent::serve_agent;
use teaseldrum::cli::write_order;
use teaseldrum::core::order::ServerOrder;
use teaseldrum::registry::BlockingStore;
use teaseldrum::settings::AgentSettings;
use teaseldrum::settings::PlatformSettings;
use teaseldrum::settings::Section;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::engine::EngineFaults;
use teaseldrum_lab::engine::EngineHandle;
use teaseldrum_lab::engine::EngineSettings;
use teaseldrum_lab::engine::WeightStore;
use teaseldrum_lab::engine::start_model_engine;
use teaseldrum_lab::store::StoreFaults;
use teaseldrum_lab::store::StoreHandle;
use teaseldrum_lab::store::start_store;

/// Maximum time that a test waits for a state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

struct Deployment {
    agents: Vec<BackgroundServer>,
    engines: Vec<EngineHandle>,
    store: StoreHandle,
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

fn start_deployment(engines: usize, settings: &EngineSettings) -> Deployment {
    let store = start_store(any_port());
    let engines: Vec<EngineHandle> = (0..engines)
        .map(|_| start_model_engine(any_port(), settings.clone()))
        .collect();
    let agents = engines.iter().enumerate().map(|(index, engine)| {
        start_agent(
            &format!("s{index}"),
            engine,
            &store,
            settings.enforces_fencing,
        )
    });
    Deployment {
        agents: agents.collect(),
        engines,
        store,
    }
}

fn start_agent(
    name: &str,
    engine: &EngineHandle,
    store: &StoreHandle,
    fenced: bool,
) -> BackgroundServer {
    let value = json!({
        "name": name,
        "zone": "a",
        "pool": "drafting",
        "server": engine.address(),
        "listen": {"traffic": "127.0.0.1:0"},
        "traffic": {"threads": 1, "drain_linger_ms": 20, "drain_timeout_ms": 200},
        "platform": {"store": [store.address()]},
        "orders": {"fenced": fenced, "weight_loads": 2, "max_order_time_ms": 600,
            "interval_ms": 50, "poll_ms": 20},
    });
    let settings = AgentSettings::parse(&value).expect("the settings are valid");
    BackgroundServer::start(move |stop, ready| {
        serve_agent(settings, stop, ready).expect("the agent starts")
    })
}

impl Deployment {
    fn order(&self, server: &str, order: &ServerOrder) -> Option<i64> {
        let value = json!({"store": [self.store.address()]});
        let settings = PlatformSettings::read(&mut Section::new("platform", value));
        let store = BlockingStore::new(&settings);
        write_order(&store, &server.into(), order).expect("the store answers")
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

fn weights(version: u64) -> ServerOrder {
    ServerOrder::LoadWeights { version }
}

/// Sends an order directly to the engine, as an agent would that was paused for
/// a long time. Returns the HTTP status.
fn post_stale_order(engine: &EngineHandle, version: u64, fencing: u64) -> u16 {
    let body = json!({"kind": "load_weights", "version": version, "fencing": fencing});
    let response = ureq::post(format!("http://{}/orders", engine.address()))
        .config()
        .http_status_as_error(false)
        .build()
        .send(body.to_string());
    response.expect("the engine answers").status().as_u16()
}

#[test]
fn orders_weights_and_role() {
    let deployment = start_deployment(1, &EngineSettings::default());
    let engine = &deployment.engines[0];
    deployment.order("s0", &weights(2));
    let role = ServerOrder::ChangeRole {
        role: "prefill".into(),
    };
    deployment.order("s0", &role);
    wait_until("weights", || engine.weights_version() == 2);
    wait_until("role", || engine.role() == "prefill");
    assert_eq!(engine.counts().fenced, 0);
}

#[test]
fn orders_adapter_again_after_engine_restart() {
    let deployment = start_deployment(1, &EngineSettings::default());
    let engine = &deployment.engines[0];
    let order = ServerOrder::LoadAdapter {
        adapter: "reports".into(),
    };
    deployment.order("s0", &order);
    wait_until("adapter", || engine.counts().orders == 1);
    engine.crash();
    engine.restart();
    wait_until("adapter again", || engine.counts().orders == 2);
}

#[test]
fn orders_concurrent_operators_one_wins() {
    let deployment = start_deployment(1, &EngineSettings::default());
    let engine = &deployment.engines[0];
    deployment.store.set_faults(StoreFaults {
        delay: Duration::from_millis(100),
        ..StoreFaults::default()
    });
    let revisions: Vec<Option<i64>> = thread::scope(|scope| {
        let calls: Vec<_> = (2..10)
            .map(|version| {
                let deployment = &deployment;
                scope.spawn(move || deployment.order("s0", &weights(version)))
            })
            .collect();
        calls
            .into_iter()
            .map(|call| call.join().expect("the call does not panic"))
            .collect()
    });
    let winners: Vec<usize> = (0..revisions.len())
        .filter(|index| revisions[*index].is_some())
        .collect();
    assert_eq!(winners.len(), 1, "{revisions:?}");
    wait_until("newest order", || {
        engine.weights_version() == winners[0] as u64 + 2
    });
}

#[test]
fn orders_stale_order_is_fenced() {
    let deployment = start_deployment(1, &EngineSettings::default());
    let engine = &deployment.engines[0];
    deployment.order("s0", &weights(3));
    wait_until("weights", || engine.weights_version() == 3);
    assert_eq!(post_stale_order(engine, 2, 1), 409);
    assert_eq!(engine.weights_version(), 3);
}

#[test]
fn orders_stale_order_is_undone_without_fencing() {
    let settings = EngineSettings {
        enforces_fencing: false,
        ..EngineSettings::default()
    };
    let deployment = start_deployment(1, &settings);
    let engine = &deployment.engines[0];
    deployment.order("s0", &weights(3));
    wait_until("weights", || engine.weights_version() == 3);
    assert_eq!(post_stale_order(engine, 2, 1), 200);
    assert_eq!(engine.weights_version(), 2);
    wait_until("newest weights again", || engine.weights_version() == 3);
}

#[test]
fn orders_new_agent_waits_for_in_flight_order() {
    let settings = EngineSettings {
        enforces_fencing: false,
        weight_store: WeightStore::new(Duration::from_millis(50), 2),
        ..EngineSettings::default()
    };
    let mut deployment = start_deployment(1, &settings);
    let engine = &deployment.engines[0];
    engine.set_faults(EngineFaults {
        order_delay: Duration::from_millis(300),
        ..EngineFaults::default()
    });
    let late = thread::spawn({
        let address = engine.address();
        move || {
            let body = json!({"kind": "load_weights", "version": 2, "fencing": 1});
            ureq::post(format!("http://{address}/orders"))
                .send(body.to_string())
                .is_ok()
        }
    });
    thread::sleep(Duration::from_millis(100));
    engine.set_faults(EngineFaults::default());
    deployment.agents.clear();
    let agent = start_agent("s0", engine, &deployment.store, false);
    deployment.order("s0", &weights(3));
    wait_until("newest weights", || engine.weights_version() == 3);
    assert!(late.join().expect("the call does not panic"));
    assert_eq!(
        engine.counts().orders,
        2,
        "both orders took effect, the late one first"
    );
    assert_eq!(engine.weights_version(), 3);
    drop(agent);
}

#[test]
fn orders_weight_loads_are_limited() {
    let weight_store = WeightStore::new(Duration::from_millis(100), 2);
    let settings = EngineSettings {
        weight_store: weight_store.clone(),
        ..EngineSettings::default()
    };
    let deployment = start_deployment(6, &settings);
    let began = Instant::now();
    for index in 0..6 {
        deployment.order(&format!("s{index}"), &weights(2));
    }
    for engine in &deployment.engines {
        wait_until("weights", || engine.weights_version() == 2);
    }
    println!("six loads of 100 ms, two at once: {:?}", began.elapsed());
    assert_eq!(weight_store.peak_loads(), 2);
}
