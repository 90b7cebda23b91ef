//! Descriptions of the outcome codes that a gateway logs at the end of a call.

/// Codes of outcomes of calls and of reasons for which attempts failed, each
/// with its meaning and, where it helps, the log lines to look at next.
const OUTCOME_DESCRIPTIONS: [(&str, &str); 37] = [
    ("complete", "The stream was received completely."),
    (
        "answered",
        "A server responded; a status of 500 or above is the server's own failure.",
    ),
    (
        "no-configuration",
        "The gateway had not read a configuration yet: look at the lines of its start and at `store:` lines.",
    ),
    (
        "no-route",
        "No route of the configuration in force matches the request: compare the version of that configuration with the newest one.",
    ),
    (
        "unknown-key",
        "The key belongs to no account of the configuration in force.",
    ),
    ("bad-request", "The head of the request is invalid."),
    ("too-large", "The body is larger than the operator's limit."),
    ("slow-body", "The client sent the body too slowly."),
    (
        "over-rate",
        "The account exceeded its rate; the `quota:` line shows how the rate was counted: `silent` counts gateways without reports, which are charged an even share, and `guess=true` marks a gateway that has just started.",
    ),
    (
        "overloaded",
        "Every available server would have started the request too late for the client's deadline.",
    ),
    (
        "no-server",
        "No server of the service was available: none was listed, or all were leaving, unresponsive or changing their weights.",
    ),
    (
        "unknown-stream",
        "The call took a stream up, and no process was certain at which build that began: look at the `streams: asked` line for how many were heard.",
    ),
    (
        "quarantined-call",
        "Servers have crashed under this very call, at least twice: `call: broke` lines with its digest name them. `quarantine: started` tells when it was quarantined; before, it is only tried now and then.",
    ),
    (
        "quarantined-part",
        "A part of the prompt has crashed servers: `quarantine: started` lines name it, and `call: broke` lines the calls and servers.",
    ),
    (
        "servers-paused",
        "All servers that could run the call have asked for a pause: `members: paused` lines say when and for how long.",
    ),
    (
        "servers-limited",
        "All servers that could run the call take a limited number of calls, which others had used: `members: limited` lines say how many.",
    ),
    ("not-accepted", "None of the servers tried ran the request."),
    (
        "no-repeats-left",
        "The operator's limit on retries was reached.",
    ),
    (
        "no-attempts-left",
        "The route allows no further server, or the client's deadline had passed.",
    ),
    (
        "stopping",
        "The gateway was about to stop and could not have answered in time; `gateway: draining` tells when that began.",
    ),
    (
        "cut-by-stop",
        "The gateway ended while the call was running: the `call: cut` line shows what had happened to it by then.",
    ),
    (
        "turned-away",
        "The server was full or was changing its weights.",
    ),
    (
        "other-weights",
        "The server had other weights than the gateway assumed.",
    ),
    ("misdirected", "Another server now uses the address."),
    ("unreachable", "No connection could be made to the server."),
    (
        "silent",
        "The server did not answer in time, or its agent reported it as dead.",
    ),
    (
        "event-too-large",
        "The server sent an event of a stream without end.",
    ),
    (
        "answer-silent",
        "The server stopped sending in the middle of its response.",
    ),
    (
        "broken",
        "The connection to the server broke before a response came.",
    ),
    (
        "answer-broken",
        "The connection to the server broke in the middle of its response.",
    ),
    (
        "ended-before-event",
        "The connection to the server ended after the head of a stream and before its first event.",
    ),
    (
        "stream-broken",
        "The connection to the server broke in the middle of its stream.",
    ),
    (
        "stream-silent",
        "The server stopped sending in the middle of its stream.",
    ),
    (
        "ended-within-event",
        "The server ended its stream in the middle of an event.",
    ),
    (
        "not-a-stream",
        "The server at which a stream was to go on sent something else, which was not passed on.",
    ),
    ("server-failed", "The server ran the request and failed."),
    ("caller-gone", "The client closed the connection."),
];

/// Describes the outcome of a call or the reason for which an attempt failed.
/// Codes that are not listed are reasons for which a response was rejected.
pub fn describe_outcome(code: &str) -> &'static str {
    OUTCOME_DESCRIPTIONS
        .iter()
        .find(|(known, _)| *known == code)
        .map_or(
            "The server sent an invalid response to this call.",
            |(_, meaning)| meaning,
        )
}
