//! A deployment smaller than the demo's, with real streamed traffic.

use std::time::Duration;

use teaseldrum_lab::demo::DeploymentSpec;
use teaseldrum_lab::demo::Fleet;
use teaseldrum_lab::demo::send_traffic;

const LENGTH: Duration = Duration::from_millis(1_500);

#[test]
fn demo_answers_all_with_hits() {
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
    let measures = send_traffic(&deployment, &fleet.addresses(), LENGTH, 1);
    assert!(measures.served() > 0);
    assert_eq!(measures.failed(), 0);
    assert_eq!(measures.refused(), 0);
    assert!(measures.hit_rate() > 0.0);
    let counted: u64 = fleet
        .engines
        .iter()
        .map(|engine| engine.counts().ended)
        .sum();
    assert_eq!(counted, measures.served());
}
