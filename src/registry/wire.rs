//! JSON messages of the store, in the form that etcd uses: keys and values in
//! base64, 64-bit integers as strings, and fields left out if zero or empty.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::DeserializeOwned;
use serde::de::Error;

use super::Compare;
use super::KeyRange;
use super::KeyValue;
use super::LeaseId;
use super::Operation;
use super::StoreError;
use super::Txn;
use super::TxnResponse;

/// Bytes that are encoded as base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Base64(pub Bytes);

/// 64-bit integer that is encoded as a string and decoded from a string or a
/// number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Number(pub i64);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let decoded = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(decoded.into()))
    }
}

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum StringOrNumber {
            Text(String),
            Number(i64),
        }
        match StringOrNumber::deserialize(deserializer)? {
            StringOrNumber::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
            StringOrNumber::Number(number) => Ok(Self(number)),
        }
    }
}

/// Request of the store, with its path and response type.
pub trait Call: Serialize {
    /// HTTP path of the call.
    const PATH: &'static str;
    /// Whether the call changes nothing, so that it may be sent to another address
    /// after any failure.
    const IS_READ: bool = false;
    /// Response of the store.
    type Response: DeserializeOwned;
}

#[derive(Debug, Serialize)]
pub struct RangeCall {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
}

#[derive(Debug, Serialize)]
pub struct DeleteCall {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
}

#[derive(Debug, Serialize)]
pub struct PutCall {
    pub key: Base64,
    pub value: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lease: Option<Number>,
}

#[derive(Debug, Serialize)]
pub struct TxnCall {
    compare: Vec<CompareMessage>,
    success: Vec<OperationMessage>,
    failure: Vec<OperationMessage>,
}

#[derive(Debug, Default, Serialize)]
struct CompareMessage {
    key: Base64,
    target: &'static str,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<Number>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<Number>,
}

#[derive(Debug, Serialize)]
enum OperationMessage {
    #[serde(rename = "request_range")]
    Range(RangeCall),
    #[serde(rename = "request_put")]
    Put(PutCall),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteCall),
}

#[derive(Debug, Serialize)]
pub struct LeaseGrantCall {
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

#[derive(Debug, Serialize)]
pub struct LeaseKeepAliveCall {
    #[serde(rename = "ID")]
    pub id: Number,
}

#[derive(Debug, Serialize)]
pub struct LeaseRevokeCall {
    #[serde(rename = "ID")]
    pub id: Number,
}

#[derive(Debug, Serialize)]
pub struct WatchCall {
    pub create_request: WatchCreateRequest,
}

#[derive(Debug, Serialize)]
pub struct WatchCreateRequest {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
    pub start_revision: Number,
}

#[derive(Debug, Default, Deserialize)]
pub struct Header {
    #[serde(default)]
    pub revision: Number,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct KeyValueMessage {
    key: Base64,
    value: Base64,
    create_revision: Number,
    mod_revision: Number,
    version: Number,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    pub header: Header,
    pub kvs: Vec<KeyValueMessage>,
}

/// Response to a write; only its store revision is used.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WriteResponse {
    pub header: Header,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnResponseMessage {
    header: Header,
    succeeded: bool,
    responses: Vec<OperationResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OperationResponse {
    response_range: RangeResponse,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    #[serde(rename = "ID")]
    pub id: Number,
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    pub result: LeaseResponse,
}

#[derive(Debug, Deserialize)]
pub struct WatchLine {
    pub result: WatchResult,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    pub header: Header,
    pub canceled: bool,
    pub compact_revision: Number,
    pub events: Vec<WatchEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    #[serde(rename = "type")]
    pub kind: String,
    pub kv: KeyValueMessage,
}

impl Call for RangeCall {
    const PATH: &'static str = "/v3/kv/range";
    const IS_READ: bool = true;
    type Response = RangeResponse;
}

impl Call for PutCall {
    const PATH: &'static str = "/v3/kv/put";
    type Response = WriteResponse;
}

impl Call for DeleteCall {
    const PATH: &'static str = "/v3/kv/deleterange";
    type Response = WriteResponse;
}

impl Call for TxnCall {
    const PATH: &'static str = "/v3/kv/txn";
    type Response = TxnResponseMessage;
}

impl Call for LeaseGrantCall {
    const PATH: &'static str = "/v3/lease/grant";
    type Response = LeaseResponse;
}

impl Call for LeaseKeepAliveCall {
    const PATH: &'static str = "/v3/lease/keepalive";
    type Response = KeepAliveResponse;
}

impl Call for LeaseRevokeCall {
    const PATH: &'static str = "/v3/lease/revoke";
    type Response = WriteResponse;
}

impl WatchCall {
    /// HTTP path of the call. The response is a stream, which [`Call`] does not cover.
    pub const PATH: &'static str = "/v3/watch";
}

impl RangeCall {
    pub fn new(range: &KeyRange) -> Self {
        Self {
            key: Base64(range.start().clone()),
            range_end: range.end().map(Base64),
        }
    }
}

impl DeleteCall {
    pub fn new(range: &KeyRange) -> Self {
        Self {
            key: Base64(range.start().clone()),
            range_end: range.end().map(Base64),
        }
    }
}

impl PutCall {
    pub fn new(key: Bytes, value: Bytes, lease: Option<LeaseId>) -> Self {
        Self {
            key: Base64(key),
            value: Base64(value),
            lease: lease.map(|lease| Number(lease.0)),
        }
    }
}

impl TxnCall {
    pub fn new(txn: &Txn) -> Self {
        Self {
            compare: txn.compares.iter().map(CompareMessage::new).collect(),
            success: txn.success.iter().map(OperationMessage::new).collect(),
            failure: txn.failure.iter().map(OperationMessage::new).collect(),
        }
    }
}

impl CompareMessage {
    fn new(compare: &Compare) -> Self {
        match compare {
            Compare::Absent(key) => Self {
                key: Base64(key.clone()),
                target: "CREATE",
                result: "EQUAL",
                create_revision: Some(Number(0)),
                mod_revision: None,
            },
            Compare::Present(key) => Self {
                key: Base64(key.clone()),
                target: "CREATE",
                result: "GREATER",
                create_revision: Some(Number(0)),
                mod_revision: None,
            },
            Compare::ModRevision(key, revision) => Self {
                key: Base64(key.clone()),
                target: "MOD",
                result: "EQUAL",
                create_revision: None,
                mod_revision: Some(Number(*revision)),
            },
        }
    }
}

impl OperationMessage {
    fn new(operation: &Operation) -> Self {
        match operation {
            Operation::Range(range) => Self::Range(RangeCall::new(range)),
            Operation::Put(key, value, lease) => {
                Self::Put(PutCall::new(key.clone(), value.clone(), *lease))
            }
            Operation::Delete(range) => Self::Delete(DeleteCall::new(range)),
        }
    }
}

impl From<KeyValueMessage> for KeyValue {
    fn from(message: KeyValueMessage) -> Self {
        Self {
            key: message.key.0,
            value: message.value.0,
            create_revision: message.create_revision.0,
            mod_revision: message.mod_revision.0,
            version: message.version.0,
        }
    }
}

impl From<RangeResponse> for Vec<KeyValue> {
    fn from(response: RangeResponse) -> Self {
        response.kvs.into_iter().map(KeyValue::from).collect()
    }
}

impl From<TxnResponseMessage> for TxnResponse {
    fn from(response: TxnResponseMessage) -> Self {
        let reads = response.responses.into_iter();
        Self {
            succeeded: response.succeeded,
            revision: response.header.revision.0,
            reads: reads.map(|read| read.response_range.into()).collect(),
        }
    }
}

/// Encodes a call as JSON.
pub fn encode(call: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(call).map_err(|e| StoreError::NotReached(e.to_string()))
}

/// Decodes a response. If its body is malformed, the call may have taken effect.
pub fn decode<T: DeserializeOwned>(status: u16, body: &[u8]) -> Result<T, StoreError> {
    if status != 200 {
        let message = String::from_utf8_lossy(body).into_owned();
        return Err(StoreError::from_status(status, message));
    }
    serde_json::from_slice(body).map_err(|e| StoreError::Unknown(e.to_string()))
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn encode_txn() {
        let key = Bytes::from_static(b"k");
        let txn = Txn {
            compares: vec![
                Compare::Absent(key.clone()),
                Compare::ModRevision(key.clone(), 7),
            ],
            success: vec![Operation::Put(
                key.clone(),
                Bytes::from_static(b"v"),
                Some(LeaseId(3)),
            )],
            failure: vec![Operation::Range(KeyRange::Prefix(key))],
        };
        let message = serde_json::to_value(TxnCall::new(&txn)).expect("the call encodes as JSON");
        let expected = json!({
            "compare": [
                {"key": "aw==", "target": "CREATE", "result": "EQUAL", "create_revision": "0"},
                {"key": "aw==", "target": "MOD", "result": "EQUAL", "mod_revision": "7"},
            ],
            "success": [{"request_put": {"key": "aw==", "value": "dg==", "lease": "3"}}],
            "failure": [{"request_range": {"key": "aw==", "range_end": "bA=="}}],
        });
        assert_eq!(message, expected);
    }

    #[test]
    fn decode_txn() {
        let body = br#"{"header":{"revision":"9"},"succeeded":true,"responses":[
            {"response_put":{}},
            {"response_range":{"kvs":[{"key":"aw==","value":"dg==","mod_revision":"8"}]}}]}"#;
        let message: TxnResponseMessage =
            decode(200, body).expect("the body is a transaction response");
        let response = TxnResponse::from(message);
        assert!(response.succeeded);
        assert_eq!(response.revision, 9);
        assert_eq!(response.reads[0], []);
        assert_eq!(response.reads[1][0].mod_revision, 8);
    }

    #[test]
    fn decode_malformed_body() {
        let result: Result<TxnResponseMessage, StoreError> = decode(200, b"<html>");
        assert!(
            result
                .expect_err("HTML is no transaction response")
                .may_have_taken_effect()
        );
    }
}
