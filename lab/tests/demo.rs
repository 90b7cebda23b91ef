//! Streamed traffic against a deployment like that of the demo, but smaller. No
//! request may fail, and the engines must find prefixes in their caches.

use std::time::Duration;

use teaseldrum_lab::demo::Customer;
use teaseldrum_lab::demo::Fleet;
use teaseldrum_lab::demo::send_traffic;

const TRAFFIC_TIME: Duration = Duration::from_millis(1_500);

#[test]
fn demo_serves_all_with_cache_hits() {
    let customer = Customer {
        drafting_workers: 2,
        service_workers: 1,
        files: 1,
        account_tokens: 256,
        file_tokens: 256,
        question_tokens: 64,
        answer_tokens: 4,
        ..Customer::sabarmati()
    };
    let fleet = Fleet::start(&customer);
    let measures = send_traffic(&customer, &fleet.addresses(), TRAFFIC_TIME, 1);
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
