//! Messages of the JSON gateway of etcd v3.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// Bytes that serialize as base64.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Binary(pub Vec<u8>);

impl Serialize for Binary {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Binary {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        BASE64_STANDARD
            .decode(text)
            .map(Self)
            .map_err(D::Error::custom)
    }
}

impl Binary {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// 64-bit number that serializes as a string. A JSON number is accepted as well.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number(pub i64);

impl Number {
    fn is_zero(&self) -> bool {
        self.0 == 0
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
        enum Form {
            Text(String),
            Bare(i64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
            Form::Bare(number) => Ok(Self(number)),
        }
    }
}

fn is_false(value: &bool) -> bool {
    !*value
}

/// Header of every response.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Header {
    /// Revision of the store at the time of the response.
    pub revision: Number,
}

/// Key with its value and revisions.
#[derive(Debug, Clone, Serialize)]
pub struct KeyValue {
    /// Key.
    pub key: Binary,
    /// Revision in which the key was created.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub create_revision: Number,
    /// Revision in which the key was last written.
    pub mod_revision: Number,
    /// Number of writes since the creation; zero for a deleted key.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub version: Number,
    /// Value.
    #[serde(skip_serializing_if = "Binary::is_empty")]
    pub value: Binary,
    /// Lease with which the key expires; zero for none.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub lease: Number,
}

/// Request to read a key or a range of keys.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Binary,
    /// Key after the last one; empty for `key` alone, a zero byte for no upper
    /// bound.
    #[serde(alias = "rangeEnd")]
    pub range_end: Binary,
    /// Maximum number of keys to return; zero for all.
    pub limit: Number,
}

/// Response to [`RangeRequest`].
#[derive(Debug, Clone, Serialize)]
pub struct RangeResponse {
    /// Header.
    pub header: Header,
    /// Found keys in ascending order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// The range has more keys than `limit`.
    #[serde(skip_serializing_if = "is_false")]
    pub more: bool,
    /// Number of keys in the range, including those beyond `limit`.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub count: Number,
}

/// Request to write a key.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    pub key: Binary,
    /// Value.
    pub value: Binary,
    /// Lease with which the key expires; zero for none.
    pub lease: Number,
}

/// Response to [`PutRequest`].
#[derive(Debug, Clone, Serialize)]
pub struct PutResponse {
    /// Header.
    pub header: Header,
}

/// Request to delete a key or a range of keys.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// First key.
    pub key: Binary,
    /// Key after the last one; empty for `key` alone, a zero byte for no upper
    /// bound.
    #[serde(alias = "rangeEnd")]
    pub range_end: Binary,
}

/// Response to [`DeleteRangeRequest`].
#[derive(Debug, Clone, Serialize)]
pub struct DeleteRangeResponse {
    /// Header.
    pub header: Header,
    /// Number of deleted keys.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub deleted: Number,
}

/// Property of a key that a comparison reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Number of writes; zero for a missing key.
    #[default]
    Version,
    /// Revision of creation; zero for a missing key.
    Create,
    /// Revision of the last write; zero for a missing key.
    Mod,
    /// Value.
    Value,
}

/// Relation that a comparison demands of the property of the key to the operand.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    /// The property is equal to the operand.
    #[default]
    Equal,
    /// The property is greater than the operand.
    Greater,
    /// The property is less than the operand.
    Less,
    /// The property differs from the operand.
    NotEqual,
}

/// Condition of a transaction.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Demanded relation.
    pub result: Relation,
    /// Compared property.
    pub target: Target,
    /// Key.
    pub key: Binary,
    /// Operand for [`Target::Version`].
    pub version: Number,
    /// Operand for [`Target::Create`].
    #[serde(alias = "createRevision")]
    pub create_revision: Number,
    /// Operand for [`Target::Mod`].
    #[serde(alias = "modRevision")]
    pub mod_revision: Number,
    /// Operand for [`Target::Value`].
    pub value: Binary,
}

/// Operation of a transaction. Exactly one field is set.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Range read.
    #[serde(alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
    /// Put.
    #[serde(alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// Range deletion.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// Request to run `success` if all conditions hold and `failure` otherwise, in
/// one revision.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold for `success`.
    pub compare: Vec<Compare>,
    /// Operations to run if all conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations to run if a condition does not hold.
    pub failure: Vec<RequestOp>,
}

/// Response to an operation of a transaction.
#[derive(Debug, Clone, Serialize)]
pub enum ResponseOp {
    /// Response to a range read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// Response to a put.
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// Response to a range deletion.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

/// Response to [`TxnRequest`].
#[derive(Debug, Clone, Serialize)]
pub struct TxnResponse {
    /// Header.
    pub header: Header,
    /// All conditions held, so `success` was run.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// Responses in the order of the operations.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// Request to grant a lease, or to renew or revoke the lease with the given id.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Time to live in seconds; read for a grant only.
    #[serde(rename = "TTL")]
    pub ttl: Number,
    /// Lease id; zero lets the store choose one.
    #[serde(rename = "ID")]
    pub id: Number,
}

/// Response to a lease call.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LeaseResponse {
    /// Header.
    pub header: Header,
    /// Lease id.
    #[serde(rename = "ID")]
    pub id: Number,
    /// Time to live in seconds; zero, and so left out, for an ended lease.
    #[serde(rename = "TTL", skip_serializing_if = "Number::is_zero")]
    pub ttl: Number,
}

/// Envelope of a message of a streaming call.
#[derive(Debug, Clone, Serialize)]
pub struct Streamed<T> {
    /// Message.
    pub result: T,
}

/// Request to watch keys.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Watched keys and start revision.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// Watched keys and start revision.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Binary,
    /// Key after the last one; empty for `key` alone, a zero byte for no upper
    /// bound.
    #[serde(alias = "rangeEnd")]
    pub range_end: Binary,
    /// Revision of the first event; zero for the next revision.
    #[serde(alias = "startRevision")]
    pub start_revision: Number,
}

/// Kind of a change of a key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// The key was written. Messages leave this value out.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}

impl EventType {
    fn is_put(&self) -> bool {
        *self == Self::Put
    }
}

/// Change of a key.
#[derive(Debug, Clone, Serialize)]
pub struct WatchEvent {
    /// Kind of the change.
    #[serde(rename = "type", skip_serializing_if = "EventType::is_put")]
    pub kind: EventType,
    /// Key and, unless it was deleted, its value.
    pub kv: KeyValue,
}

/// Message of a watch to its caller.
#[derive(Debug, Clone, Serialize)]
pub struct WatchResponse {
    /// Header.
    pub header: Header,
    /// The watch has started. Only the first message sets it.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// The watch has ended because its next revision is compacted.
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// Oldest kept revision, if the next one of the watch is compacted.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub compact_revision: Number,
    /// Changes of one or more revisions, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}
