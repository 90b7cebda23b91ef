//! What the end of a call means, in words.

/// Meanings of outcomes and of the reasons that attempts ended with, and where
/// to look next.
const OUTCOME_DESCRIPTIONS: [(&str, &str); 26] = [
    ("complete", "The stream ended whole."),
    (
        "answered",
        "A server answered; a status of 500 and above is the server's own failure.",
    ),
    (
        "no-configuration",
        "The gateway had read no configuration yet: look at its start and at `store:` lines.",
    ),
    (
        "no-route",
        "No route of the configuration in force matches: compare its version with the operator's newest.",
    ),
    (
        "unknown-key",
        "No account of the configuration in force holds the key.",
    ),
    ("bad-request", "The request's head cannot be used."),
    ("too-large", "The body is larger than the operator allows."),
    ("slow-body", "The caller sent its body too slowly."),
    (
        "over-rate",
        "The account was beyond its rate, as the `quota:` line counts it: `silent` entries are charged an even share, `guess=true` is a gateway that has just started.",
    ),
    (
        "overloaded",
        "Every server that could take it would have begun too late for this caller.",
    ),
    (
        "no-server",
        "No server of the service could be asked: none was listed, or all were leaving, silent or changing their weights.",
    ),
    ("not-accepted", "The servers asked did not run it."),
    (
        "no-repeats-left",
        "The operator's bound on repeated sends was reached.",
    ),
    (
        "turned-away",
        "The server was full or was changing its weights.",
    ),
    (
        "other-weights",
        "The server had other weights than the gateway believed.",
    ),
    ("misdirected", "Another server has taken over the address."),
    ("unreachable", "No connection could be made to the server."),
    (
        "silent",
        "The server did not answer in time, or its agent took it for dead.",
    ),
    (
        "answer-silent",
        "The server stopped in the middle of its answer.",
    ),
    (
        "broken",
        "The connection to the server broke before an answer came.",
    ),
    (
        "answer-broken",
        "The connection to the server broke in the middle of its answer.",
    ),
    (
        "stream-broken",
        "The connection to the server broke in the middle of its stream.",
    ),
    (
        "stream-silent",
        "The server stopped in the middle of its stream.",
    ),
    (
        "ended-within-event",
        "The server ended its stream in the middle of an event.",
    ),
    ("server-failed", "The server ran the call and failed."),
    ("caller-gone", "The caller left."),
];

/// Returns what an outcome, or the reason that an attempt ended with, means.
pub fn describe_outcome(code: &str) -> &'static str {
    OUTCOME_DESCRIPTIONS
        .iter()
        .find(|(known, _)| *known == code)
        .map_or(
            "The server sent what is no answer to this call.",
            |(_, meaning)| meaning,
        )
}
