//! A deployment smaller than the demo's, with real streamed traffic.

use std::time::Duration;

use teaseldrum_lab::demo::DeploymentSpec;
use teaseldrum_lab::demo::Fleet;
use teaseldrum_lab::demo::send_traffic;

const LENGTH: Duration = Duration::from_millis(1_500);

#[test]
fn demo_answers_all_with_hits() {
    let customer = DeploymentSpec {
        drafting_workers: 2,
        service_workers: 1,
        files: 1,
        account_tokens: 256,
        file_tokens: 256,
        question_tokens: 64,
        answer_tokens: 4,
        ..DeploymentSpec::sabarmati()
    };
    let fleet = Fleet::start(&customer);
    let measures = send_traffic(&customer, &fleet.addresses(), LENGTH, 1);
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
