//! Rule that assigns requests to a pool by their path.

/// Route of the requests whose path begins with a prefix. The longest matching
/// prefix decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Path prefix, which begins with `/`.
    pub prefix: String,
    /// Name of the pool whose backend servers run the requests.
    pub pool: String,
    /// Whether requests need no API key.
    pub open: bool,
    /// Whether a request runs at most once, so that it needs an idempotency key.
    pub once: bool,
    /// Priority of the requests; higher numbers go first.
    pub priority: i32,
}
