//! Messages of the store in their JSON form.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// Bytes that travel as base64.
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

/// A 64-bit number that travels as text; a bare number is taken too.
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

/// Head of every answer.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Header {
    /// Revision of the store.
    pub revision: Number,
}

/// A key with its value and history.
#[derive(Debug, Clone, Serialize)]
pub struct KeyValue {
    /// Key.
    pub key: Binary,
    /// Revision in which it was created.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub create_revision: Number,
    /// Revision in which it was last written.
    pub mod_revision: Number,
    /// Writes since it was created; zero for a deleted key.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub version: Number,
    /// Value.
    #[serde(skip_serializing_if = "Binary::is_empty")]
    pub value: Binary,
    /// Lease that it hangs on; zero for none.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub lease: Number,
}

/// Asks for one key or a range of keys.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Binary,
    /// Key after the last one; empty for `key` alone, a zero byte for no end.
    #[serde(alias = "rangeEnd")]
    pub range_end: Binary,
    /// Most keys to return; zero for all.
    pub limit: Number,
}

/// Keys found.
#[derive(Debug, Clone, Serialize)]
pub struct RangeResponse {
    /// Head.
    pub header: Header,
    /// Keys, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// More keys than `limit` were found.
    #[serde(skip_serializing_if = "is_false")]
    pub more: bool,
    /// Number of keys found, beyond `limit` too.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub count: Number,
}

/// Writes a key.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    pub key: Binary,
    /// Value.
    pub value: Binary,
    /// Lease to hang it on; zero for none.
    pub lease: Number,
}

/// A key was written.
#[derive(Debug, Clone, Serialize)]
pub struct PutResponse {
    /// Head.
    pub header: Header,
}

/// Deletes one key or a range of keys.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// First key.
    pub key: Binary,
    /// Key after the last one; empty for `key` alone, a zero byte for no end.
    #[serde(alias = "rangeEnd")]
    pub range_end: Binary,
}

/// Keys were deleted.
#[derive(Debug, Clone, Serialize)]
pub struct DeleteRangeResponse {
    /// Head.
    pub header: Header,
    /// Number of keys deleted.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub deleted: Number,
}

/// What a comparison looks at.
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

/// How a comparison compares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    /// The key's is equal.
    #[default]
    Equal,
    /// The key's is greater.
    Greater,
    /// The key's is less.
    Less,
    /// The key's differs.
    NotEqual,
}

/// A condition of a transaction.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// How to compare.
    pub result: Relation,
    /// What to compare.
    pub target: Target,
    /// Key.
    pub key: Binary,
    /// Number for [`Target::Version`].
    pub version: Number,
    /// Revision for [`Target::Create`].
    #[serde(alias = "createRevision")]
    pub create_revision: Number,
    /// Revision for [`Target::Mod`].
    #[serde(alias = "modRevision")]
    pub mod_revision: Number,
    /// Value for [`Target::Value`].
    pub value: Binary,
}

/// One operation of a transaction; one field is set.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Read.
    #[serde(alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
    /// Write.
    #[serde(alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// Delete.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// Runs `success` if all conditions hold, else `failure`, in one revision.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Operations if all hold.
    pub success: Vec<RequestOp>,
    /// Operations if one does not.
    pub failure: Vec<RequestOp>,
}

/// Answer to one operation.
#[derive(Debug, Clone, Serialize)]
pub enum ResponseOp {
    /// To a read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// To a write.
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// To a deletion.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

/// A transaction was run.
#[derive(Debug, Clone, Serialize)]
pub struct TxnResponse {
    /// Head.
    pub header: Header,
    /// All conditions held.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// Answers, in the order of the operations.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// Asks for a lease, or names one.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Seconds from a renewal to its expiry.
    #[serde(rename = "TTL")]
    pub ttl: Number,
    /// Id; zero to have one chosen.
    #[serde(rename = "ID")]
    pub id: Number,
}

/// State of a lease.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LeaseResponse {
    /// Head.
    pub header: Header,
    /// Id.
    #[serde(rename = "ID")]
    pub id: Number,
    /// Seconds left; zero, and so left out, for an expired lease.
    #[serde(rename = "TTL", skip_serializing_if = "Number::is_zero")]
    pub ttl: Number,
}

/// A streamed message.
#[derive(Debug, Clone, Serialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// Asks to be told of writes.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Keys to be told of.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// Keys to be told of.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Binary,
    /// Key after the last one; empty for `key` alone, a zero byte for no end.
    #[serde(alias = "rangeEnd")]
    pub range_end: Binary,
    /// First revision to be told of; zero for the next one.
    #[serde(alias = "startRevision")]
    pub start_revision: Number,
}

/// What happened to a key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// It was written; left out in messages.
    #[default]
    Put,
    /// It was deleted.
    Delete,
}

impl EventType {
    fn is_put(&self) -> bool {
        *self == Self::Put
    }
}

/// One write.
#[derive(Debug, Clone, Serialize)]
pub struct WatchEvent {
    /// What happened.
    #[serde(rename = "type", skip_serializing_if = "EventType::is_put")]
    pub kind: EventType,
    /// Key and, unless deleted, its value.
    pub kv: KeyValue,
}

/// Message of a watch.
#[derive(Debug, Clone, Serialize)]
pub struct WatchResponse {
    /// Head.
    pub header: Header,
    /// The watch has begun.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// The watch has ended.
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// First revision that is still known, where the asked one is not.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub compact_revision: Number,
    /// Writes of one revision or more, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}
