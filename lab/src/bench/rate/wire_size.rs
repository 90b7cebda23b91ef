//! Bytes of messages on the wire, as the codec of the entries writes them.

use serde::Serialize;
use tarpc::ClientMessage;
use tarpc::Request;
use tarpc::Response;
use teaseldrum::core::limit::Origin;
use teaseldrum::core::limit::ShareMessage;
use teaseldrum::peer::PeerRequest;
use teaseldrum::peer::PeerResponse;
use teaseldrum::peer::ShareReply;

/// Bytes of the length before each message.
const LENGTH_BYTES: u64 = 4;

/// A number of a call after a long connection.
const CALL_ID: u64 = 100_000;

/// Measures messages by encoding them.
#[derive(Debug, Clone, Copy)]
pub struct WireSize;

impl WireSize {
    /// Returns the bytes of a call.
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

    /// Returns the bytes of the reply to a call.
    pub fn of_reply(self, from: Origin, messages: &[ShareMessage]) -> u64 {
        let reply = ShareReply {
            run: from.incarnation,
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
