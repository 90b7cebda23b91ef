//! Send buffer of a connection in the kernel, within the budget of the process.

use std::net::SocketAddr;
use std::sync::Arc;

use socket2::SockRef;
use tokio::net::TcpStream;

use super::ByteBudget;
use super::ByteReservation;
use super::caller_activity::CallerActivity;
use crate::core::fleet::HoldPurpose;
use crate::core::fleet::Holder;

/// Bytes by which a send buffer grows at a time.
const GROWTH_BYTES: usize = 64 * 1024;

/// The kernel takes twice the size that is set, for its own data beside the bytes.
const KERNEL_FACTOR: usize = 2;

/// Send buffer of a connection in the kernel. What it has grown by is reserved until the
/// connection is closed.
pub(super) struct SendBuffer {
    budget: Arc<ByteBudget>,
    caller: SocketAddr,
    reservation: Option<ByteReservation>,
    is_largest: bool,
}

impl SendBuffer {
    /// Creates the buffer of the connection of `caller`, which grows within `budget`.
    pub fn new(budget: &Arc<ByteBudget>, caller: SocketAddr) -> Self {
        Self {
            budget: Arc::clone(budget),
            caller,
            reservation: None,
            is_largest: false,
        }
    }

    /// Makes the buffer larger. Returns false if the budget, the share of the account of
    /// the last request or the kernel does not allow it.
    pub fn grow(&mut self, stream: &TcpStream, activity: &CallerActivity) -> bool {
        if self.is_largest {
            return false;
        }
        let reservation = self.reservation.get_or_insert_with(|| {
            let holder = Holder {
                account: activity.account(),
                connection: Some(self.caller),
                server: None,
            };
            self.budget.reserve_for(holder, HoldPurpose::SendBuffer)
        });
        let bytes = KERNEL_FACTOR * GROWTH_BYTES;
        if !reservation.grow_if_free(bytes) {
            return false;
        }
        let has_grown = set_larger(stream);
        if !has_grown {
            reservation.shrink(bytes);
            self.is_largest = true;
        }
        has_grown
    }
}

/// Sets a larger send buffer. Returns whether it has become larger.
fn set_larger(stream: &TcpStream) -> bool {
    let socket = SockRef::from(stream);
    let Ok(before) = socket.send_buffer_size() else {
        return false;
    };
    // An error leaves the size as it is.
    let _ = socket.set_send_buffer_size(before / KERNEL_FACTOR + GROWTH_BYTES);
    socket.send_buffer_size().is_ok_and(|after| after > before)
}
