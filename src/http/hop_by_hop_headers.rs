//! Removal of hop-by-hop headers before a message is forwarded.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Headers that apply to a single connection, and `Content-Length`, which the
/// next hop sets again.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes the hop-by-hop headers, including those that `Connection` names, and
/// `Content-Length`, which the next hop sets again.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove("proxy-authorization");
}
