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

impl GatewayAddresses {
    pub fn free(ip: &str) -> Self {
        use crate::process::free_address;
        Self {
            traffic: free_address(ip),
            ready: free_address(ip),
            control: free_address(ip),
            metrics: free_address(ip),
        }
    }

    pub fn is_ready(&self) -> bool {
        let wait = std::time::Duration::from_secs(1);
        let answer = crate::http::send(self.ready, "GET", "/ready", &[("Host", "x")], b"", wait);
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

pub fn sidecar(name: &str, listen: SocketAddr, metrics: SocketAddr, engine: SocketAddr) -> String {
    format!(
        r#"{{"name": "{name}", "zone": "patan", "listen": "{listen}", "metrics": "{metrics}", "engine": "{engine}",
  "version_ms": 12000,
  "options": ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","quota","platform"],
  "log": {{"level": "info", "format": "text"}}
}}"#
    )
}

/// Configuration with a streaming route to the model service `marking`.
pub fn model_configuration(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"label","Host":"desk.example","Prefix":"/label/","Kind":"streaming","TimeoutMs":15000,"TargetLatencyMs":1000,"Priority":0,"Service":"marking","MaxAttempts":1,"Public":false,"Sticky":true,"Resumable":false,"GapAimMs":400}}],"Services":[{{"Name":"marking","HealthPath":"/healthz","MaxConnections":460,"Protocol":"h1","Tls":false,"Engine":{{"Slots":64,"KvCapacityTokens":220962,"KvTokenBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Stride":6,"MaxConcurrency":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{{"Name":"m"}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"desk","ApiKeys":["key-desk"],"Priority":1,"Unit":"tokens","UncachedTokens":200,"Isolated":false,"RatePerS":0,"Burst":0}}]}}"#
    )
}
