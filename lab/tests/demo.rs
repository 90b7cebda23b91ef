//! Streamed traffic against a deployment like that of the demo, but smaller. No
//! request may fail, and the engines must find prefixes in their caches.

use std::time::Duration;

use teaseldrum_lab::demo::DeploymentSpec;
use teaseldrum_lab::demo::Fleet;
use teaseldrum_lab::demo::send_traffic;

const TRAFFIC_TIME: Duration = Duration::from_millis(1_500);

#[test]
fn demo_serves_all_with_cache_hits() {
    let deployment = DeploymentSpec {
        engine_count: 2,
        service_count: 1,
        files_per_account: 1,
        preamble_tokens: 256,
        file_tokens: 256,
        question_tokens: 64,
        output_tokens: 4,
        ..DeploymentSpec::sabarmati()
    };
    let fleet = Fleet::start(&deployment);
    let measures = send_traffic(&deployment, &fleet.addresses(), TRAFFIC_TIME, 1);
    assert!(measures.served() > 0);
    assert_eq!(measures.failed(), 0);
    assert_eq!(measures.refused(), 0);
    assert!(measures.hit_rate() > 0.0);
    let completed_by_engines: u64 = fleet
        .engines
        .iter()
        .map(|engine| engine.counts().ended)
        .sum();
    assert_eq!(completed_by_engines, measures.served());
}
