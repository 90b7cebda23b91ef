//! Sizes of messages between entries, as the peer protocol encodes them.

use serde::Serialize;
use tarpc::ClientMessage;
use tarpc::Request;
use tarpc::Response;
use teaseldrum::core::limit::Origin;
use teaseldrum::core::limit::ShareMessage;
use teaseldrum::peer::PeerRequest;
use teaseldrum::peer::PeerResponse;
use teaseldrum::peer::ShareReply;

/// Length prefix before each message.
const LENGTH_BYTES: u64 = 4;

/// Call id of a long-lived connection; a larger id takes more bytes.
const CALL_ID: u64 = 100_000;

/// Measures the size of messages by encoding them.
#[derive(Debug, Clone, Copy)]
pub struct WireSize;

impl WireSize {
    /// Returns the size in bytes of a call that carries one message.
    pub fn of_call(self, from: Origin, message: &ShareMessage) -> u64 {
        let message = PeerRequest::ExchangeShares {
            from,
            message: message.clone(),
        };
        measure(&ClientMessage::Request(Request {
            context: tarpc::context::current(),
            id: CALL_ID,
            message,
        }))
    }

    /// Returns the size in bytes of the reply to a call.
    pub fn of_reply(self, from: Origin, messages: &[ShareMessage]) -> u64 {
        let reply = ShareReply {
            incarnation: from.incarnation,
            messages: messages.to_vec(),
        };
        measure(&Response {
            request_id: CALL_ID,
            message: Ok(PeerResponse::ExchangeShares(Ok(reply))),
        })
    }
}

fn measure<T: Serialize>(message: &T) -> u64 {
    let encoded = rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len());
    encoded as u64 + LENGTH_BYTES
}
