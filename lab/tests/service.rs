//! HTTP interface of the stand-in for a plain service: it must count a run even
//! when the response is lost, and no run when the call fails before it.

use teaseldrum_lab::service::ServiceBehaviour;
use teaseldrum_lab::service::ServiceFault;
use teaseldrum_lab::service::ServiceHandle;
use teaseldrum_lab::service::start_service;

fn start_local_service() -> ServiceHandle {
    start_service("127.0.0.1:0".parse().expect("the address is valid"))
}

fn post(service: &ServiceHandle, key: &str) -> Result<http::Response<ureq::Body>, ureq::Error> {
    let url = format!("http://{}/deposits", service.address());
    ureq::post(&url)
        .header("idempotency-key", key)
        .send_json(serde_json::json!({"amount": 5}))
}

#[test]
fn service_counts_runs_by_key() {
    let service = start_local_service();
    for key in ["a", "a", "b"] {
        post(&service, key).expect("the service answers");
    }
    assert_eq!(service.run_count("a"), 2);
    assert_eq!(service.run_count("b"), 1);
}

#[test]
fn service_disconnect_after_run_is_counted() {
    let service = start_local_service();
    service.set_behaviour(ServiceBehaviour {
        fault: ServiceFault::DisconnectsAfterRun,
        ..ServiceBehaviour::default()
    });
    assert!(post(&service, "a").is_err());
    assert_eq!(service.run_count("a"), 1);
}

#[test]
fn service_disconnect_before_run_is_not_counted() {
    let service = start_local_service();
    service.set_behaviour(ServiceBehaviour {
        fault: ServiceFault::DisconnectsBeforeRun,
        ..ServiceBehaviour::default()
    });
    assert!(post(&service, "a").is_err());
    assert_eq!(service.run_count("a"), 0);
}
