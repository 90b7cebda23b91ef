//! Backend servers that serve the same.

/// Backend servers that serve the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Name of the pool.
    pub name: String,
    /// Model that the pool's engines serve; none for plain services.
    pub model: Option<String>,
}
