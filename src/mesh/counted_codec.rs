//! Encoding of control messages that also counts them.

use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;
use tarpc::tokio_serde::Deserializer;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::MessagePack;

use super::mesh_traffic::HostTraffic;
use super::mesh_traffic::count_for_host;
use super::message_kind::CountedMessage;

/// MessagePack encoding of one connection. Counts the messages by kind.
pub(super) struct CountedCodec<Item, SinkItem> {
    inner: MessagePack<Item, SinkItem>,
    traffic: Arc<HostTraffic>,
}

impl<Item, SinkItem> CountedCodec<Item, SinkItem> {
    /// Creates the encoding of a connection to `host`.
    pub(super) fn new(host: Option<IpAddr>) -> Self {
        Self {
            inner: MessagePack::default(),
            traffic: count_for_host(host),
        }
    }
}

impl<Item, SinkItem> Deserializer<Item> for CountedCodec<Item, SinkItem>
where
    Item: CountedMessage + Unpin + for<'a> Deserialize<'a>,
    SinkItem: Unpin,
{
    type Error = io::Error;

    fn deserialize(mut self: Pin<&mut Self>, src: &BytesMut) -> io::Result<Item> {
        let message: Item = Pin::new(&mut self.inner).deserialize(src)?;
        self.traffic.count_received(message.kind(), src.len());
        Ok(message)
    }
}

impl<Item, SinkItem> Serializer<SinkItem> for CountedCodec<Item, SinkItem>
where
    Item: Unpin,
    SinkItem: CountedMessage + Serialize + Unpin,
{
    type Error = io::Error;

    fn serialize(mut self: Pin<&mut Self>, item: &SinkItem) -> io::Result<Bytes> {
        let bytes = Pin::new(&mut self.inner).serialize(item)?;
        self.traffic.count_sent(item.kind(), bytes.len());
        Ok(bytes)
    }
}
