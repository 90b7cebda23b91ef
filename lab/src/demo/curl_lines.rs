//! Example `curl` commands for a running deployment.

use super::DeploymentSpec;
use super::Fleet;
use super::fleet::api_key_of;

/// Prints `curl` commands with the addresses and keys of a running deployment.
pub fn print_curl_lines(deployment: &DeploymentSpec, fleet: &Fleet) {
    let entry = fleet.entries[0].address;
    let key = api_key_of(deployment, 0);
    let pool = deployment.service_pool;
    println!("# {}: a streamed completion", deployment.name);
    println!(
        "curl -N http://{entry}/v1/completions -H 'Authorization: Bearer {key}' \
         -d '{{\"prompt\":\"A long maker file\",\"max_tokens\":8,\"stream\":true}}'"
    );
    println!("# {}: a chat completion in one piece", deployment.name);
    println!(
        "curl http://{entry}/v1/chat/completions -H 'Authorization: Bearer {key}' \
         -d '{{\"messages\":[{{\"role\":\"user\",\"content\":\"Which spruce?\"}}],\"max_tokens\":8}}'"
    );
    println!("# {}: a call of a plain service", deployment.name);
    println!(
        "curl http://{entry}/{pool}/lookups -H 'Authorization: Bearer {key}' \
         -H 'Idempotency-Key: first' -d '{{\"item\":1}}'"
    );
    println!("# {}: an unknown key is refused", deployment.name);
    println!("curl -i http://{entry}/v1/completions -H 'Authorization: Bearer no' -d '{{}}'");
    println!();
}
