//! Settings of processes, as the templates of the deploy file render them for a small
//! deployment, and its configuration.

use std::net::SocketAddr;

pub struct GatewayAddresses {
    pub traffic: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
}

pub fn gateway(
    name: &str,
    zone: &str,
    addresses: &GatewayAddresses,
    seeds: &[SocketAddr],
    agent_port: u16,
    store: SocketAddr,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let GatewayAddresses { traffic, ready, control, metrics } = addresses;
    format!(
        r#"{{
  "name": "{name}", "zone": "{zone}",
  "listen": {{"traffic": "{traffic}", "health": "{ready}", "peers": "{control}", "metrics": "{metrics}"}},
  "seeds": [{}], "agent_port": {agent_port}, "store": "{store}",
  "memory_mb": 260, "descriptors": 4100, "stop_timeout_s": 8, "first_start": true,
  "bounds": {{"retry_ratio": 0.2, "retry_extra": 56, "retry_window_s": 10, "quota_overage": 0.1,
             "quota_slack": 140000, "version_ms": 6000, "comment": "-"}},
  "options": ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","quota","platform"],
  "log": {{"level": "info", "format": "text"}}
}}"#,
        seeds.join(",")
    )
}

/// Configuration with one route of each kind to the service `booking`, and one tenant.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"Name":"{name}","Host":"desk.example","Prefix":"/{name}/","Kind":"{kind}","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":2,"Service":"booking","MaxAttempts":{attempts},"Public":false,"Sticky":false,"Resumable":false}}"#
        )
    };
    format!(
        r#"{{"Version":{version},"Routes":[{},{}],"Services":[{{"Name":"booking","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"desk","ApiKeys":["key-desk"],"Priority":1,"Unit":"tokens","UncachedTokens":200,"Isolated":false,"RatePerS":400000,"Burst":400000}}]}}"#,
        route("book", "non_idempotent", 1),
        route("look", "idempotent", 2)
    )
}
