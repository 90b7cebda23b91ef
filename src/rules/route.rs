//! Where requests go.

/// Where requests whose path begins with a prefix go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Beginning of the path.
    pub prefix: String,
    /// Pool whose servers run the requests.
    pub pool: String,
    /// Requests need no key.
    pub open: bool,
    /// Requests may run at most once.
    pub once: bool,
    /// Urgency; a higher number goes first.
    pub priority: i32,
}
