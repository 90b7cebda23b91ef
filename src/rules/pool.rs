//! Rule of a pool of backend servers.

/// Pool of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Name of the pool, unique in the rule set.
    pub name: String,
    /// Model that the engines of the pool serve; `None` if its backend servers are not
    /// engines.
    pub model: Option<String>,
}
