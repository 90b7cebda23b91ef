//! Orders as an engine sees them, and what must not be among them.

/// Time within which an engine must not see orders of two holders.
pub const HOLDER_CHANGE_MS: u64 = 3_000;

/// Order as an engine sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenOrder {
    pub ms: u64,
    pub holder: usize,
    pub fence: u64,
}

/// Returns what is wrong with the orders that one engine has seen.
pub fn find_violation(orders: &[SeenOrder]) -> Option<&'static str> {
    for (index, order) in orders.iter().enumerate() {
        for before in &orders[..index] {
            if before.fence > order.fence {
                return Some("lower fencing token after a higher one");
            }
            if before.holder == order.holder {
                continue;
            }
            if before.fence == order.fence {
                return Some("two holders with one fencing token");
            }
            if order.ms < before.ms + HOLDER_CHANGE_MS {
                return Some("two holders shortly after each other");
            }
        }
    }
    None
}
