//! Orders to backend servers: to load weights, to load an adapter or to change
//! role. Each carries a fencing token, a store revision; a server that checks
//! fencing refuses an order whose token is lower than one it has seen.

mod desired_orders;
mod send_guard;
mod server_order;
mod server_state;

pub use desired_orders::DesiredOrders;
pub use desired_orders::PendingOrder;
pub use send_guard::SendGuard;
pub use server_order::OrderKind;
pub use server_order::ServerOrder;
pub use server_state::ServerState;
